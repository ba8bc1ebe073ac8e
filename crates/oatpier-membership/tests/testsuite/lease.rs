//! Tests of the planner's lease.

use oatpier_membership::lease::{
    LEASE_TTL, LEASE_VALID, LeaseAction, LeaseEvent, LeaseKeeper, LeaseWrite, StoredLease,
    may_write,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Revision, Term};
use proptest::prelude::*;

use crate::support::{daemon, fixed_cases, generator, millis, seconds};

/// How the store handles a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum StoreBehavior {
    Answers,
    Fails,
    /// A write takes effect and its answer is lost.
    LosesAnswer,
}

/// Keepers that share one key. Calls end at once.
struct LeaseHarness {
    keepers: Vec<LeaseKeeper>,
    stored: Option<StoredLease>,
    terms: Vec<Term>,
    now: ClockTime,
}

impl LeaseHarness {
    fn new(count: u32) -> Self {
        let keeper = |index: u32| {
            let boot = BootId(u128::from(index));
            let name = daemon(&format!("entry-{index}"));
            LeaseKeeper::new(name, boot, generator(index.into()), ClockTime::ZERO)
        };
        Self {
            keepers: (0..count).map(keeper).collect(),
            stored: None,
            terms: Vec::new(),
            now: ClockTime::ZERO,
        }
    }

    fn tick(&mut self, index: usize, behavior: StoreBehavior) {
        let mut actions = self.keepers[index].handle(LeaseEvent::Tick, self.now);
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                if let Some(event) = self.act(action, behavior) {
                    next.extend(self.keepers[index].handle(event, self.now));
                }
            }
            actions = next;
        }
    }

    fn act(&mut self, action: LeaseAction, behavior: StoreBehavior) -> Option<LeaseEvent> {
        match action {
            LeaseAction::Gained(term) => {
                self.terms.push(term);
                None
            }
            LeaseAction::Lost(_) => None,
            LeaseAction::Read if behavior == StoreBehavior::Fails => {
                Some(LeaseEvent::Read(Err(())))
            }
            LeaseAction::Read => Some(LeaseEvent::Read(Ok(self.stored.clone()))),
            LeaseAction::Write { lease, expected } => {
                let current = self.stored.as_ref().map(|stored| stored.revision);
                if behavior == StoreBehavior::Fails {
                    return Some(LeaseEvent::Wrote(LeaseWrite::Failed));
                }
                if current != expected {
                    return Some(LeaseEvent::Wrote(LeaseWrite::Conflict));
                }
                let revision = current.unwrap_or(Revision(0)).next();
                self.stored = Some(StoredLease { revision, lease });
                Some(LeaseEvent::Wrote(match behavior {
                    StoreBehavior::LosesAnswer => LeaseWrite::AnswerLost,
                    _ => LeaseWrite::Written(revision),
                }))
            }
        }
    }

    fn run(&mut self, indices: &[usize], span_ms: u64, behavior: StoreBehavior) {
        for _ in 0..span_ms / 100 {
            self.now = self.now + millis(100);
            for index in indices {
                self.tick(*index, behavior);
            }
        }
    }

    fn holders(&self) -> Vec<usize> {
        let keepers = self.keepers.iter().enumerate();
        let holders = keepers.filter(|(_, keeper)| keeper.may_act(self.now).is_some());
        holders.map(|(index, _)| index).collect()
    }
}

#[test]
fn one_of_three_candidates_keeps_the_lease() {
    let mut harness = LeaseHarness::new(3);
    harness.run(&[0, 1, 2], 60_000, StoreBehavior::Answers);
    assert_eq!(harness.holders().len(), 1);
    assert_eq!(harness.terms, [Term(1)]);
}

/// The planner's VM is paused for half a minute while it makes a plan. Another planner takes over
/// and writes its own plan. After the pause, the first planner still has a plan to write, which
/// would bring back an old state. Its own clock shows that its lease has expired; and if it wrote
/// anyway, its term would be too low.
#[test]
fn planner_paused_past_its_lease_may_not_act() {
    let mut harness = LeaseHarness::new(2);
    harness.run(&[0], 3_000, StoreBehavior::Answers);
    let paused = harness.keepers[0]
        .may_act(harness.now)
        .expect("it holds the lease");
    harness.run(&[1], 30_000, StoreBehavior::Answers);
    assert_eq!(harness.keepers[0].may_act(harness.now), None);
    let next = harness.keepers[1]
        .may_act(harness.now)
        .expect("it took over");
    assert!(next > paused);
    assert!(!may_write(paused, next) && may_write(next, paused));
    harness.run(&[0, 1], 10_000, StoreBehavior::Answers);
    assert_eq!(harness.holders(), [1]);
}

/// The lease is written and the answer is lost. Treated as a failure, the planner would wait for
/// its own lease to expire; treated as a success, two planners might act. It reads the key and
/// finds its own write.
#[test]
fn lost_write_answer_is_resolved_by_reading() {
    let mut harness = LeaseHarness::new(1);
    harness.run(&[0], 2_000, StoreBehavior::LosesAnswer);
    assert_eq!(harness.holders(), [0]);
    assert_eq!(harness.terms, [Term(1)]);
}

#[test]
fn released_lease_is_free_at_once() {
    let mut harness = LeaseHarness::new(2);
    harness.run(&[0, 1], 10_000, StoreBehavior::Answers);
    let holder = harness.holders()[0];
    let actions = harness.keepers[holder].handle(LeaseEvent::Release, harness.now);
    for action in actions {
        if let Some(event) = harness.act(action, StoreBehavior::Answers) {
            harness.keepers[holder].handle(event, harness.now);
        }
    }
    assert!(harness.holders().is_empty());
    harness.run(&[0, 1], 3_000, StoreBehavior::Answers);
    assert_eq!(harness.holders(), [1 - holder]);
}

#[test]
fn only_candidates_take_the_lease() {
    let mut harness = LeaseHarness::new(2);
    harness.keepers[0].handle(LeaseEvent::Candidate(false), ClockTime::ZERO);
    harness.run(&[0, 1], 10_000, StoreBehavior::Answers);
    assert_eq!(harness.holders(), [1]);
    assert!(LEASE_VALID < LEASE_TTL);
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    /// Outages, lost answers and pauses in any order: two planners never act at the same time, and
    /// each new holder has a higher term.
    #[test]
    fn two_planners_never_act_at_once(
        steps in prop::collection::vec((0_u8..8, 0_u8..3, 1_u64..90), 1..40),
    ) {
        let mut harness = LeaseHarness::new(3);
        for (awake, behavior, tenths) in steps {
            let behavior = match behavior {
                0 => StoreBehavior::Answers,
                1 => StoreBehavior::Fails,
                _ => StoreBehavior::LosesAnswer,
            };
            let awake: Vec<usize> = (0..3).filter(|index| awake & (1 << index) != 0).collect();
            for _ in 0..tenths {
                harness.now = harness.now + millis(100);
                for index in &awake {
                    harness.tick(*index, behavior);
                    prop_assert!(harness.holders().len() <= 1);
                }
            }
        }
        prop_assert!(harness.terms.is_sorted_by(|earlier, later| earlier < later));
        let before = harness.now;
        harness.run(&[0, 1, 2], 20_000, StoreBehavior::Answers);
        prop_assert_eq!(harness.holders().len(), 1);
        prop_assert!(harness.now.since(before) >= seconds(20));
    }
}
