//! The store is away, slow, or loses answers.

use std::time::Duration;

use oatpier_claims::event::ClaimEvent;
use oatpier_claims::event::ClaimSettings;
use oatpier_claims::message::{ClaimAnswer, ClaimAsk, ClaimDenial, KeyHash, RequestFingerprint};
use oatpier_types::ids::RequestId;

use crate::fleet::{ClaimFleet, key};

const SOON: Duration = Duration::from_millis(200);

fn owner_of_one_key() -> (ClaimFleet, RequestId) {
    let mut fleet = ClaimFleet::new(2, ClaimSettings::default());
    let held = fleet.ask(0, key(1));
    fleet.run(0, SOON);
    assert_eq!(fleet.answer(held), Some(&ClaimAnswer::Granted));
    (fleet, held)
}

#[test]
fn store_away_turns_back_new_keys_alone() {
    // The store goes away. A request with a new key can't be claimed and is turned back, truly
    // not run; one whose key is known is still judged. When the store is back, new keys go on.
    let (mut fleet, held) = owner_of_one_key();
    fleet.store.up = false;
    let new = fleet.ask(0, key(2));
    fleet.run(0, SOON);
    assert!(matches!(
        fleet.answer(new),
        Some(ClaimAnswer::Unavailable { .. })
    ));
    let again = fleet.ask(0, key(1));
    let denial = ClaimDenial::Held { holder: held };
    assert_eq!(fleet.answer(again), Some(&ClaimAnswer::Denied(denial)));
    fleet.store.up = true;
    fleet.run(0, Duration::from_secs(1));
    let later = fleet.ask(0, key(2));
    fleet.run(0, SOON);
    assert_eq!(fleet.answer(later), Some(&ClaimAnswer::Granted));
}

#[test]
fn answer_lost_after_the_effect() {
    // The write takes effect and its answer is lost. Taken for failed, the key stays blocked by a
    // request that was turned back; a read finds the write, and the claim is granted.
    let (mut fleet, _) = owner_of_one_key();
    let asked = fleet.ask(0, key(2));
    let write = fleet.unseen(Some(0))[0];
    fleet.take_effect(write);
    fleet.lose_answer(write);
    assert_eq!(fleet.answer(asked), None);
    fleet.run(0, SOON);
    assert_eq!(fleet.answer(asked), Some(&ClaimAnswer::Granted));
    assert_eq!(fleet.log(0).counters().losses, 0);
}

#[test]
fn answer_lost_before_the_effect() {
    // The answer is given up for lost, a read finds the former head, and then the write takes
    // effect after all, before or after the second try. One of the two wins, and the claim is
    // granted once, by the same claimer.
    let (mut fleet, _) = owner_of_one_key();
    let asked = fleet.ask(0, key(2));
    let write = fleet.unseen(Some(0))[0];
    fleet.lose_answer(write);
    let read = fleet.unseen(Some(0))[1];
    fleet.take_effect(read);
    fleet.deliver(read);
    fleet.take_effect(write);
    fleet.run(0, SOON);
    assert_eq!(fleet.answer(asked), Some(&ClaimAnswer::Granted));
    assert_eq!(fleet.log(0).counters().losses, 0);
}

#[test]
fn claim_that_was_turned_back_is_freed_when_found() {
    // The write's answer is lost and the store is then away for long, so the asker is turned back
    // as not run. When the store is back, the claim is found to be there: it has to be released,
    // or the caller's next try is told "may have run" for the whole retention.
    let (mut fleet, _) = owner_of_one_key();
    let asked = fleet.ask(0, key(2));
    let write = fleet.unseen(Some(0))[0];
    fleet.take_effect(write);
    fleet.store.up = false;
    fleet.lose_answer(write);
    fleet.run(0, Duration::from_secs(3));
    assert!(matches!(
        fleet.answer(asked),
        Some(ClaimAnswer::Unavailable { .. })
    ));
    fleet.store.up = true;
    fleet.run(0, Duration::from_secs(3));
    let next = fleet.ask(1, key(2));
    fleet.run(1, SOON);
    assert_eq!(fleet.answer(next), Some(&ClaimAnswer::Granted));
}

#[test]
fn claimer_that_was_paused_grants_nothing_old() {
    // A claimer is paused for longer than the retention with an answer of the store unread. On
    // waking it must not grant: its asker gave up long ago, and the key may be another's by now.
    let (mut fleet, _) = owner_of_one_key();
    let asked = fleet.ask(0, key(2));
    let write = fleet.unseen(Some(0))[0];
    fleet.take_effect(write);
    fleet.advance(Duration::from_hours(2));
    fleet.deliver(write);
    assert!(matches!(
        fleet.answer(asked),
        Some(ClaimAnswer::Unavailable { .. })
    ));
}

#[test]
fn key_used_for_something_else() {
    // A caller uses a key again for another request by mistake. Told "ran" of the first one, it
    // would believe that the second was done.
    let (mut fleet, held) = owner_of_one_key();
    let ask = ClaimAsk {
        key: key(1),
        fingerprint: RequestFingerprint(9),
        request: RequestId(77),
    };
    fleet.requests.resize(78, fleet.requests[0]);
    fleet.step(0, ClaimEvent::Asked(ask));
    let denial = ClaimDenial::Mismatch { holder: held };
    assert_eq!(
        fleet.answer(RequestId(77)),
        Some(&ClaimAnswer::Denied(denial))
    );
}

#[test]
fn waiting_claims_are_bounded() {
    // While a write takes long, asks pile up. Beyond the bound they are turned back at once.
    let settings = ClaimSettings {
        waiting: 10,
        ..ClaimSettings::default()
    };
    let mut fleet = ClaimFleet::new(1, settings);
    fleet.step(0, ClaimEvent::Assumed);
    fleet.run(0, SOON);
    fleet.ask(0, key(0));
    let asked: Vec<RequestId> = (1..=12).map(|number| fleet.ask(0, key(number))).collect();
    let turned_back = asked
        .iter()
        .filter(|id| fleet.answer(**id).is_some())
        .count();
    assert_eq!(turned_back, 2);
}

#[test]
fn key_hashes_tell_callers_apart() {
    // Two members of a consortium pick the same key. One would be told of the other's request.
    let name = |raw: &str| oatpier_types::names::CallerName::try_from(raw).unwrap();
    let ours = KeyHash::of(&name("hall-1"), "report-7");
    assert_ne!(ours, KeyHash::of(&name("hall-2"), "report-7"));
    assert_ne!(ours, KeyHash::of(&name("hall-1r"), "eport-7"));
}
