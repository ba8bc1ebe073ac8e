//! Tests of the idempotency keys of at-most-once requests.

use oatpier_policy::action::{EntryAction, EntryActions};
use oatpier_policy::entry::EntryPolicy;
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::outcome::FinalCause;
use oatpier_types::ids::RequestId;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;

use crate::support::{
    answer, at, at_most_once_call, fire_due, first_frame, idempotent_call, policy, refused, sent,
    sent_attempt, start_and_send,
};

const REQUEST: RequestId = RequestId(1);

#[test]
fn only_keyed_at_most_once_requests_claim() {
    let mut policy = policy(0, 3, 1);
    let actions = policy.start(at_most_once_call(1), at(0));
    assert_eq!(actions.as_slice(), [EntryAction::Claim { key: 7 }]);
    let unkeyed = RequestIntake {
        key: None,
        ..at_most_once_call(2)
    };
    assert!(sent(&policy.start(unkeyed, at(0))).is_some());
    assert!(sent(&policy.start(idempotent_call(3), at(0))).is_some());
}

/// A caller resubmits through another entry while the first submission runs. The claim says whether
/// the first submission may have run, and the answer must carry that verdict. "Not run" would be
/// wrong for a request that took effect.
#[test]
fn a_used_key_is_refused_with_the_earlier_verdict() {
    let mut policy = policy(0, 3, 1);
    policy.start(at_most_once_call(1), at(0));
    let earlier = RunVerdict::Ran;
    let actions = policy.handle(REQUEST, &EntryEvent::ClaimRefused { earlier }, at(1));
    let answer = answer(&actions).expect("a refusal");
    assert_eq!((answer.status, answer.verdict), (409, RunVerdict::Ran));
    assert_eq!(actions.len(), 1, "another submission holds the claim");
}

#[test]
fn an_unavailable_claim_is_refused_as_not_run() {
    let mut policy = policy(0, 3, 1);
    policy.start(at_most_once_call(1), at(0));
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
/// answer at the deadline, and a later grant must not send the request.
#[test]
fn a_claim_granted_after_the_deadline_sends_nothing() {
    let mut policy = policy(0, 3, 1);
    policy.start(at_most_once_call(1), at(0));
    let actions = fire_due(&mut policy, at(2_000));
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

/// If the key of a request that did not run stayed used, a resubmission would be refused although
/// nothing ever ran.
#[test]
fn a_refused_request_frees_its_key() {
    let mut policy = policy(0, 1, 1);
    let (attempt, _) = start_and_send(&mut policy, at_most_once_call(1));
    let actions = policy.handle(REQUEST, &refused(attempt, RefusalCause::QueueFull), at(5));
    let settle = EntryAction::SettleClaim {
        key: 7,
        verdict: RunVerdict::NotRun,
    };
    assert_eq!(actions[0], settle);
}

/// A duplicate grant must not send the request a second time.
#[test]
fn a_duplicate_grant_is_dropped() {
    let mut policy = policy(0, 3, 1);
    policy.start(at_most_once_call(1), at(0));
    let actions = policy.handle(REQUEST, &EntryEvent::ClaimGranted, at(1));
    sent_attempt(&actions);
    let again = policy.handle(REQUEST, &EntryEvent::ClaimGranted, at(2));
    assert!(again.is_empty());
}

/// An at-most-once call gets no response until its deadline. Its caller is told "may have run" and
/// the key stays used. Then the seal is answered: nothing ran, nor will. If the answer were
/// dropped, the caller could never submit the call under this key.
#[test]
fn a_seal_answered_after_the_end_frees_the_key() {
    let mut policy = policy(0, 3, 1);
    let (attempt, _) = start_and_send(&mut policy, at_most_once_call(1));
    let actions = end_at_deadline(&mut policy);
    assert!(actions.contains(&settle(RunVerdict::MayHaveRun)));
    let verdict = RunVerdict::NotRun;
    let late = EntryEvent::CancelAnswered { attempt, verdict };
    let freed = policy.handle(REQUEST, &late, at(2_100));
    assert_eq!(freed.as_slice(), [settle(verdict)]);
    assert!(policy.handle(REQUEST, &late, at(2_101)).is_empty());
}

/// As before, but a part of the answer had arrived, so the call ran at least in part. Whatever the
/// agent reports late, the key must not be freed for a second run.
#[test]
fn a_partly_answered_call_keeps_its_key_after_a_late_seal() {
    let mut policy = policy(0, 3, 1);
    let (attempt, _) = start_and_send(&mut policy, at_most_once_call(1));
    policy.handle(REQUEST, &first_frame(attempt), at(10));
    end_at_deadline(&mut policy);
    let verdict = RunVerdict::NotRun;
    let late = EntryEvent::CancelAnswered { attempt, verdict };
    assert!(policy.handle(REQUEST, &late, at(2_100)).is_empty());
}

fn settle(verdict: RunVerdict) -> EntryAction {
    EntryAction::SettleClaim { key: 7, verdict }
}

/// Fires the timers of an at-most-once call up to its deadline.
fn end_at_deadline(policy: &mut EntryPolicy) -> EntryActions {
    [1_000, 1_500, 2_000]
        .into_iter()
        .flat_map(|millis| fire_due(policy, at(millis)))
        .collect()
}
