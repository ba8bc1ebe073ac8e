//! Store failures: unavailable, slow, or lost answers.

use std::time::Duration;

use oatpier_claims::event::ClaimEvent;
use oatpier_claims::event::ClaimSettings;
use oatpier_claims::message::{ClaimAnswer, ClaimDenial, ClaimQuery, KeyHash, RequestFingerprint};
use oatpier_types::ids::RequestId;

use crate::fleet::{ClaimFleet, key};

const SHORT_RUN: Duration = Duration::from_millis(200);

fn owner_of_one_key() -> (ClaimFleet, RequestId) {
    let mut fleet = ClaimFleet::new(2, ClaimSettings::default());
    let held = fleet.ask(0, key(1));
    fleet.run(0, SHORT_RUN);
    assert_eq!(fleet.answer(held), Some(&ClaimAnswer::Granted));
    (fleet, held)
}

#[test]
fn unavailable_store_rejects_only_new_keys() {
    // The store becomes unavailable. A request with a new key can't be claimed and is rejected as
    // not run; one whose key is known is still decided. When the store is available again, new keys
    // are accepted.
    let (mut fleet, held) = owner_of_one_key();
    fleet.store.up = false;
    let new = fleet.ask(0, key(2));
    fleet.run(0, SHORT_RUN);
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
    fleet.run(0, SHORT_RUN);
    assert_eq!(fleet.answer(later), Some(&ClaimAnswer::Granted));
}

#[test]
fn claim_is_granted_if_the_answer_is_lost_after_the_effect() {
    // The write takes effect and its answer is lost. If it counted as failed, the key would stay
    // blocked by a request that was rejected. Instead, a read finds the write, and the claim is
    // granted.
    let (mut fleet, _) = owner_of_one_key();
    let asked = fleet.ask(0, key(2));
    let write = fleet.unexecuted(Some(0))[0];
    fleet.execute_call(write);
    fleet.lose_answer(write);
    assert_eq!(fleet.answer(asked), None);
    fleet.run(0, SHORT_RUN);
    assert_eq!(fleet.answer(asked), Some(&ClaimAnswer::Granted));
    assert_eq!(fleet.log(0).counters().losses, 0);
}

#[test]
fn claim_is_granted_once_if_the_answer_is_lost_before_the_effect() {
    // The answer counts as lost, a read finds the previous head, and then the first write takes
    // effect after all, before or after the second try. One of the two succeeds, and the claim is
    // granted once, by the same claimer.
    let (mut fleet, _) = owner_of_one_key();
    let asked = fleet.ask(0, key(2));
    let write = fleet.unexecuted(Some(0))[0];
    fleet.lose_answer(write);
    let read = fleet.unexecuted(Some(0))[1];
    fleet.execute_call(read);
    fleet.deliver(read);
    fleet.execute_call(write);
    fleet.run(0, SHORT_RUN);
    assert_eq!(fleet.answer(asked), Some(&ClaimAnswer::Granted));
    assert_eq!(fleet.log(0).counters().losses, 0);
}

#[test]
fn rejected_claim_is_released_when_found_in_the_store() {
    // The write's answer is lost and the store is then unavailable for a long time, so the request
    // is rejected as not run. When the store is available again, the claim is found in it. It has
    // to be released, or the caller's next try is answered "may have run" for the whole retention.
    let (mut fleet, _) = owner_of_one_key();
    let asked = fleet.ask(0, key(2));
    let write = fleet.unexecuted(Some(0))[0];
    fleet.execute_call(write);
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
    fleet.run(1, SHORT_RUN);
    assert_eq!(fleet.answer(next), Some(&ClaimAnswer::Granted));
}

#[test]
fn paused_claimer_does_not_grant_an_expired_query() {
    // A claimer is paused for longer than the retention with an unread answer of the store. When it
    // resumes it must not grant the claim: the entry gave up long ago, and another request may hold
    // the key by now.
    let (mut fleet, _) = owner_of_one_key();
    let asked = fleet.ask(0, key(2));
    let write = fleet.unexecuted(Some(0))[0];
    fleet.execute_call(write);
    fleet.advance(Duration::from_hours(2));
    fleet.deliver(write);
    assert!(matches!(
        fleet.answer(asked),
        Some(ClaimAnswer::Unavailable { .. })
    ));
}

#[test]
fn key_reused_for_another_request_is_a_mismatch() {
    // A caller reuses a key for a different request by mistake. If it were answered "ran" for the
    // first one, it would assume that the second was done.
    let (mut fleet, held) = owner_of_one_key();
    let query = ClaimQuery {
        key: key(1),
        fingerprint: RequestFingerprint(9),
        request: RequestId(77),
    };
    fleet.requests.resize(78, fleet.requests[0]);
    fleet.step(0, ClaimEvent::Queried(query));
    let denial = ClaimDenial::Mismatch { holder: held };
    assert_eq!(
        fleet.answer(RequestId(77)),
        Some(&ClaimAnswer::Denied(denial))
    );
}

#[test]
fn waiting_claims_are_bounded() {
    // Queries accumulate while a write is slow. Beyond the bound they are rejected at once.
    let settings = ClaimSettings {
        max_waiting: 10,
        ..ClaimSettings::default()
    };
    let mut fleet = ClaimFleet::new(1, settings);
    fleet.step(0, ClaimEvent::OwnershipAssigned);
    fleet.run(0, SHORT_RUN);
    fleet.ask(0, key(0));
    let asked: Vec<RequestId> = (1..=12).map(|number| fleet.ask(0, key(number))).collect();
    let rejected = asked
        .iter()
        .filter(|id| fleet.answer(**id).is_some())
        .count();
    assert_eq!(rejected, 2);
}

#[test]
fn key_hashes_differ_between_callers() {
    // Two callers use the same key. If the keys were equal, one caller would get the result of the
    // other's request.
    let name = |raw: &str| oatpier_types::names::CallerName::try_from(raw).unwrap();
    let ours = KeyHash::of(&name("hall-1"), "report-7");
    assert_ne!(ours, KeyHash::of(&name("hall-2"), "report-7"));
    assert_ne!(ours, KeyHash::of(&name("hall-1r"), "eport-7"));
}
