//! Snapshot test of the entry's reaction to every fault at every step of a request.

use std::fmt::Write;

use oatpier_policy::action::{CancelMode, EntryAction, EntryActions};
use oatpier_policy::entry::EntryPolicy;
use oatpier_policy::event::{EntryEvent, RequestIntake};
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;

use crate::support::{
    at, at_most_once_call, ended, fire_due, first_frame, idempotent_call, policy, refused,
    sent_attempt, stream_request,
};

const REQUEST: RequestId = RequestId(1);

/// The step that a request has reached when the fault occurs.
#[derive(Debug, Clone, Copy)]
enum FaultStep {
    Claiming,
    Sent,
    Silent,
    Head,
    Piece,
}

const FAULT_STEPS: [FaultStep; 5] = [
    FaultStep::Claiming,
    FaultStep::Sent,
    FaultStep::Silent,
    FaultStep::Head,
    FaultStep::Piece,
];

fn policy_at_step(step: FaultStep, intake: RequestIntake) -> Option<(EntryPolicy, AttemptId)> {
    let mut policy = policy(6, 3, 5);
    let mut actions = policy.start(intake, at(0));
    let claims = matches!(actions.first(), Some(EntryAction::Claim { .. }));
    if matches!(step, FaultStep::Claiming) {
        return claims.then_some((policy, AttemptId(0)));
    }
    if claims {
        actions = policy.handle(REQUEST, &EntryEvent::ClaimGranted, at(0));
    }
    let attempt = sent_attempt(&actions);
    if matches!(step, FaultStep::Silent) {
        let due = policy.next_timer().expect("a silence timer");
        fire_due(&mut policy, due);
    }
    if matches!(step, FaultStep::Head | FaultStep::Piece) {
        policy.handle(REQUEST, &first_frame(attempt), at(10));
    }
    if matches!(step, FaultStep::Piece) {
        let piece = EntryEvent::Piece { attempt, tokens: 3 };
        policy.handle(REQUEST, &piece, at(11));
    }
    Some((policy, attempt))
}

fn faults(attempt: AttemptId) -> Vec<(&'static str, EntryEvent)> {
    let failed = |verdict| EntryEvent::Failed { attempt, verdict };
    let cancel = |verdict| EntryEvent::CancelAnswered { attempt, verdict };
    let other = AttemptId(99);
    vec![
        (
            "refused queue-full",
            refused(attempt, RefusalCause::QueueFull),
        ),
        ("refused leaving", refused(attempt, RefusalCause::Leaving)),
        (
            "refused duplicate",
            refused(attempt, RefusalCause::Duplicate),
        ),
        ("refused key-used", refused(attempt, RefusalCause::KeyUsed)),
        ("refused invalid", refused(attempt, RefusalCause::Invalid)),
        ("failed not-run", failed(RunVerdict::NotRun)),
        ("failed may-have-run", failed(RunVerdict::MayHaveRun)),
        ("failed ran", failed(RunVerdict::Ran)),
        ("cut", EntryEvent::ConnectionLost { attempt }),
        ("connect failed", EntryEvent::ConnectFailed { attempt }),
        ("cancel not-run", cancel(RunVerdict::NotRun)),
        ("cancel may-have-run", cancel(RunVerdict::MayHaveRun)),
        ("cancel ran", cancel(RunVerdict::Ran)),
        (
            "claim refused",
            EntryEvent::ClaimRefused {
                earlier: RunVerdict::Ran,
            },
        ),
        ("claim unavailable", EntryEvent::ClaimUnavailable),
        ("caller gone", EntryEvent::CallerGone),
        (
            "crossed piece",
            EntryEvent::Piece {
                attempt: other,
                tokens: 1,
            },
        ),
        ("crossed end", ended(other)),
        ("end", ended(attempt)),
    ]
}

fn describe(action: &EntryAction) -> String {
    match action {
        EntryAction::Claim { .. } => "claim".to_owned(),
        EntryAction::SettleClaim { verdict, .. } => format!("settle {verdict}"),
        EntryAction::Send { .. } => "send".to_owned(),
        EntryAction::Resume { spec, .. } => format!("resume after {}", spec.resume_after),
        EntryAction::Cancel {
            mode: CancelMode::SealOnly,
            ..
        } => "seal".to_owned(),
        EntryAction::Cancel {
            mode: CancelMode::Abort,
            ..
        } => "abort".to_owned(),
        EntryAction::Relay { .. } => "relay".to_owned(),
        EntryAction::Answer(answer) => format!(
            "answer {} {} {}{}",
            answer.status,
            answer.cause.as_str(),
            answer.verdict,
            answer.retry_after.map_or("", |_| " retry-after"),
        ),
    }
}

fn describe_all(actions: &EntryActions) -> String {
    if actions.is_empty() {
        return "-".to_owned();
    }
    let parts: Vec<String> = actions.iter().map(describe).collect();
    parts.join(", ")
}

fn timer_rows(step: FaultStep, intake: &RequestIntake, grid: &mut String) {
    let Some((mut policy, _)) = policy_at_step(step, intake.clone()) else {
        return;
    };
    let mut outcome = Vec::new();
    while let Some(due) = policy.next_timer() {
        let actions = fire_due(&mut policy, due);
        if !actions.is_empty() {
            let after = due.since(at(0)).as_millis();
            outcome.push(format!("{after} ms: {}", describe_all(&actions)));
        }
    }
    let line = outcome.join("; ");
    writeln!(grid, "  {:<20} {line}", "nothing more").expect("writing to a string succeeds");
}

/// A caller must get exactly one correct answer, whatever fault occurs at whatever step. Each row
/// lists the immediate actions of the entry; `nothing more` lists what its timers do if no event
/// arrives.
#[test]
fn every_fault_at_every_step() {
    let mut grid = String::new();
    let kinds = [
        ("stream", stream_request(1)),
        ("idempotent call", idempotent_call(1)),
        ("at-most-once call", at_most_once_call(1)),
    ];
    for (kind, intake) in kinds {
        for step in FAULT_STEPS {
            let Some((_, attempt)) = policy_at_step(step, intake.clone()) else {
                continue;
            };
            writeln!(grid, "{kind}, {step:?}").expect("writing to a string succeeds");
            for (fault, event) in faults(attempt) {
                let (mut policy, _) = policy_at_step(step, intake.clone()).expect("as before");
                let actions = policy.handle(REQUEST, &event, at(150));
                let line = describe_all(&actions);
                writeln!(grid, "  {fault:<20} {line}").expect("writing to a string succeeds");
            }
            timer_rows(step, &intake, &mut grid);
        }
    }
    insta::assert_snapshot!(grid);
}
