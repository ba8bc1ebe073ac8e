//! Concurrent claimers of one partition under random sequences of events.

use std::time::Duration;

use oatpier_claims::event::{ClaimEvent, ClaimSettings};
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::RunVerdict;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

use crate::fleet::{ClaimFleet, key, short_settings};

const CLAIMERS: usize = 3;

/// Number of random runs per test.
const CASES: u32 = 500;

#[derive(Debug, Clone)]
enum TestEvent {
    Ask { claimer: usize, key: u8 },
    AskAgain { claimer: usize, request: usize },
    Release { claimer: usize, request: usize },
    Finish { claimer: usize, request: usize },
    Resign { claimer: usize },
    TakeEffect { call: usize },
    Deliver { call: usize },
    LoseAnswer { call: usize, seen: bool },
    Run { claimer: usize, millis: u64 },
    Advance { millis: u64 },
    Wake { claimer: usize },
    Restart { claimer: usize },
    Store { up: bool },
}

fn test_event() -> impl Strategy<Value = TestEvent> {
    use TestEvent as H;
    let claimer = || 0..CLAIMERS;
    let number = || 0..1_000_usize;
    prop_oneof![
        8 => (claimer(), 0..4_u8).prop_map(|(claimer, key)| H::Ask { claimer, key }),
        3 => (claimer(), number()).prop_map(|(claimer, request)| H::AskAgain { claimer, request }),
        3 => (claimer(), number()).prop_map(|(claimer, request)| H::Release { claimer, request }),
        2 => (claimer(), number()).prop_map(|(claimer, request)| H::Finish { claimer, request }),
        1 => claimer().prop_map(|claimer| H::Resign { claimer }),
        8 => number().prop_map(|call| H::TakeEffect { call }),
        8 => number().prop_map(|call| H::Deliver { call }),
        3 => (number(), any::<bool>()).prop_map(|(call, seen)| H::LoseAnswer { call, seen }),
        6 => (claimer(), 1..1_500_u64).prop_map(|(claimer, millis)| H::Run { claimer, millis }),
        3 => prop_oneof![1..300_u64, 1_000..8_000_u64].prop_map(|millis| H::Advance { millis }),
        4 => claimer().prop_map(|claimer| H::Wake { claimer }),
        1 => claimer().prop_map(|claimer| H::Restart { claimer }),
        1 => any::<bool>().prop_map(|up| H::Store { up }),
    ]
}

fn pick(from: &[usize], number: usize) -> Option<usize> {
    (!from.is_empty()).then(|| from[number % from.len()])
}

fn apply_event(fleet: &mut ClaimFleet, test_event: &TestEvent) {
    let requests = fleet.requests.len().max(1);
    let id = |request: usize| RequestId((request % requests) as u128);
    let nothing_asked = fleet.requests.is_empty();
    match *test_event {
        TestEvent::Ask {
            claimer,
            key: number,
        } => {
            fleet.ask(claimer, key(number));
        }
        TestEvent::AskAgain { claimer, request } if !nothing_asked => {
            fleet.ask_again(claimer, id(request));
        }
        TestEvent::Release { claimer, request } if !nothing_asked => {
            fleet.release(claimer, id(request));
        }
        TestEvent::Finish { claimer, request } if !nothing_asked => {
            finish_granted(fleet, claimer, id(request));
        }
        TestEvent::AskAgain { .. } | TestEvent::Release { .. } | TestEvent::Finish { .. } => {}
        TestEvent::Resign { claimer } => fleet.step(claimer, ClaimEvent::OwnershipRevoked),
        TestEvent::TakeEffect { call } => {
            let call = pick(&fleet.unexecuted(None), call);
            if let Some(call) = call {
                fleet.execute_call(call);
            }
        }
        TestEvent::Deliver { call } => {
            let call = pick(&fleet.undelivered(None), call);
            if let Some(call) = call {
                fleet.deliver(call);
            }
        }
        TestEvent::LoseAnswer { call, seen } => {
            let calls = if seen {
                fleet.undelivered(None)
            } else {
                fleet.unexecuted(None)
            };
            let call = pick(&calls, call);
            if let Some(call) = call {
                fleet.lose_answer(call);
            }
        }
        TestEvent::Run { claimer, millis } => fleet.run(claimer, Duration::from_millis(millis)),
        TestEvent::Advance { millis } => fleet.advance(Duration::from_millis(millis)),
        TestEvent::Wake { claimer } => fleet.step(claimer, ClaimEvent::Timer),
        TestEvent::Restart { claimer } => fleet.restart(claimer),
        TestEvent::Store { up } => fleet.store.up = up,
    }
}

/// Reports the end of a request. Only the entry of a granted and unreleased request does so.
fn finish_granted(fleet: &mut ClaimFleet, claimer: usize, request: RequestId) {
    let asked = fleet.asked(request);
    if asked.granted_at.is_some() && !asked.released {
        fleet.finish(claimer, request, RunVerdict::Ran);
    }
}

fn test_events() -> impl Strategy<Value = Vec<TestEvent>> {
    prop::collection::vec(test_event(), 20..250)
}

fn double_grants(
    settings: ClaimSettings,
    checks_preconditions: bool,
    test_events: &[TestEvent],
) -> usize {
    let mut fleet = ClaimFleet::new(CLAIMERS, settings);
    fleet.store.checks_preconditions = checks_preconditions;
    for test_event in test_events {
        apply_event(&mut fleet, test_event);
    }
    fleet.double_grants
}

/// A release by an entry is valid only if the request never runs. The modelled entries may also
/// release requests that were granted: they then know that the request did not run.
#[test]
fn concurrent_claimers_never_grant_one_key_twice() {
    // Two requests with one key arrive through two entries whose membership views differ, so each
    // asks another claimer. Claimers are paused, killed and resumed between any two steps, answers
    // of the store are lost before and after the effect, and the store is unavailable at times. If
    // both requests were granted, the change would be applied twice.
    let mut runner = TestRunner::new_with_rng(Config::with_cases(CASES), fixed_rng());
    runner
        .run(&test_events(), |test_events| {
            prop_assert_eq!(double_grants(short_settings(), true, &test_events), 0);
            Ok(())
        })
        .unwrap();
}

#[test]
fn keys_are_remembered_for_the_retention() {
    // A key is used again within the retention, after claimers changed and segments of the log were
    // removed, some of them while a previous claimer was paused. If the key were dropped too early,
    // or its segment recreated by that claimer, it would be granted again.
    let settings = ClaimSettings {
        retention: Duration::from_secs(5),
        ..short_settings()
    };
    let mut runner = TestRunner::new_with_rng(Config::with_cases(CASES), fixed_rng());
    runner
        .run(&test_events(), |test_events| {
            prop_assert_eq!(double_grants(settings.clone(), true, &test_events), 0);
            Ok(())
        })
        .unwrap();
}

#[test]
fn without_compare_and_swap_two_claimers_grant_one_key() {
    // The same on a store that ignores the precondition of writes. Shows that the random runs reach
    // the double grant that compare-and-swap prevents.
    let mut runner = TestRunner::new_with_rng(Config::with_cases(CASES), fixed_rng());
    let outcome = runner.run(&test_events(), |test_events| {
        prop_assert_eq!(double_grants(short_settings(), false, &test_events), 0);
        Ok(())
    });
    assert!(outcome.is_err(), "no double grant was reached");
}

fn fixed_rng() -> proptest::test_runner::TestRng {
    use proptest::test_runner::{RngAlgorithm, TestRng};
    TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32])
}
