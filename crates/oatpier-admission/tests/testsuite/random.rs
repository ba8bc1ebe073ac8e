//! Random events in random order: what is said of each attempt has to stay true.

use std::collections::{HashMap, HashSet};

use oatpier_admission::event::{AdmissionLimits, AdmissionTicket, AgentAction, AgentEvent};
use oatpier_types::ids::AttemptId;
use oatpier_types::verdict::RunVerdict;
use proptest::prelude::*;

use crate::bench::{AgentBench, spec};

#[derive(Debug, Clone)]
enum Happening {
    Arrive { attempt: u128, millis: u64 },
    Cancel { attempt: u128 },
    End { attempt: u128 },
    Fail { attempt: u128, verdict: RunVerdict },
    Wait { millis: u64 },
    Up { up: bool },
    Leave,
}

fn happening() -> impl Strategy<Value = Happening> {
    use Happening as H;
    let attempt = || 0..40_u128;
    let verdict = prop_oneof![Just(RunVerdict::NotRun), Just(RunVerdict::MayHaveRun)];
    prop_oneof![
        60 => (attempt(), 0..2_000_u64).prop_map(|(attempt, millis)| H::Arrive { attempt, millis }),
        20 => attempt().prop_map(|attempt| H::Cancel { attempt }),
        40 => attempt().prop_map(|attempt| H::End { attempt }),
        10 => (attempt(), verdict).prop_map(|(attempt, verdict)| H::Fail { attempt, verdict }),
        30 => prop_oneof![0..200_u64, 1_000..90_000_u64].prop_map(|millis| H::Wait { millis }),
        4 => any::<bool>().prop_map(|up| H::Up { up }),
        1 => Just(H::Leave),
    ]
}

#[derive(Default)]
struct Witness {
    /// An entry makes an attempt once; every copy of it has the ticket of that time.
    tickets: HashMap<u128, AdmissionTicket>,
    started: HashSet<AttemptId>,
    said_not_run: HashSet<AttemptId>,
    running: HashSet<AttemptId>,
    drained: u32,
}

impl Witness {
    fn judge(&mut self, action: &AgentAction) {
        match action {
            AgentAction::Start { attempt, .. } => {
                assert!(self.started.insert(*attempt), "{attempt} ran twice");
                assert!(
                    !self.said_not_run.contains(attempt),
                    "{attempt} ran after all"
                );
                self.running.insert(*attempt);
            }
            AgentAction::Refuse { attempt, .. } => self.not_run(*attempt),
            AgentAction::Cancelled { attempt, verdict }
            | AgentAction::AnswerCopy { attempt, verdict } => {
                if *verdict == RunVerdict::NotRun {
                    self.not_run(*attempt);
                }
            }
            AgentAction::CancelAtEndpoint { attempt } => assert!(self.running.contains(attempt)),
            AgentAction::Drained => self.drained += 1,
        }
    }

    fn not_run(&mut self, attempt: AttemptId) {
        // What the endpoint itself says has not run, has not, although it was started.
        assert!(!self.started.contains(&attempt), "{attempt} did run");
        self.said_not_run.insert(attempt);
    }
}

fn happen(bench: &mut AgentBench, witness: &mut Witness, happening: &Happening) {
    let fresh = bench.fresh_ticket();
    let mut ticket_of = |attempt: u128| *witness.tickets.entry(attempt).or_insert(fresh);
    let event = match *happening {
        Happening::Arrive { attempt, millis } => {
            let ticket = ticket_of(attempt);
            let mut spec = spec(attempt);
            spec.remaining = std::time::Duration::from_millis(millis);
            AgentEvent::Arrive { spec, ticket }
        }
        Happening::Cancel { attempt } => {
            let ticket = ticket_of(attempt);
            let attempt = AttemptId(attempt);
            AgentEvent::Cancel { attempt, ticket }
        }
        Happening::End { attempt } => {
            let attempt = AttemptId(attempt);
            witness.running.remove(&attempt);
            AgentEvent::EndpointEnded { attempt }
        }
        Happening::Fail { attempt, verdict } => {
            let attempt = AttemptId(attempt);
            if witness.running.remove(&attempt) && verdict == RunVerdict::NotRun {
                witness.started.remove(&attempt);
                witness.said_not_run.insert(attempt);
            }
            AgentEvent::EndpointFailed { attempt, verdict }
        }
        Happening::Wait { millis } => {
            bench.wait(millis);
            AgentEvent::Timer
        }
        Happening::Up { up } => AgentEvent::EndpointUp { up },
        Happening::Leave => AgentEvent::Leave,
    };
    let actions = bench.step(event);
    actions.iter().for_each(|action| witness.judge(action));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        cases: 500,
        ..ProptestConfig::default()
    })]

    /// Copies, cancels and late arrivals, with few records kept: nothing runs twice, nothing runs
    /// that was said not to, nothing that ran is said not to have.
    #[test]
    fn verdicts_stay_true(happenings in prop::collection::vec(happening(), 1..200)) {
        let limits = AdmissionLimits { queue: 4, records: 3, ..AdmissionLimits::for_slots(2) };
        let mut bench = AgentBench::with_limits(limits);
        let mut witness = Witness::default();
        for happening in &happenings {
            happen(&mut bench, &mut witness, happening);
            prop_assert!(witness.running.len() <= 2);
            prop_assert!(bench.policy.in_flight() <= 6);
        }
        prop_assert!(witness.drained <= 1);
    }
}
