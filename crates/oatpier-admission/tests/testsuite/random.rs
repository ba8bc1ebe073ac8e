//! Random events in random order: every reported verdict has to stay true.

use std::collections::{HashMap, HashSet};

use oatpier_admission::event::{AdmissionLimits, AdmissionTicket, AgentAction, AgentEvent};
use oatpier_types::ids::AttemptId;
use oatpier_types::verdict::RunVerdict;
use proptest::prelude::*;

use crate::harness::{AgentHarness, spec};

#[derive(Debug, Clone)]
enum TestEvent {
    Arrive { attempt: u128, millis: u64 },
    Cancel { attempt: u128 },
    End { attempt: u128 },
    Fail { attempt: u128, verdict: RunVerdict },
    Wait { millis: u64 },
    Up { up: bool },
    Leave,
}

fn test_event() -> impl Strategy<Value = TestEvent> {
    use TestEvent as H;
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
struct VerdictChecker {
    /// An entry makes an attempt once; every copy of it carries the ticket of that time.
    tickets: HashMap<u128, AdmissionTicket>,
    started: HashSet<AttemptId>,
    reported_not_run: HashSet<AttemptId>,
    running: HashSet<AttemptId>,
    drained: u32,
}

impl VerdictChecker {
    fn check(&mut self, action: &AgentAction) {
        match action {
            AgentAction::Start { attempt, .. } => {
                assert!(self.started.insert(*attempt), "{attempt} ran twice");
                assert!(
                    !self.reported_not_run.contains(attempt),
                    "{attempt} ran after it was reported as not run"
                );
                self.running.insert(*attempt);
            }
            AgentAction::Refuse { attempt, .. } => self.record_not_run(*attempt),
            AgentAction::Cancelled { attempt, verdict }
            | AgentAction::AnswerCopy { attempt, verdict } => {
                if *verdict == RunVerdict::NotRun {
                    self.record_not_run(*attempt);
                }
            }
            AgentAction::CancelAtEndpoint { attempt } => assert!(self.running.contains(attempt)),
            AgentAction::Drained => self.drained += 1,
        }
    }

    fn record_not_run(&mut self, attempt: AttemptId) {
        // Only the agent's own verdicts are checked here. An attempt that the endpoint reports as
        // not run did not run, although it was started; such attempts are removed from `started`
        // beforehand.
        assert!(
            !self.started.contains(&attempt),
            "{attempt} was started but is reported as not run"
        );
        self.reported_not_run.insert(attempt);
    }
}

fn apply_event(harness: &mut AgentHarness, checker: &mut VerdictChecker, test_event: &TestEvent) {
    let fresh = harness.fresh_ticket();
    let mut ticket_of = |attempt: u128| *checker.tickets.entry(attempt).or_insert(fresh);
    let event = match *test_event {
        TestEvent::Arrive { attempt, millis } => {
            let ticket = ticket_of(attempt);
            let mut spec = spec(attempt);
            spec.remaining = std::time::Duration::from_millis(millis);
            AgentEvent::Arrive { spec, ticket }
        }
        TestEvent::Cancel { attempt } => {
            let ticket = ticket_of(attempt);
            let attempt = AttemptId(attempt);
            AgentEvent::Cancel { attempt, ticket }
        }
        TestEvent::End { attempt } => {
            let attempt = AttemptId(attempt);
            checker.running.remove(&attempt);
            AgentEvent::EndpointEnded { attempt }
        }
        TestEvent::Fail { attempt, verdict } => {
            let attempt = AttemptId(attempt);
            if checker.running.remove(&attempt) && verdict == RunVerdict::NotRun {
                checker.started.remove(&attempt);
                checker.reported_not_run.insert(attempt);
            }
            AgentEvent::EndpointFailed { attempt, verdict }
        }
        TestEvent::Wait { millis } => {
            harness.wait(millis);
            AgentEvent::Timer
        }
        TestEvent::Up { up } => AgentEvent::EndpointUp { up },
        TestEvent::Leave => AgentEvent::Leave,
    };
    let actions = harness.step(event);
    actions.iter().for_each(|action| checker.check(action));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        cases: 500,
        ..ProptestConfig::default()
    })]

    /// Copies, cancels and late arrivals with few records kept. No attempt runs twice, none runs
    /// after it was reported as not run, and none that ran is reported as not run.
    #[test]
    fn verdicts_hold_under_random_events(test_events in prop::collection::vec(test_event(), 1..200)) {
        let limits = AdmissionLimits { queue: 4, records: 3, ..AdmissionLimits::for_slots(2) };
        let mut harness = AgentHarness::with_limits(limits);
        let mut checker = VerdictChecker::default();
        for test_event in &test_events {
            apply_event(&mut harness, &mut checker, test_event);
            prop_assert!(checker.running.len() <= 2);
            prop_assert!(harness.policy.in_flight() <= 6);
        }
        prop_assert!(checker.drained <= 1);
    }
}
