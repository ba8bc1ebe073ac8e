//! Idempotency keys of at-most-once requests.

use oatpier_policy::action::{EntryAction, EntryActions};
use oatpier_policy::entry::EntryPolicy;
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::outcome::FinalCause;
use oatpier_types::ids::RequestId;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;

use crate::support::{
    answer, at, begin, change, fetch, fire, first_frame, policy, refused, sent, sent_attempt,
};

const REQUEST: RequestId = RequestId(1);

#[test]
fn only_keyed_at_most_once_requests_claim() {
    let mut policy = policy(0, 3, 1);
    let actions = policy.start(change(1), at(0));
    assert_eq!(actions.as_slice(), [EntryAction::Claim { key: 7 }]);
    let unkeyed = RequestIntake {
        key: None,
        ..change(2)
    };
    assert!(sent(&policy.start(unkeyed, at(0))).is_some());
    assert!(sent(&policy.start(fetch(3), at(0))).is_some());
}

/// A caller resubmits through another entry while the first submission runs. The claim says
/// whether that one may have run; the answer must say so, not "not run" of a change that stands.
#[test]
fn a_used_key_tells_what_became_of_its_first_use() {
    let mut policy = policy(0, 3, 1);
    policy.start(change(1), at(0));
    let earlier = RunVerdict::Ran;
    let actions = policy.handle(REQUEST, &EntryEvent::ClaimRefused { earlier }, at(1));
    let answer = answer(&actions).expect("a refusal");
    assert_eq!((answer.status, answer.verdict), (409, RunVerdict::Ran));
    assert_eq!(
        actions.len(),
        1,
        "the claim is not this request's to settle"
    );
}

#[test]
fn an_unavailable_claim_is_refused_not_run() {
    let mut policy = policy(0, 3, 1);
    policy.start(change(1), at(0));
    let actions = policy.handle(REQUEST, &EntryEvent::ClaimUnavailable, at(1));
    let answer = answer(&actions).expect("a refusal");
    assert_eq!(
        answer.cause,
        FinalCause::Refused(RefusalCause::ClaimUnavailable)
    );
    assert_eq!((answer.status, answer.verdict), (503, RunVerdict::NotRun));
    assert!(answer.retry_after.is_some());
}

/// The store is slow, and the deadline passes before the claim is granted. The request gets its
/// answer then, and a grant that comes later must not send the change after all.
#[test]
fn a_claim_granted_after_the_deadline_sends_nothing() {
    let mut policy = policy(0, 3, 1);
    policy.start(change(1), at(0));
    let actions = fire(&mut policy, at(2_000));
    assert_eq!(
        answer(&actions).expect("an answer").verdict,
        RunVerdict::NotRun
    );
    let settle = EntryAction::SettleClaim {
        key: 7,
        verdict: RunVerdict::NotRun,
    };
    assert_eq!(actions[0], settle);
    let late = policy.handle(REQUEST, &EntryEvent::ClaimGranted, at(2_001));
    assert!(late.is_empty());
}

/// A key whose request was refused truly not run is freed, or its resubmission would be refused
/// as used though nothing ever ran.
#[test]
fn a_refused_request_frees_its_key() {
    let mut policy = policy(0, 1, 1);
    let (attempt, _) = begin(&mut policy, change(1));
    let actions = policy.handle(REQUEST, &refused(attempt, RefusalCause::QueueFull), at(5));
    let settle = EntryAction::SettleClaim {
        key: 7,
        verdict: RunVerdict::NotRun,
    };
    assert_eq!(actions[0], settle);
}

/// A doubled grant must not send the change a second time.
#[test]
fn a_doubled_grant_is_dropped() {
    let mut policy = policy(0, 3, 1);
    policy.start(change(1), at(0));
    let actions = policy.handle(REQUEST, &EntryEvent::ClaimGranted, at(1));
    sent_attempt(&actions);
    let again = policy.handle(REQUEST, &EntryEvent::ClaimGranted, at(2));
    assert!(again.is_empty());
}

/// A change hears nothing until its deadline; its caller is told "may have run" and the key stays
/// used. The seal's answer comes after that: nothing ran, nor will. Were it dropped, the caller
/// could never submit the change under this key.
#[test]
fn a_seal_answered_after_the_end_frees_the_key() {
    let mut policy = policy(0, 3, 1);
    let (attempt, _) = begin(&mut policy, change(1));
    let actions = end_at_deadline(&mut policy);
    assert!(actions.contains(&settle(RunVerdict::MayHaveRun)));
    let verdict = RunVerdict::NotRun;
    let late = EntryEvent::CancelAnswered { attempt, verdict };
    let freed = policy.handle(REQUEST, &late, at(2_100));
    assert_eq!(freed.as_slice(), [settle(verdict)]);
    assert!(policy.handle(REQUEST, &late, at(2_101)).is_empty());
}

/// The same, but something of the change's answer had come: it ran at least in part, and whatever
/// a late word of its agent says, the key must not be free for a second run.
#[test]
fn a_change_that_showed_signs_keeps_its_key() {
    let mut policy = policy(0, 3, 1);
    let (attempt, _) = begin(&mut policy, change(1));
    policy.handle(REQUEST, &first_frame(attempt), at(10));
    end_at_deadline(&mut policy);
    let verdict = RunVerdict::NotRun;
    let late = EntryEvent::CancelAnswered { attempt, verdict };
    assert!(policy.handle(REQUEST, &late, at(2_100)).is_empty());
}

fn settle(verdict: RunVerdict) -> EntryAction {
    EntryAction::SettleClaim { key: 7, verdict }
}

/// Fires timers through the silence and the deadline of a change.
fn end_at_deadline(policy: &mut EntryPolicy) -> EntryActions {
    [1_000, 1_500, 2_000]
        .into_iter()
        .flat_map(|millis| fire(policy, at(millis)))
        .collect()
}
