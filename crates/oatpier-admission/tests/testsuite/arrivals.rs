//! Attempts that arrive late, twice, or after they were cancelled.

use std::time::Duration;

use oatpier_admission::event::{AdmissionLimits, AdmissionTicket, AgentAction, AgentEvent};
use oatpier_types::ids::{AttemptId, BootId};
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;

use crate::harness::{AgentHarness, cancelled, refused, spec, started};

fn copy_verdict(actions: &[AgentAction]) -> Option<RunVerdict> {
    actions.iter().find_map(|action| match action {
        AgentAction::AnswerCopy { verdict, .. } => Some(*verdict),
        _ => None,
    })
}

#[test]
fn attempt_that_arrives_after_its_cancel_is_refused() {
    // An entry sends an attempt and cancels it, and the cancel arrives first. It is answered "not
    // run", and the request runs elsewhere. If the late attempt ran here, the request would run
    // twice.
    let mut harness = AgentHarness::new(1);
    assert_eq!(cancelled(&harness.cancel(1)), Some(RunVerdict::NotRun));
    let late = harness.arrive(spec(1));
    assert!(refused(1, RefusalCause::GivenUp, &late), "{late:?}");
    assert!(started(&late).is_empty());
}

#[test]
fn late_attempt_is_refused_after_its_tombstone_expired() {
    // As above, but the attempt stays in a socket's buffer until long after its tombstone was
    // dropped, either because it expired or because the record limit was reached. The attempt's
    // ticket is not above the floor, so it is refused.
    let limits = AdmissionLimits {
        records: 4,
        ..AdmissionLimits::for_slots(1)
    };
    let mut aged = AgentHarness::with_limits(limits.clone());
    aged.cancel(1);
    aged.wait(3_600_000);
    aged.step(AgentEvent::Timer);
    assert!(refused(1, RefusalCause::GivenUp, &aged.arrive(spec(1))));

    let mut crowded = AgentHarness::with_limits(limits);
    (1..=9).for_each(|attempt| {
        crowded.cancel(attempt);
    });
    assert!(refused(1, RefusalCause::GivenUp, &crowded.arrive(spec(1))));
    let ticket = crowded.fresh_ticket();
    let spec = spec(50);
    let fresh = crowded.step(AgentEvent::Arrive { spec, ticket });
    assert_eq!(
        started(&fresh),
        [50],
        "an attempt with a new queue report is accepted"
    );
}

#[test]
fn attempt_for_a_previous_boot_is_refused() {
    // The agent restarts with an empty ledger. An attempt that was cancelled at the previous
    // process arrives late. The new process can't know of the cancel, so it refuses attempts made
    // for another boot. A cancel of an attempt that the previous process may have run is not
    // answered "not run".
    let mut harness = AgentHarness::new(1);
    let ticket = AdmissionTicket {
        boot: BootId(99),
        sequence: 1,
    };
    let spec = spec(1);
    let late = harness.step(AgentEvent::Arrive { spec, ticket });
    assert!(refused(1, RefusalCause::GivenUp, &late), "{late:?}");
    let attempt = AttemptId(2);
    let cancel = harness.step(AgentEvent::Cancel { attempt, ticket });
    assert_eq!(cancelled(&cancel), Some(RunVerdict::MayHaveRun));
}

#[test]
fn ticket_that_was_never_issued_is_refused() {
    // A corrupt or forged ticket with a future sequence number would pass every floor, and its
    // tombstone would raise the floor above all valid attempts.
    let mut harness = AgentHarness::new(1);
    let ticket = AdmissionTicket {
        sequence: 1_000,
        ..harness.ticket
    };
    let attempt = AttemptId(1);
    let cancel = harness.step(AgentEvent::Cancel { attempt, ticket });
    assert_eq!(cancelled(&cancel), Some(RunVerdict::MayHaveRun));
    let spec_one = spec(1);
    let late = harness.step(AgentEvent::Arrive {
        spec: spec_one,
        ticket,
    });
    assert!(refused(1, RefusalCause::GivenUp, &late));
    assert_eq!(started(&harness.arrive(spec(2))), [2]);
}

#[test]
fn copies_are_answered_with_the_verdict_of_the_first() {
    // An attempt arrives twice. The second copy must not run. While the first one waits or runs,
    // the second must not be answered "not run" either, or its entry would try the request
    // elsewhere.
    let mut harness = AgentHarness::new(1);
    harness.arrive(spec(1));
    harness.arrive(spec(2));
    let may_have_run = Some(RunVerdict::MayHaveRun);
    assert_eq!(copy_verdict(&harness.arrive(spec(1))), may_have_run);
    assert_eq!(copy_verdict(&harness.arrive(spec(2))), may_have_run);
    harness.end(1);
    assert_eq!(
        copy_verdict(&harness.arrive(spec(1))),
        Some(RunVerdict::Ran)
    );
    harness.fail(2, RunVerdict::NotRun);
    assert!(refused(2, RefusalCause::GivenUp, &harness.arrive(spec(2))));
    harness.wait(3_600_000);
    harness.step(AgentEvent::Timer);
    assert_eq!(copy_verdict(&harness.arrive(spec(1))), may_have_run);
    assert_eq!(harness.policy.counters().copies, 4);
}

#[test]
fn copy_of_a_refused_attempt_is_refused() {
    // The queue is full and an attempt is refused as not run. A copy of it arrives when there is
    // room. If the copy ran, the refusal would become false.
    let limits = AdmissionLimits {
        queue: 1,
        ..AdmissionLimits::for_slots(1)
    };
    let mut harness = AgentHarness::with_limits(limits);
    (1..=3).for_each(|attempt| {
        harness.arrive(spec(attempt));
    });
    harness.end(1);
    harness.end(2);
    assert!(refused(3, RefusalCause::GivenUp, &harness.arrive(spec(3))));
}

#[test]
fn cancel_is_answered_by_the_stage_of_the_attempt() {
    let mut harness = AgentHarness::new(1);
    (1..=3).for_each(|attempt| {
        harness.arrive(spec(attempt));
    });
    let running = harness.cancel(1);
    let attempt = AttemptId(1);
    assert!(running.contains(&AgentAction::CancelAtEndpoint { attempt }));
    assert_eq!(cancelled(&running), Some(RunVerdict::MayHaveRun));
    assert_eq!(cancelled(&harness.cancel(2)), Some(RunVerdict::NotRun));
    assert_eq!(
        started(&harness.end(1)),
        [3],
        "2 was removed from the queue"
    );
    assert_eq!(cancelled(&harness.cancel(1)), Some(RunVerdict::Ran));
    harness.fail(3, RunVerdict::MayHaveRun);
    assert_eq!(cancelled(&harness.cancel(3)), Some(RunVerdict::MayHaveRun));
}

#[test]
fn cancel_after_the_run_record_expired_is_not_answered_not_run() {
    // The record of an attempt that ran was dropped. If a cancel were answered "not run", the entry
    // would run the request again.
    let mut harness = AgentHarness::new(1);
    harness.arrive(spec(1));
    harness.end(1);
    harness.wait(3_600_000);
    harness.step(AgentEvent::Timer);
    assert_eq!(cancelled(&harness.cancel(1)), Some(RunVerdict::MayHaveRun));
}

#[test]
fn stray_endpoint_events_are_dropped() {
    // An answer ends for an attempt that has finished already or never existed. It must not free a
    // slot.
    let mut harness = AgentHarness::new(1);
    harness.arrive(spec(1));
    harness.arrive(spec(2));
    harness.end(7);
    harness.end(1);
    assert!(started(&harness.end(1)).is_empty());
    assert_eq!(harness.policy.counters().stray_answers, 2);
}

#[test]
fn records_expire_by_timer() {
    let mut harness = AgentHarness::new(1);
    harness.cancel(1);
    assert_eq!(
        harness.policy.next_timer(),
        harness.now + Duration::from_mins(1)
    );
    harness.wait(60_000);
    harness.step(AgentEvent::Timer);
    assert_eq!(
        harness.policy.next_timer(),
        oatpier_types::clock::ClockTime::NEVER
    );
}
