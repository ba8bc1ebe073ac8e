//! Property tests with random events: reordered, late, duplicate or contradictory.

use std::collections::HashSet;
use std::time::Duration;

use oatpier_policy::action::{EntryAction, EntryActions};
use oatpier_policy::entry::EntryPolicy;
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::{Repeat, RunVerdict};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::support::{
    at, at_most_once_call, ended, first_frame, idempotent_call, policy, refused, stream_request,
};

const REQUEST: RequestId = RequestId(1);

/// A random event: its kind, which of the attempts so far it concerns, its verdict and the delay
/// before it.
#[derive(Debug, Clone)]
struct RandomEvent {
    event: u8,
    attempt: usize,
    verdict: RunVerdict,
    after_ms: u64,
}

fn events() -> impl Strategy<Value = Vec<RandomEvent>> {
    let verdict = prop_oneof![
        Just(RunVerdict::NotRun),
        Just(RunVerdict::MayHaveRun),
        Just(RunVerdict::Ran),
    ];
    let event = (0_u8..20, 0_usize..4, verdict, 0_u64..120);
    let event = event.prop_map(|(event, attempt, verdict, after_ms)| RandomEvent {
        event,
        attempt,
        verdict,
        after_ms,
    });
    prop::collection::vec(event, 1..40)
}

fn event_of(random: &RandomEvent, attempts: &[AttemptId]) -> EntryEvent {
    let from_last = attempts.len().saturating_sub(1 + random.attempt);
    let attempt = attempts.get(from_last).copied().unwrap_or(AttemptId(0));
    let verdict = random.verdict;
    match random.event {
        0 => EntryEvent::ClaimRefused { earlier: verdict },
        1 => EntryEvent::ClaimUnavailable,
        2..4 => EntryEvent::ClaimGranted,
        4 => first_frame(attempt),
        5 => EntryEvent::Piece { attempt, tokens: 1 },
        6 => ended(attempt),
        7 => refused(attempt, RefusalCause::QueueFull),
        8 => refused(attempt, RefusalCause::Leaving),
        9 => refused(attempt, RefusalCause::WeightsMissing),
        10 => refused(attempt, RefusalCause::Duplicate),
        11 => EntryEvent::Failed { attempt, verdict },
        12 => EntryEvent::ConnectionLost { attempt },
        13 => EntryEvent::ConnectFailed { attempt },
        14 | 15 => EntryEvent::CancelAnswered { attempt, verdict },
        16 => EntryEvent::CallerBlocked,
        17 => EntryEvent::CallerReady,
        18 => EntryEvent::CallerGone,
        _ => EntryEvent::Timer,
    }
}

/// Tracks the actions and events of one request and checks the invariants.
#[derive(Debug)]
struct RequestObserver {
    repeat: Repeat,
    attempts: Vec<AttemptId>,
    /// Attempts reported as "not run" by their agent or by the connection.
    not_run: HashSet<AttemptId>,
    /// Attempts for which anything else was reported.
    otherwise_reported: HashSet<AttemptId>,
    answers: usize,
    /// Number of claim settlements after the final answer.
    late_settlements: usize,
    relayed: bool,
}

impl RequestObserver {
    fn new(repeat: Repeat) -> Self {
        Self {
            repeat,
            attempts: Vec::new(),
            not_run: HashSet::new(),
            otherwise_reported: HashSet::new(),
            answers: 0,
            late_settlements: 0,
            relayed: false,
        }
    }

    fn record_event(&mut self, event: &EntryEvent) {
        let Some(attempt) = event.attempt() else {
            return;
        };
        let not_run = match event {
            EntryEvent::Refused { refusal, .. } if refusal.cause == RefusalCause::Duplicate => {
                return;
            }
            EntryEvent::Refused { .. } | EntryEvent::ConnectFailed { .. } => true,
            EntryEvent::Failed { verdict, .. } | EntryEvent::CancelAnswered { verdict, .. } => {
                *verdict == RunVerdict::NotRun
            }
            _ => false,
        };
        let reports = if not_run {
            &mut self.not_run
        } else {
            &mut self.otherwise_reported
        };
        reports.insert(attempt);
    }

    fn check(&mut self, actions: &EntryActions) {
        for action in actions {
            if self.answers > 0 {
                self.check_late(action);
                continue;
            }
            match action {
                EntryAction::Send { spec, .. } | EntryAction::Resume { spec, .. } => {
                    self.check_send(spec.attempt);
                }
                EntryAction::Relay { attempt } => {
                    assert_eq!(
                        self.attempts.last(),
                        Some(attempt),
                        "only the live attempt is relayed"
                    );
                    self.relayed = true;
                }
                EntryAction::Answer(answer) => {
                    self.answers += 1;
                    self.check_verdict(answer.verdict, answer.status);
                }
                EntryAction::SettleClaim { verdict, .. } => self.check_settled(*verdict),
                _ => {}
            }
        }
    }

    /// Checks that nothing follows the final answer except one settlement of a claim.
    fn check_late(&mut self, action: &EntryAction) {
        let EntryAction::SettleClaim { verdict, .. } = action else {
            panic!("{action:?} follows the final answer");
        };
        assert_eq!(self.repeat, Repeat::AtMostOnce);
        self.late_settlements += 1;
        assert_eq!(
            self.late_settlements, 1,
            "more than one settlement after the final answer"
        );
        self.check_settled(*verdict);
    }

    /// Checks that a key is freed only if all attempts were reported as not run.
    fn check_settled(&self, verdict: RunVerdict) {
        if verdict == RunVerdict::NotRun {
            let not_run = |previous: &AttemptId| self.not_run.contains(previous);
            assert!(self.attempts.iter().all(not_run), "a used key is freed");
        }
    }

    fn check_send(&mut self, attempt: AttemptId) {
        assert!(!self.attempts.contains(&attempt), "an attempt id is reused");
        if self.repeat == Repeat::AtMostOnce {
            let is_settled = self
                .attempts
                .iter()
                .all(|previous| self.not_run.contains(previous));
            assert!(is_settled, "a previous attempt is not known to be not run");
            assert!(
                !self.relayed,
                "an at-most-once call is repeated after a part of its answer was relayed"
            );
        }
        self.attempts.push(attempt);
    }

    /// Checks that the verdict "not run" is given only if all attempts were reported as not run,
    /// and that statuses which invite an unconditional retry are given only with that verdict.
    fn check_verdict(&self, verdict: RunVerdict, status: u16) {
        if verdict == RunVerdict::NotRun {
            let is_settled = self
                .attempts
                .iter()
                .all(|previous| self.not_run.contains(previous));
            assert!(is_settled, "an attempt is not known to be not run");
        }
        if matches!(status, 429 | 503) {
            assert_eq!(verdict, RunVerdict::NotRun);
        }
    }
}

/// Drives one request through events, firing due timers before each, and then fires its remaining
/// timers.
fn drive(
    intake: RequestIntake,
    events: &[RandomEvent],
    seed: u64,
) -> (RequestObserver, Vec<EntryActions>) {
    let mut policy = policy(6, 3, seed);
    let mut observer = RequestObserver::new(intake.repeat);
    let mut log = vec![policy.start(intake, at(0))];
    observer.check(&log[0]);
    let mut now = at(0);
    for random in events {
        now = now + Duration::from_millis(random.after_ms);
        run_timers(&mut policy, now, &mut observer, &mut log);
        let event = event_of(random, &observer.attempts);
        observer.record_event(&event);
        let actions = policy.handle(REQUEST, &event, now);
        observer.check(&actions);
        log.push(actions);
    }
    while let Some(due) = policy.next_timer() {
        run_timers(&mut policy, due.max(now), &mut observer, &mut log);
    }
    assert_eq!(policy.in_flight(), 0, "a request has no final answer");
    (observer, log)
}

fn run_timers(
    policy: &mut EntryPolicy,
    now: ClockTime,
    observer: &mut RequestObserver,
    log: &mut Vec<EntryActions>,
) {
    while let Some(due) = policy.next_timer().filter(|due| *due <= now) {
        let mut fired = Vec::new();
        policy.fire_timers(due, &mut fired);
        for (_, actions) in fired {
            observer.check(&actions);
            log.push(actions);
        }
    }
}

/// Returns a configuration with a fixed seed, so that every run has the same cases.
fn seeded_config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(20_261),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded_config())]

    /// A second attempt sent while the first may run could apply a call twice. Whatever an endpoint
    /// or the network reports, the verdict "not run" on the previous attempt must come first.
    #[test]
    fn at_most_once_has_one_attempt_that_may_run(events in events(), seed: u64) {
        let (observer, _) = drive(at_most_once_call(1), &events, seed);
        prop_assert_eq!(observer.answers, 1);
    }

    #[test]
    fn idempotent_calls_get_one_correct_answer(events in events(), seed: u64) {
        let (observer, _) = drive(idempotent_call(1), &events, seed);
        prop_assert_eq!(observer.answers, 1);
    }

    #[test]
    fn streams_get_one_correct_answer(events in events(), seed: u64) {
        let (observer, _) = drive(stream_request(1), &events, seed);
        prop_assert_eq!(observer.answers, 1);
    }

    /// A caller without any data at its deadline must get its answer at exactly that time.
    #[test]
    fn a_request_without_a_piece_ends_at_the_deadline(events in events(), seed: u64) {
        let early: Vec<RandomEvent> = events
            .into_iter()
            .filter(|random| random.event != 5)
            .collect();
        let mut policy = policy(6, 3, seed);
        let mut observer = RequestObserver::new(Repeat::Idempotent);
        let mut log = vec![policy.start(stream_request(1), at(0))];
        observer.check(&log[0]);
        let mut now = at(0);
        for random in &early {
            now = (now + Duration::from_millis(random.after_ms)).min(at(319));
            run_timers(&mut policy, now, &mut observer, &mut log);
            let event = event_of(random, &observer.attempts);
            observer.record_event(&event);
            let actions = policy.handle(REQUEST, &event, now);
            observer.check(&actions);
        }
        run_timers(&mut policy, at(320), &mut observer, &mut log);
        prop_assert_eq!(observer.answers, 1);
    }

    /// Equal seeds and events must give equal actions, so that a run can be reproduced exactly.
    #[test]
    fn equal_seeds_give_equal_actions(events in events(), seed: u64) {
        let (_, first) = drive(stream_request(1), &events, seed);
        let (_, second) = drive(stream_request(1), &events, seed);
        prop_assert_eq!(first, second);
    }
}
