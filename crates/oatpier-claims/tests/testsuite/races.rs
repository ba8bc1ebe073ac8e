//! Claimers of one partition beside each other, in random order of all that can happen.

use std::time::Duration;

use oatpier_claims::event::{ClaimEvent, ClaimSettings};
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::RunVerdict;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

use crate::fleet::{ClaimFleet, key, short_settings};

const CLAIMERS: usize = 3;

/// Random runs of each test.
const CASES: u32 = 500;

#[derive(Debug, Clone)]
enum Happening {
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

fn happening() -> impl Strategy<Value = Happening> {
    use Happening as H;
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

fn happen(fleet: &mut ClaimFleet, happening: &Happening) {
    let requests = fleet.requests.len().max(1);
    let id = |request: usize| RequestId((request % requests) as u128);
    let nothing_asked = fleet.requests.is_empty();
    match *happening {
        Happening::Ask {
            claimer,
            key: number,
        } => {
            fleet.ask(claimer, key(number));
        }
        Happening::AskAgain { claimer, request } if !nothing_asked => {
            fleet.ask_again(claimer, id(request));
        }
        Happening::Release { claimer, request } if !nothing_asked => {
            fleet.release(claimer, id(request));
        }
        Happening::Finish { claimer, request } if !nothing_asked => {
            finish_granted(fleet, claimer, id(request));
        }
        Happening::AskAgain { .. } | Happening::Release { .. } | Happening::Finish { .. } => {}
        Happening::Resign { claimer } => fleet.step(claimer, ClaimEvent::Resigned),
        Happening::TakeEffect { call } => {
            let call = pick(&fleet.unseen(None), call);
            if let Some(call) = call {
                fleet.take_effect(call);
            }
        }
        Happening::Deliver { call } => {
            let call = pick(&fleet.undelivered(None), call);
            if let Some(call) = call {
                fleet.deliver(call);
            }
        }
        Happening::LoseAnswer { call, seen } => {
            let calls = if seen {
                fleet.undelivered(None)
            } else {
                fleet.unseen(None)
            };
            let call = pick(&calls, call);
            if let Some(call) = call {
                fleet.lose_answer(call);
            }
        }
        Happening::Run { claimer, millis } => fleet.run(claimer, Duration::from_millis(millis)),
        Happening::Advance { millis } => fleet.advance(Duration::from_millis(millis)),
        Happening::Wake { claimer } => fleet.step(claimer, ClaimEvent::Timer),
        Happening::Restart { claimer } => fleet.restart(claimer),
        Happening::Store { up } => fleet.store.up = up,
    }
}

/// Only an entry whose request may run says how it ended.
fn finish_granted(fleet: &mut ClaimFleet, claimer: usize, request: RequestId) {
    let asked = fleet.asked(request);
    if asked.granted_at.is_some() && !asked.released {
        fleet.finish(claimer, request, RunVerdict::Ran);
    }
}

fn happenings() -> impl Strategy<Value = Vec<Happening>> {
    prop::collection::vec(happening(), 20..250)
}

fn double_grants(settings: ClaimSettings, compares: bool, happenings: &[Happening]) -> usize {
    let mut fleet = ClaimFleet::new(CLAIMERS, settings);
    fleet.store.compares = compares;
    for happening in happenings {
        happen(&mut fleet, happening);
    }
    fleet.double_grants
}

/// A release by an entry is true only if the request never runs. The model's entries may also
/// release what they were granted: they then knew that it did not run.
#[test]
fn two_claimers_never_grant_one_key() {
    // Two requests with one key come through two entries whose views differ, so each asks another
    // claimer. Claimers are paused, killed and woken between any two steps, the store's answers
    // are lost before and after the effect, and the store is away now and then. Both callers
    // would see their change applied.
    let mut runner = TestRunner::new_with_rng(Config::with_cases(CASES), fixed_rng());
    runner
        .run(&happenings(), |happenings| {
            prop_assert_eq!(double_grants(short_settings(), true, &happenings), 0);
            Ok(())
        })
        .unwrap();
}

#[test]
fn keys_are_remembered_for_the_retention() {
    // A key is used again within the retention, after claimers came and went and segments of the
    // log were removed, some while a former claimer was paused. Forgotten too soon, or recreated
    // by that claimer, it would be granted again.
    let settings = ClaimSettings {
        retention: Duration::from_secs(5),
        ..short_settings()
    };
    let mut runner = TestRunner::new_with_rng(Config::with_cases(CASES), fixed_rng());
    runner
        .run(&happenings(), |happenings| {
            prop_assert_eq!(double_grants(settings.clone(), true, &happenings), 0);
            Ok(())
        })
        .unwrap();
}

#[test]
fn without_compare_and_swap_two_claimers_grant_one_key() {
    // The same, on a store that writes whatever is expected: shows that the random runs reach the
    // double grant that compare-and-swap prevents.
    let mut runner = TestRunner::new_with_rng(Config::with_cases(CASES), fixed_rng());
    let outcome = runner.run(&happenings(), |happenings| {
        prop_assert_eq!(double_grants(short_settings(), false, &happenings), 0);
        Ok(())
    });
    assert!(outcome.is_err(), "no double grant was reached");
}

fn fixed_rng() -> proptest::test_runner::TestRng {
    use proptest::test_runner::{RngAlgorithm, TestRng};
    TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32])
}
