//! Attempts that are given up, copied, cut or left by their entry.

use std::sync::Arc;
use std::time::Duration;

use oatpier_agent::news::AgentNews;
use oatpier_standin::engine::EngineFaults;
use oatpier_types::ids::Generation;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::attempt::AttemptFrame;

use crate::attempt::last_frame;
use crate::fleet::Fleet;
use crate::shape::{FleetShape, config_with_slots};

const ONE: FleetShape = FleetShape {
    engines: 1,
    memory_mib: 2_000,
    checks_numbers: true,
    models: &["seats"],
};
const MILLI: Duration = Duration::from_millis(1);

async fn serving() -> Fleet {
    let fleet = Fleet::start(ONE, &["seats"]);
    fleet
        .until("it is served", || fleet.serves(1, &["seats"]))
        .await;
    fleet
}

fn runs(fleet: &Fleet) -> usize {
    fleet.engine(1).with_core(|core, _| core.runs().len())
}

fn running(fleet: &Fleet) -> u32 {
    fleet.agent(1).core.queue_report().unwrap().running
}

/// An entry gives an attempt up which has not arrived yet, is told "not run", and tries
/// elsewhere. The first attempt then arrives after all. If it ran, the request would run twice.
#[tokio::test(start_paused = true)]
async fn an_attempt_that_comes_after_its_cancel_is_refused() {
    for seal_only in [true, false] {
        let fleet = serving().await;
        let attempt = fleet.attempt(1, "seats", 5);
        let core = &fleet.agent(1).core;
        let verdict = if seal_only {
            core.seal(attempt.id(), attempt.ticket)
        } else {
            core.cancel(attempt.id(), attempt.ticket)
        };
        assert_eq!(verdict, RunVerdict::NotRun);
        fleet.pass(Duration::from_secs(90)).await;
        let last = last_frame(&mut attempt.arrive().unwrap()).await.1;
        let AttemptFrame::Refused { refusal, .. } = last else {
            panic!("{last:?}");
        };
        assert_eq!(refusal.cause, RefusalCause::GivenUp);
        assert_eq!(runs(&fleet), 0);
    }
}

/// An attempt waits behind two that run, when its entry gives it up over another connection. It
/// never runs, and its task ends at once although its own connection stays open.
#[tokio::test(start_paused = true)]
async fn a_waiting_attempt_that_is_sealed_never_runs_and_ends() {
    let fleet = serving().await;
    let mut before: Vec<_> = (0..2)
        .map(|_| fleet.attempt(1, "seats", 20).arrive().unwrap())
        .collect();
    let waiting = fleet.attempt(1, "seats", 5);
    let mut frames = waiting.arrive().unwrap();
    let verdict = fleet.agent(1).core.seal(waiting.id(), waiting.ticket);
    assert_eq!(verdict, RunVerdict::NotRun);
    let ended = tokio::time::timeout(MILLI, last_frame(&mut frames)).await;
    let last = ended.expect("the attempt ends at once").1;
    let verdict = RunVerdict::NotRun;
    assert!(matches!(last, AttemptFrame::Failed { verdict: told, .. } if told == verdict));
    for frames in &mut before {
        let last = last_frame(frames).await.1;
        assert!(matches!(last, AttemptFrame::Ended { .. }));
    }
    fleet.pass(Duration::from_secs(1)).await;
    assert_eq!(runs(&fleet), 2);
}

/// An attempt runs when its entry seals it, since it was late. It is told that it may have run,
/// and the answer goes on to its end. A cancel ends it at the engine.
#[tokio::test(start_paused = true)]
async fn a_seal_leaves_a_running_attempt_and_a_cancel_ends_it() {
    let fleet = serving().await;
    let core = &fleet.agent(1).core;
    let sealed = fleet.attempt(1, "seats", 200);
    let cancelled = fleet.attempt(1, "seats", 200);
    let mut sealed_frames = sealed.arrive().unwrap();
    let mut cancelled_frames = cancelled.arrive().unwrap();
    let seal = core.seal(sealed.id(), sealed.ticket);
    assert_eq!(seal, RunVerdict::MayHaveRun);
    fleet.pass(50 * MILLI).await;
    let cancel = core.cancel(cancelled.id(), cancelled.ticket);
    assert_eq!(cancel, RunVerdict::MayHaveRun);
    let last = last_frame(&mut cancelled_frames).await.1;
    let verdict = RunVerdict::MayHaveRun;
    assert!(matches!(last, AttemptFrame::Failed { verdict: told, .. } if told == verdict));
    assert_eq!(running(&fleet), 1);
    let (tokens, last) = last_frame(&mut sealed_frames).await;
    assert_eq!(tokens, 200);
    assert!(matches!(last, AttemptFrame::Ended { .. }));
    // A word on an attempt that is over is the truth about it.
    assert_eq!(core.seal(sealed.id(), sealed.ticket), RunVerdict::Ran);
}

/// The same attempt comes twice, since its connection was doubled on the way. The second copy
/// learns that the first may run; the engine sees one.
#[tokio::test(start_paused = true)]
async fn a_copy_of_an_attempt_does_not_run() {
    let fleet = serving().await;
    let attempt = fleet.attempt(1, "seats", 20);
    let mut frames = attempt.arrive().unwrap();
    assert!(attempt.arrive().is_none());
    let last = last_frame(&mut frames).await.1;
    assert!(matches!(last, AttemptFrame::Ended { .. }));
    assert!(attempt.arrive().is_none());
    assert_eq!(runs(&fleet), 1);
}

/// An entry dies while an answer is on its way. The engine's slot is free again at once.
#[tokio::test(start_paused = true)]
async fn an_entry_that_goes_away_cancels_its_attempt_at_the_engine() {
    let fleet = serving().await;
    let frames = fleet.attempt(1, "seats", 40_000).arrive().unwrap();
    fleet.pass(100 * MILLI).await;
    assert_eq!(running(&fleet), 1);
    drop(frames);
    fleet.pass(100 * MILLI).await;
    assert_eq!(running(&fleet), 0);
    let done = fleet.engine(1).with_core(|core, _| core.completed());
    assert_eq!(done, 0);
}

/// One entry does not read its answer. Its attempt waits; one beside it runs to its end.
#[tokio::test(start_paused = true)]
async fn an_entry_that_does_not_read_holds_up_no_other() {
    let fleet = serving().await;
    let _unread = fleet.attempt(1, "seats", 5_000).arrive().unwrap();
    let mut frames = fleet.attempt(1, "seats", 500).arrive().unwrap();
    let (tokens, last) = last_frame(&mut frames).await;
    assert_eq!(tokens, 500);
    assert!(matches!(last, AttemptFrame::Ended { .. }));
}

/// The engine's connection breaks in the middle of an answer. What came looks like a short
/// answer; the entry is told that it is not whole.
#[tokio::test(start_paused = true)]
async fn a_cut_answer_is_told_as_failed() {
    let fleet = serving().await;
    fleet.engine(1).set_faults(EngineFaults {
        cut_streams: 1,
        cut_after: 7,
        ..EngineFaults::default()
    });
    let mut frames = fleet.attempt(1, "seats", 50).arrive().unwrap();
    let (tokens, last) = last_frame(&mut frames).await;
    assert_eq!(tokens, 7);
    let AttemptFrame::Failed {
        verdict, report, ..
    } = last
    else {
        panic!("{last:?}");
    };
    assert_eq!(verdict, RunVerdict::MayHaveRun);
    assert_eq!(report.running, 0);
}

/// Operators raise and then lower the slots. What waits starts at once on a higher number; a lower
/// one cuts nothing off, and holds for what comes after.
#[tokio::test(start_paused = true)]
async fn slots_change_with_the_configuration() {
    let fleet = serving().await;
    let mut frames: Vec<_> = (0..4)
        .map(|_| fleet.attempt(1, "seats", 400).arrive().unwrap())
        .collect();
    assert_eq!(running(&fleet), 2);
    let change = |generation, slots| {
        fleet.agent(1).core.take_news(AgentNews::Config {
            generation: Generation(generation),
            config: Arc::new(config_with_slots(ONE, slots)),
        });
    };
    let sequence = || fleet.agent(1).core.status().unwrap().ready_sequence;
    let before = sequence();
    change(2, 3);
    assert_eq!(running(&fleet), 3);
    // Entries keep the slots with the rest of the status, until it has another number.
    assert!(sequence() > before);
    change(3, 1);
    // An older generation that comes late changes nothing.
    change(2, 9);
    assert_eq!(running(&fleet), 3);
    for frames in &mut frames {
        let (tokens, _) = last_frame(frames).await;
        assert_eq!(tokens, 400);
    }
    let _one = fleet.attempt(1, "seats", 400).arrive().unwrap();
    let _other = fleet.attempt(1, "seats", 400).arrive().unwrap();
    assert_eq!(running(&fleet), 1);
}
