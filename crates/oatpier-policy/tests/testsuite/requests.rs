//! Requests through faults, one story each.

use std::time::Duration;

use oatpier_policy::action::{CancelMode, EntryAction};
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_policy::outcome::FinalCause;
use oatpier_types::ids::RequestId;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;

use crate::support::{
    FIRST_TOKEN, answer, at, begin, change, draft, ended, fetch, fire, first_frame, policy,
    refused, sent, sent_attempt,
};

const REQUEST: RequestId = RequestId(1);

fn piece(attempt: oatpier_types::ids::AttemptId, tokens: u32) -> EntryEvent {
    EntryEvent::Piece { attempt, tokens }
}

#[test]
fn a_whole_answer_in_time() {
    let mut policy = policy(3, 0, 1);
    let (attempt, _) = begin(&mut policy, draft(1));
    policy.handle(REQUEST, &first_frame(attempt), at(50));
    let relayed = policy.handle(REQUEST, &piece(attempt, 1), at(60));
    assert_eq!(relayed.as_slice(), [EntryAction::Relay { attempt }]);
    let actions = policy.handle(REQUEST, &ended(attempt), at(61));
    let answer = answer(&actions).expect("an end");
    assert!(answer.in_time);
    assert_eq!(answer.verdict, RunVerdict::Ran);
    assert_eq!(policy.in_flight(), 0);
}

/// The caller sees its stream go on after a hiccup. The connection to the first endpoint breaks
/// after four tokens; an engine resumes after the tokens that a caller has, so another endpoint
/// continues there. Sending all of it again would repeat the first four tokens.
#[test]
fn a_cut_stream_is_resumed_after_the_relayed_tokens() {
    let mut policy = policy(3, 0, 1);
    let (attempt, endpoint) = begin(&mut policy, draft(1));
    policy.handle(REQUEST, &piece(attempt, 4), at(50));
    let actions = policy.handle(REQUEST, &EntryEvent::Cut { attempt }, at(60));
    let (next, spec) = sent(&actions).expect("a resumed attempt");
    assert!(matches!(actions.last(), Some(EntryAction::Resume { .. })));
    assert_ne!(next, endpoint);
    assert_eq!(spec.resume_after, 4);
}

/// The only replica of a model restarts in the middle of an answer. No other endpoint can serve,
/// so the same one is asked to go on; without that the caller gets an error for each restart.
#[test]
fn a_cut_stream_of_the_only_replica_goes_on_there() {
    let mut policy = policy(1, 0, 1);
    let (attempt, endpoint) = begin(&mut policy, draft(1));
    policy.handle(REQUEST, &piece(attempt, 4), at(50));
    let actions = policy.handle(REQUEST, &EntryEvent::Cut { attempt }, at(60));
    assert_eq!(sent(&actions).map(|(next, _)| next), Some(endpoint));
}

/// The caller must learn that its answer is not whole. It was cut after a part was relayed, and
/// can't be resumed; a quiet end would be taken for a short answer.
#[test]
fn a_cut_answer_that_cannot_be_resumed_ends_in_an_error() {
    let mut policy = policy(0, 3, 1);
    let (attempt, _) = begin(&mut policy, fetch(1));
    policy.handle(REQUEST, &piece(attempt, 0), at(50));
    let actions = policy.handle(REQUEST, &EntryEvent::Cut { attempt }, at(60));
    let answer = answer(&actions).expect("an explicit end");
    assert_eq!((answer.status, answer.begun), (502, true));
    assert_eq!(answer.cause, FinalCause::Incomplete);
}

/// Two answers must not mix. The first endpoint is silent and the request goes elsewhere; then
/// the first one's pieces come after all. They are dropped, and the second answer is relayed.
#[test]
fn late_pieces_of_a_replaced_attempt_are_dropped() {
    let mut policy = policy(3, 0, 1);
    let (late, _) = begin(&mut policy, draft(1));
    let due = policy.next_timer().expect("a silence timer");
    let actions = fire(&mut policy, due);
    let live = sent_attempt(&actions);
    assert_ne!(late, live);
    assert!(policy.handle(REQUEST, &piece(late, 1), at(200)).is_empty());
    assert!(policy.handle(REQUEST, &ended(late), at(201)).is_empty());
    let relayed = policy.handle(REQUEST, &piece(live, 1), at(202));
    assert_eq!(relayed.as_slice(), [EntryAction::Relay { attempt: live }]);
    policy.handle(REQUEST, &ended(live), at(203));
    assert_eq!(policy.counts().dropped, 2);
}

/// A change is sent, and nothing is heard. It may have been lost on the way, or be running. The
/// agent is asked to seal it: only its word "not run" lets the change go elsewhere.
#[test]
fn a_silent_change_goes_elsewhere_only_once_sealed() {
    let mut policy = policy(0, 3, 1);
    let (attempt, endpoint) = begin(&mut policy, change(1));
    let due = policy.next_timer().expect("a silence timer");
    let actions = fire(&mut policy, due);
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

/// The same, but the change runs already. Its answer is still awaited until the deadline; then
/// the caller is told at once that it may have run, and no replica is asked a second time.
#[test]
fn a_silent_change_that_may_run_is_awaited_then_answered() {
    let mut policy = policy(0, 3, 1);
    let (attempt, _) = begin(&mut policy, change(1));
    let due = policy.next_timer().expect("a silence timer");
    fire(&mut policy, due);
    let verdict = RunVerdict::MayHaveRun;
    let running = EntryEvent::CancelAnswered { attempt, verdict };
    assert!(policy.handle(REQUEST, &running, due).is_empty());
    assert!(fire(&mut policy, at(1_999)).is_empty());
    let actions = fire(&mut policy, at(2_000));
    let answer = answer(&actions).expect("the deadline's answer");
    assert_eq!(
        (answer.status, answer.verdict),
        (504, RunVerdict::MayHaveRun)
    );
    assert!(
        answer.retry_after.is_some(),
        "its key tells a resubmission what became of it"
    );
}

/// A message is doubled on its way. Its first copy runs, as the agent says when asked to seal it;
/// then the agent begins to leave, and refuses the second copy. That refusal is no word on the
/// first copy: sending the change elsewhere on it would apply it twice.
#[test]
fn a_refusal_does_not_undo_that_a_change_may_have_run() {
    let mut policy = policy(0, 3, 1);
    let (attempt, _) = begin(&mut policy, change(1));
    let due = policy.next_timer().expect("a silence timer");
    fire(&mut policy, due);
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

/// A change without a key may have run, and its caller has no way to find out by sending it again:
/// an invitation to come back would be one to apply it twice.
#[test]
fn an_unkeyed_change_that_may_have_run_is_not_invited_back() {
    let mut policy = policy(0, 3, 1);
    let intake = RequestIntake {
        key: None,
        ..change(1)
    };
    let (attempt, _) = begin(&mut policy, intake);
    let actions = policy.handle(REQUEST, &EntryEvent::Cut { attempt }, at(5));
    let answer = answer(&actions).expect("an end");
    assert_eq!(
        (answer.status, answer.verdict),
        (502, RunVerdict::MayHaveRun)
    );
    assert_eq!(answer.retry_after, None);
}

/// A burst fills all queues. Each agent refuses; the caller is told at once when to come back, in
/// the agent's words, and the request is not held until its deadline.
#[test]
fn refused_everywhere_is_refused_at_once() {
    let mut policy = policy(2, 0, 1);
    let (first, _) = begin(&mut policy, draft(1));
    let actions = policy.handle(REQUEST, &refused(first, RefusalCause::QueueFull), at(5));
    let second = sent_attempt(&actions);
    let actions = policy.handle(REQUEST, &refused(second, RefusalCause::QueueFull), at(10));
    let answer = answer(&actions).expect("a refusal");
    assert_eq!(answer.cause, FinalCause::Refused(RefusalCause::QueueFull));
    assert_eq!(answer.verdict, RunVerdict::NotRun);
    assert_eq!(answer.retry_after, Some(Duration::from_millis(700)));
}

/// An idempotent request's first attempt is silent and cancelled, its second one refused. The
/// first may still run, so the answer must not say "not run".
#[test]
fn a_refusal_after_a_silent_attempt_does_not_say_not_run() {
    let mut policy = policy(2, 0, 1);
    begin(&mut policy, draft(1));
    let due = policy.next_timer().expect("a silence timer");
    let second = sent_attempt(&fire(&mut policy, due));
    let actions = policy.handle(REQUEST, &refused(second, RefusalCause::QueueFull), due);
    let answer = answer(&actions).expect("a refusal");
    assert_eq!(
        (answer.status, answer.verdict),
        (504, RunVerdict::MayHaveRun)
    );
}

#[test]
fn nothing_by_the_deadline_is_answered_then() {
    let mut policy = policy(1, 0, 1);
    begin(&mut policy, draft(1));
    let mut answered = None;
    while let Some(due) = policy.next_timer() {
        answered = answer(&fire(&mut policy, due)).map(|answer| (answer, due));
    }
    let (answer, when) = answered.expect("an answer");
    assert_eq!(when, at(0) + FIRST_TOKEN);
    assert_eq!(answer.cause, FinalCause::DeadlinePassed);
}

/// A caller that takes nothing must not be mistaken for a stalled endpoint: while it is blocked
/// the stream isn't resumed elsewhere. It can't hold its place for ever either.
#[test]
fn a_blocked_caller_is_bounded_and_not_the_endpoints_fault() {
    let mut policy = policy(3, 0, 1);
    let (attempt, _) = begin(&mut policy, draft(1));
    policy.handle(REQUEST, &piece(attempt, 1), at(50));
    policy.handle(REQUEST, &EntryEvent::CallerBlocked, at(60));
    assert!(fire(&mut policy, at(20_000)).is_empty());
    let actions = fire(&mut policy, at(60) + Duration::from_secs(30));
    let answer = answer(&actions).expect("an end");
    assert_eq!(answer.cause, FinalCause::CallerGone);
    assert!(matches!(actions[0], EntryAction::Cancel { .. }));
}

#[test]
fn a_gone_caller_cancels_its_work() {
    let mut policy = policy(3, 0, 1);
    let (attempt, endpoint) = begin(&mut policy, draft(1));
    let actions = policy.handle(REQUEST, &EntryEvent::CallerGone, at(10));
    let cancel = EntryAction::Cancel {
        endpoint,
        attempt,
        mode: CancelMode::Abort,
    };
    assert_eq!(actions[0], cancel);
    assert_eq!(policy.in_flight(), 0);
}

/// A planned stop cuts nothing off: what is in flight goes on to its end, and only new requests
/// are refused, truly not run.
#[test]
fn a_stopping_entry_finishes_what_it_has() {
    let mut policy = policy(3, 0, 1);
    let (attempt, _) = begin(&mut policy, draft(1));
    policy.begin_stop();
    let refused = answer(&policy.start(draft(2), at(5))).expect("a refusal");
    assert_eq!((refused.status, refused.verdict), (503, RunVerdict::NotRun));
    policy.handle(REQUEST, &piece(attempt, 1), at(50));
    let actions = policy.handle(REQUEST, &ended(attempt), at(60));
    assert_eq!(answer(&actions).expect("an end").cause, FinalCause::Whole);
    assert_eq!(policy.in_flight(), 0);
}
