//! Attempts that come late, twice, or after they were given up.

use std::time::Duration;

use oatpier_admission::event::{AdmissionLimits, AdmissionTicket, AgentAction, AgentEvent};
use oatpier_types::ids::{AttemptId, BootId};
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;

use crate::bench::{AgentBench, cancelled, refused, spec, started};

fn copy_verdict(actions: &[AgentAction]) -> Option<RunVerdict> {
    actions.iter().find_map(|action| match action {
        AgentAction::AnswerCopy { verdict, .. } => Some(*verdict),
        _ => None,
    })
}

#[test]
fn cancel_overtakes_its_attempt() {
    // An entry sends an attempt, gives it up, and its cancel comes first. The caller was told
    // "not run" and the request ran elsewhere; if the late attempt ran, it would run twice.
    let mut bench = AgentBench::new(1);
    assert_eq!(cancelled(&bench.cancel(1)), Some(RunVerdict::NotRun));
    let late = bench.arrive(spec(1));
    assert!(refused(1, RefusalCause::GivenUp, &late), "{late:?}");
    assert!(started(&late).is_empty());
}

#[test]
fn late_attempt_after_its_tombstone_expired() {
    // The same, but the attempt lies in a socket's buffer until long after its tombstone was
    // dropped, by age or for want of room. Its ticket is not above the floor: refused.
    let limits = AdmissionLimits {
        records: 4,
        ..AdmissionLimits::for_slots(1)
    };
    let mut aged = AgentBench::with_limits(limits.clone());
    aged.cancel(1);
    aged.wait(3_600_000);
    aged.step(AgentEvent::Timer);
    assert!(refused(1, RefusalCause::GivenUp, &aged.arrive(spec(1))));

    let mut crowded = AgentBench::with_limits(limits);
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
        "a fresh queue report is all it takes"
    );
}

#[test]
fn attempt_for_the_former_boot() {
    // The agent restarts, and with it its ledger. An attempt that was cancelled at the former
    // process comes late. The new one can't know of the cancel, so it refuses what was not made
    // for it; and of an attempt that the former may have run it does not say "not run".
    let mut bench = AgentBench::new(1);
    let ticket = AdmissionTicket {
        boot: BootId(99),
        sequence: 1,
    };
    let spec = spec(1);
    let late = bench.step(AgentEvent::Arrive { spec, ticket });
    assert!(refused(1, RefusalCause::GivenUp, &late), "{late:?}");
    let attempt = AttemptId(2);
    let cancel = bench.step(AgentEvent::Cancel { attempt, ticket });
    assert_eq!(cancelled(&cancel), Some(RunVerdict::MayHaveRun));
}

#[test]
fn ticket_that_was_never_given_out() {
    // A damaged or forged ticket from the future would pass every floor, and its tombstone would
    // raise the floor above all honest attempts.
    let mut bench = AgentBench::new(1);
    let ticket = AdmissionTicket {
        sequence: 1_000,
        ..bench.ticket
    };
    let attempt = AttemptId(1);
    let cancel = bench.step(AgentEvent::Cancel { attempt, ticket });
    assert_eq!(cancelled(&cancel), Some(RunVerdict::MayHaveRun));
    let spec_one = spec(1);
    let late = bench.step(AgentEvent::Arrive {
        spec: spec_one,
        ticket,
    });
    assert!(refused(1, RefusalCause::GivenUp, &late));
    assert_eq!(started(&bench.arrive(spec(2))), [2]);
}

#[test]
fn copies_tell_what_became_of_the_first() {
    // An attempt comes twice. The second copy must not run; nor may it be told "not run" while
    // the first one waits or runs, or its entry would try the request elsewhere.
    let mut bench = AgentBench::new(1);
    bench.arrive(spec(1));
    bench.arrive(spec(2));
    let may_have_run = Some(RunVerdict::MayHaveRun);
    assert_eq!(copy_verdict(&bench.arrive(spec(1))), may_have_run);
    assert_eq!(copy_verdict(&bench.arrive(spec(2))), may_have_run);
    bench.end(1);
    assert_eq!(copy_verdict(&bench.arrive(spec(1))), Some(RunVerdict::Ran));
    bench.fail(2, RunVerdict::NotRun);
    assert!(refused(2, RefusalCause::GivenUp, &bench.arrive(spec(2))));
    bench.wait(3_600_000);
    bench.step(AgentEvent::Timer);
    assert_eq!(copy_verdict(&bench.arrive(spec(1))), may_have_run);
    assert_eq!(bench.policy.counters().copies, 4);
}

#[test]
fn copy_of_a_refused_attempt() {
    // The queue is full and an attempt is refused, truly not run. A copy of it comes when there
    // is room: run now, it would make the refusal untrue.
    let limits = AdmissionLimits {
        queue: 1,
        ..AdmissionLimits::for_slots(1)
    };
    let mut bench = AgentBench::with_limits(limits);
    (1..=3).for_each(|attempt| {
        bench.arrive(spec(attempt));
    });
    bench.end(1);
    bench.end(2);
    assert!(refused(3, RefusalCause::GivenUp, &bench.arrive(spec(3))));
}

#[test]
fn cancel_says_how_far_it_got() {
    let mut bench = AgentBench::new(1);
    (1..=3).for_each(|attempt| {
        bench.arrive(spec(attempt));
    });
    let running = bench.cancel(1);
    let attempt = AttemptId(1);
    assert!(running.contains(&AgentAction::CancelAtEndpoint { attempt }));
    assert_eq!(cancelled(&running), Some(RunVerdict::MayHaveRun));
    assert_eq!(cancelled(&bench.cancel(2)), Some(RunVerdict::NotRun));
    assert_eq!(started(&bench.end(1)), [3], "2 is gone from the queue");
    assert_eq!(cancelled(&bench.cancel(1)), Some(RunVerdict::Ran));
    bench.fail(3, RunVerdict::MayHaveRun);
    assert_eq!(cancelled(&bench.cancel(3)), Some(RunVerdict::MayHaveRun));
}

#[test]
fn cancel_of_one_that_ran_long_ago() {
    // The record of an attempt that ran was dropped. Told "not run", the entry would run the
    // request again.
    let mut bench = AgentBench::new(1);
    bench.arrive(spec(1));
    bench.end(1);
    bench.wait(3_600_000);
    bench.step(AgentEvent::Timer);
    assert_eq!(cancelled(&bench.cancel(1)), Some(RunVerdict::MayHaveRun));
}

#[test]
fn stray_words_of_the_endpoint_are_dropped() {
    // An answer ends that is not there any more, or never was. It frees no slot.
    let mut bench = AgentBench::new(1);
    bench.arrive(spec(1));
    bench.arrive(spec(2));
    bench.end(7);
    bench.end(1);
    assert!(started(&bench.end(1)).is_empty());
    assert_eq!(bench.policy.counters().stray_answers, 2);
}

#[test]
fn records_expire_by_timer() {
    let mut bench = AgentBench::new(1);
    bench.cancel(1);
    assert_eq!(
        bench.policy.next_timer(),
        bench.now + Duration::from_mins(1)
    );
    bench.wait(60_000);
    bench.step(AgentEvent::Timer);
    assert_eq!(
        bench.policy.next_timer(),
        oatpier_types::clock::ClockTime::NEVER
    );
}
