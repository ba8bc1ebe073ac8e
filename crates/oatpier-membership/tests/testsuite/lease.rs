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
enum Treatment {
    Answers,
    Fails,
    /// A write takes effect and its answer is lost.
    LosesAnswer,
}

/// Keepers that share one key. Calls end at once.
struct LeaseBench {
    keepers: Vec<LeaseKeeper>,
    stored: Option<StoredLease>,
    terms: Vec<Term>,
    now: ClockTime,
}

impl LeaseBench {
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

    fn tick(&mut self, index: usize, treatment: Treatment) {
        let mut actions = self.keepers[index].handle(LeaseEvent::Tick, self.now);
        while !actions.is_empty() {
            let mut next = Vec::new();
            for action in actions {
                if let Some(event) = self.act(action, treatment) {
                    next.extend(self.keepers[index].handle(event, self.now));
                }
            }
            actions = next;
        }
    }

    fn act(&mut self, action: LeaseAction, treatment: Treatment) -> Option<LeaseEvent> {
        match action {
            LeaseAction::Gained(term) => {
                self.terms.push(term);
                None
            }
            LeaseAction::Lost(_) => None,
            LeaseAction::Read if treatment == Treatment::Fails => Some(LeaseEvent::Read(Err(()))),
            LeaseAction::Read => Some(LeaseEvent::Read(Ok(self.stored.clone()))),
            LeaseAction::Write { lease, expected } => {
                let current = self.stored.as_ref().map(|stored| stored.revision);
                if treatment == Treatment::Fails {
                    return Some(LeaseEvent::Wrote(LeaseWrite::Failed));
                }
                if current != expected {
                    return Some(LeaseEvent::Wrote(LeaseWrite::Conflict));
                }
                let revision = current.unwrap_or(Revision(0)).next();
                self.stored = Some(StoredLease { revision, lease });
                Some(LeaseEvent::Wrote(match treatment {
                    Treatment::LosesAnswer => LeaseWrite::AnswerLost,
                    _ => LeaseWrite::Written(revision),
                }))
            }
        }
    }

    fn run(&mut self, indices: &[usize], span_ms: u64, treatment: Treatment) {
        for _ in 0..span_ms / 100 {
            self.now = self.now + millis(100);
            for index in indices {
                self.tick(*index, treatment);
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
fn one_of_three_holds_it_and_goes_on_holding_it() {
    let mut bench = LeaseBench::new(3);
    bench.run(&[0, 1, 2], 60_000, Treatment::Answers);
    assert_eq!(bench.holders().len(), 1);
    assert_eq!(bench.terms, [Term(1)]);
}

/// The planner's VM is paused for half a minute while it makes a plan. Another planner takes over
/// and writes its own plan. After the pause, the first planner still has a plan to write, which
/// would bring back an old state. Its own clock shows that its lease has expired; and if it wrote
/// anyway, its term would be too low.
#[test]
fn a_paused_planner_that_wakes_may_do_nothing() {
    let mut bench = LeaseBench::new(2);
    bench.run(&[0], 3_000, Treatment::Answers);
    let paused = bench.keepers[0]
        .may_act(bench.now)
        .expect("it holds the lease");
    bench.run(&[1], 30_000, Treatment::Answers);
    assert_eq!(bench.keepers[0].may_act(bench.now), None);
    let next = bench.keepers[1].may_act(bench.now).expect("it took over");
    assert!(next > paused);
    assert!(!may_write(paused, next) && may_write(next, paused));
    bench.run(&[0, 1], 10_000, Treatment::Answers);
    assert_eq!(bench.holders(), [1]);
}

/// The lease is written and the answer is lost. Treated as a failure, the planner would wait for
/// its own lease to expire; treated as a success, two planners might act. It reads the key and
/// finds its own write.
#[test]
fn a_lost_answer_is_resolved_by_reading() {
    let mut bench = LeaseBench::new(1);
    bench.run(&[0], 2_000, Treatment::LosesAnswer);
    assert_eq!(bench.holders(), [0]);
    assert_eq!(bench.terms, [Term(1)]);
}

#[test]
fn a_lease_that_is_given_up_is_free_at_once() {
    let mut bench = LeaseBench::new(2);
    bench.run(&[0, 1], 10_000, Treatment::Answers);
    let holder = bench.holders()[0];
    let actions = bench.keepers[holder].handle(LeaseEvent::Release, bench.now);
    for action in actions {
        if let Some(event) = bench.act(action, Treatment::Answers) {
            bench.keepers[holder].handle(event, bench.now);
        }
    }
    assert!(bench.holders().is_empty());
    bench.run(&[0, 1], 3_000, Treatment::Answers);
    assert_eq!(bench.holders(), [1 - holder]);
}

#[test]
fn only_candidates_wait_for_it() {
    let mut bench = LeaseBench::new(2);
    bench.keepers[0].handle(LeaseEvent::Candidate(false), ClockTime::ZERO);
    bench.run(&[0, 1], 10_000, Treatment::Answers);
    assert_eq!(bench.holders(), [1]);
    assert!(LEASE_VALID < LEASE_TTL);
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    /// Outages, lost answers and pauses in any order: two planners never act at the same time, and
    /// each new holder has a higher term.
    #[test]
    fn never_two_planners(
        steps in prop::collection::vec((0_u8..8, 0_u8..3, 1_u64..90), 1..40),
    ) {
        let mut bench = LeaseBench::new(3);
        for (awake, treatment, tenths) in steps {
            let treatment = match treatment {
                0 => Treatment::Answers,
                1 => Treatment::Fails,
                _ => Treatment::LosesAnswer,
            };
            let awake: Vec<usize> = (0..3).filter(|index| awake & (1 << index) != 0).collect();
            for _ in 0..tenths {
                bench.now = bench.now + millis(100);
                for index in &awake {
                    bench.tick(*index, treatment);
                    prop_assert!(bench.holders().len() <= 1);
                }
            }
        }
        prop_assert!(bench.terms.is_sorted_by(|earlier, later| earlier < later));
        let before = bench.now;
        bench.run(&[0, 1, 2], 20_000, Treatment::Answers);
        prop_assert_eq!(bench.holders().len(), 1);
        prop_assert!(bench.now.since(before) >= seconds(20));
    }
}
