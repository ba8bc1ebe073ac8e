//! Tests of single requests under faults.

use std::time::Duration;

use oatpier_policy::action::{CancelMode, EntryAction};
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::outcome::FinalCause;
use oatpier_types::ids::RequestId;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;

use crate::support::{
    FIRST_TOKEN_TARGET, answer, at, at_most_once_call, ended, fire_due, first_frame,
    idempotent_call, policy, refused, sent, sent_attempt, start_and_send, stream_request,
};

const REQUEST: RequestId = RequestId(1);

fn piece(attempt: oatpier_types::ids::AttemptId, tokens: u32) -> EntryEvent {
    EntryEvent::Piece { attempt, tokens }
}

#[test]
fn a_complete_answer_ends_the_request_in_time() {
    let mut policy = policy(3, 0, 1);
    let (attempt, _) = start_and_send(&mut policy, stream_request(1));
    policy.handle(REQUEST, &first_frame(attempt), at(50));
    let relayed = policy.handle(REQUEST, &piece(attempt, 1), at(60));
    assert_eq!(relayed.as_slice(), [EntryAction::Relay { attempt }]);
    let actions = policy.handle(REQUEST, &ended(attempt), at(61));
    let answer = answer(&actions).expect("an end");
    assert!(answer.in_time);
    assert_eq!(answer.verdict, RunVerdict::Ran);
    assert_eq!(policy.in_flight(), 0);
}

/// The connection to the first endpoint breaks after four tokens. An engine can resume after the
/// tokens that a caller has, so another endpoint continues from there. Sending the whole answer
/// again would repeat the first four tokens.
#[test]
fn an_interrupted_stream_is_resumed_after_the_relayed_tokens() {
    let mut policy = policy(3, 0, 1);
    let (attempt, endpoint) = start_and_send(&mut policy, stream_request(1));
    policy.handle(REQUEST, &piece(attempt, 4), at(50));
    let actions = policy.handle(REQUEST, &EntryEvent::ConnectionLost { attempt }, at(60));
    let (next, spec) = sent(&actions).expect("a resumed attempt");
    assert!(matches!(actions.last(), Some(EntryAction::Resume { .. })));
    assert_ne!(next, endpoint);
    assert_eq!(spec.resume_after, 4);
}

/// The only replica of a model restarts in the middle of an answer. No other endpoint can serve, so
/// the same one must be asked to continue; otherwise each restart causes an error at the caller.
#[test]
fn an_interrupted_stream_is_resumed_at_the_only_replica() {
    let mut policy = policy(1, 0, 1);
    let (attempt, endpoint) = start_and_send(&mut policy, stream_request(1));
    policy.handle(REQUEST, &piece(attempt, 4), at(50));
    let actions = policy.handle(REQUEST, &EntryEvent::ConnectionLost { attempt }, at(60));
    assert_eq!(sent(&actions).map(|(next, _)| next), Some(endpoint));
}

/// An answer breaks off after a part was relayed and can't be resumed. The caller must get an
/// explicit error, because it would take a silent end for a complete short answer.
#[test]
fn an_interrupted_answer_that_cannot_be_resumed_ends_in_an_error() {
    let mut policy = policy(0, 3, 1);
    let (attempt, _) = start_and_send(&mut policy, idempotent_call(1));
    policy.handle(REQUEST, &piece(attempt, 0), at(50));
    let actions = policy.handle(REQUEST, &EntryEvent::ConnectionLost { attempt }, at(60));
    let answer = answer(&actions).expect("an explicit end");
    assert_eq!((answer.status, answer.has_begun), (502, true));
    assert_eq!(answer.cause, FinalCause::Incomplete);
}

/// The first endpoint is silent and the request is sent to another one, then pieces of the first
/// arrive after all. They must be dropped, or two answers would mix.
#[test]
fn late_pieces_of_a_replaced_attempt_are_dropped() {
    let mut policy = policy(3, 0, 1);
    let (late, _) = start_and_send(&mut policy, stream_request(1));
    let due = policy.next_timer().expect("a silence timer");
    let actions = fire_due(&mut policy, due);
    let live = sent_attempt(&actions);
    assert_ne!(late, live);
    assert!(policy.handle(REQUEST, &piece(late, 1), at(200)).is_empty());
    assert!(policy.handle(REQUEST, &ended(late), at(201)).is_empty());
    let relayed = policy.handle(REQUEST, &piece(live, 1), at(202));
    assert_eq!(relayed.as_slice(), [EntryAction::Relay { attempt: live }]);
    policy.handle(REQUEST, &ended(live), at(203));
    assert_eq!(policy.counts().dropped, 2);
}

/// An at-most-once call gets no response: it may have been lost in transit, or be running. The
/// agent is asked to seal it, and only the verdict "not run" permits another endpoint.
#[test]
fn a_silent_at_most_once_call_is_retried_only_once_sealed() {
    let mut policy = policy(0, 3, 1);
    let (attempt, endpoint) = start_and_send(&mut policy, at_most_once_call(1));
    let due = policy.next_timer().expect("a silence timer");
    let actions = fire_due(&mut policy, due);
    let seal = EntryAction::Cancel {
        endpoint: endpoint.clone(),
        attempt,
        mode: CancelMode::SealOnly,
    };
    assert_eq!(actions.as_slice(), [seal]);
    let verdict = RunVerdict::NotRun;
    let sealed = EntryEvent::CancelAnswered { attempt, verdict };
    let actions = policy.handle(REQUEST, &sealed, due);
    assert_ne!(sent(&actions).expect("another attempt").0, endpoint);
}

/// As above, but the call is already running. Its answer is awaited until the deadline. Then the
/// caller is told at once that it may have run, and no other replica gets the call.
#[test]
fn a_silent_call_that_may_run_is_awaited_until_the_deadline() {
    let mut policy = policy(0, 3, 1);
    let (attempt, _) = start_and_send(&mut policy, at_most_once_call(1));
    let due = policy.next_timer().expect("a silence timer");
    fire_due(&mut policy, due);
    let verdict = RunVerdict::MayHaveRun;
    let running = EntryEvent::CancelAnswered { attempt, verdict };
    assert!(policy.handle(REQUEST, &running, due).is_empty());
    assert!(fire_due(&mut policy, at(1_999)).is_empty());
    let actions = fire_due(&mut policy, at(2_000));
    let answer = answer(&actions).expect("an answer at the deadline");
    assert_eq!(
        (answer.status, answer.verdict),
        (504, RunVerdict::MayHaveRun)
    );
    assert!(
        answer.retry_after.is_some(),
        "its key lets a resubmission learn the outcome"
    );
}

/// A message is duplicated in transit. Its first copy runs, as the agent reports when asked to seal
/// it. Then the agent begins to leave and refuses the second copy. That refusal says nothing about
/// the first copy: sending the call to another endpoint would apply it twice.
#[test]
fn a_refusal_does_not_override_may_have_run() {
    let mut policy = policy(0, 3, 1);
    let (attempt, _) = start_and_send(&mut policy, at_most_once_call(1));
    let due = policy.next_timer().expect("a silence timer");
    fire_due(&mut policy, due);
    let verdict = RunVerdict::MayHaveRun;
    policy.handle(
        REQUEST,
        &EntryEvent::CancelAnswered { attempt, verdict },
        due,
    );
    let actions = policy.handle(REQUEST, &refused(attempt, RefusalCause::Leaving), due);
    assert!(sent(&actions).is_none());
    let answer = answer(&actions).expect("an end");
    assert_eq!(
        (answer.status, answer.verdict),
        (502, RunVerdict::MayHaveRun)
    );
}

/// A call without a key may have run, and its caller can't learn the outcome by sending it again. A
/// suggestion to retry could apply it twice.
#[test]
fn an_unkeyed_call_that_may_have_run_gets_no_retry_after() {
    let mut policy = policy(0, 3, 1);
    let intake = RequestIntake {
        key: None,
        ..at_most_once_call(1)
    };
    let (attempt, _) = start_and_send(&mut policy, intake);
    let actions = policy.handle(REQUEST, &EntryEvent::ConnectionLost { attempt }, at(5));
    let answer = answer(&actions).expect("an end");
    assert_eq!(
        (answer.status, answer.verdict),
        (502, RunVerdict::MayHaveRun)
    );
    assert_eq!(answer.retry_after, None);
}

/// A burst fills all queues and each agent refuses. The caller must be told at once when to retry,
/// with the delay that the agent suggested, instead of waiting until its deadline.
#[test]
fn a_request_refused_by_all_agents_is_refused_at_once() {
    let mut policy = policy(2, 0, 1);
    let (first, _) = start_and_send(&mut policy, stream_request(1));
    let actions = policy.handle(REQUEST, &refused(first, RefusalCause::QueueFull), at(5));
    let second = sent_attempt(&actions);
    let actions = policy.handle(REQUEST, &refused(second, RefusalCause::QueueFull), at(10));
    let answer = answer(&actions).expect("a refusal");
    assert_eq!(answer.cause, FinalCause::Refused(RefusalCause::QueueFull));
    assert_eq!(answer.verdict, RunVerdict::NotRun);
    assert_eq!(answer.retry_after, Some(Duration::from_millis(700)));
}

/// The first attempt of an idempotent request is silent and cancelled, the second one is refused.
/// The first may still run, so the answer must not be "not run".
#[test]
fn a_refusal_after_a_silent_attempt_is_not_reported_as_not_run() {
    let mut policy = policy(2, 0, 1);
    start_and_send(&mut policy, stream_request(1));
    let due = policy.next_timer().expect("a silence timer");
    let second = sent_attempt(&fire_due(&mut policy, due));
    let actions = policy.handle(REQUEST, &refused(second, RefusalCause::QueueFull), due);
    let answer = answer(&actions).expect("a refusal");
    assert_eq!(
        (answer.status, answer.verdict),
        (504, RunVerdict::MayHaveRun)
    );
}

#[test]
fn a_request_without_a_response_ends_at_the_deadline() {
    let mut policy = policy(1, 0, 1);
    start_and_send(&mut policy, stream_request(1));
    let mut answered = None;
    while let Some(due) = policy.next_timer() {
        answered = answer(&fire_due(&mut policy, due)).map(|answer| (answer, due));
    }
    let (answer, when) = answered.expect("an answer");
    assert_eq!(when, at(0) + FIRST_TOKEN_TARGET);
    assert_eq!(answer.cause, FinalCause::DeadlinePassed);
}

/// A caller that accepts no data must not be mistaken for a stalled endpoint: while it is blocked,
/// the stream isn't resumed at another endpoint. It must not hold its slot for ever either.
#[test]
fn a_blocked_caller_times_out_without_a_retry() {
    let mut policy = policy(3, 0, 1);
    let (attempt, _) = start_and_send(&mut policy, stream_request(1));
    policy.handle(REQUEST, &piece(attempt, 1), at(50));
    policy.handle(REQUEST, &EntryEvent::CallerBlocked, at(60));
    assert!(fire_due(&mut policy, at(20_000)).is_empty());
    let actions = fire_due(&mut policy, at(60) + Duration::from_secs(30));
    let answer = answer(&actions).expect("an end");
    assert_eq!(answer.cause, FinalCause::CallerGone);
    assert!(matches!(actions[0], EntryAction::Cancel { .. }));
}

#[test]
fn a_disconnected_caller_cancels_its_attempt() {
    let mut policy = policy(3, 0, 1);
    let (attempt, endpoint) = start_and_send(&mut policy, stream_request(1));
    let actions = policy.handle(REQUEST, &EntryEvent::CallerGone, at(10));
    let cancel = EntryAction::Cancel {
        endpoint,
        attempt,
        mode: CancelMode::Abort,
    };
    assert_eq!(actions[0], cancel);
    assert_eq!(policy.in_flight(), 0);
}

/// A planned stop must not interrupt requests in flight. Only new requests are refused, as not run.
#[test]
fn a_stopping_entry_completes_requests_in_flight() {
    let mut policy = policy(3, 0, 1);
    let (attempt, _) = start_and_send(&mut policy, stream_request(1));
    policy.begin_stop();
    let refused = answer(&policy.start(stream_request(2), at(5))).expect("a refusal");
    assert_eq!((refused.status, refused.verdict), (503, RunVerdict::NotRun));
    policy.handle(REQUEST, &piece(attempt, 1), at(50));
    let actions = policy.handle(REQUEST, &ended(attempt), at(60));
    assert_eq!(
        answer(&actions).expect("an end").cause,
        FinalCause::Complete
    );
    assert_eq!(policy.in_flight(), 0);
}
