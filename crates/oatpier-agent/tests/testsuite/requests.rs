//! Tests of attempts that are cancelled, duplicated, interrupted or abandoned by their entry.

use std::sync::Arc;
use std::time::Duration;

use oatpier_agent::channels::WorkUpdate;
use oatpier_standin::engine::EngineFaults;
use oatpier_types::ids::Generation;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::attempt::AttemptFrame;

use crate::attempt::last_frame;
use crate::fleet::Fleet;
use crate::shape::{FleetShape, config_with_slots};

const ONE_ENGINE: FleetShape = FleetShape {
    engines: 1,
    memory_mib: 2_000,
    checks_numbers: true,
    models: &["seats"],
};
const MILLI: Duration = Duration::from_millis(1);

pub async fn serving() -> Fleet {
    let fleet = Fleet::start(ONE_ENGINE, &["seats"]);
    fleet
        .until("the model is served", || fleet.serves(1, &["seats"]))
        .await;
    fleet
}

pub fn runs(fleet: &Fleet) -> usize {
    fleet.engine(1).with_core(|core, _| core.runs().len())
}

fn running(fleet: &Fleet) -> u32 {
    fleet.agent(1).core.queue_report().unwrap().running
}

/// An entry cancels an attempt that has not arrived yet, gets the answer "not run", and retries at
/// another endpoint. The first attempt then arrives late. If it ran, the request would run twice.
#[tokio::test(start_paused = true)]
async fn an_attempt_that_arrives_after_its_cancel_is_refused() {
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

/// An attempt is queued behind two running ones, and its entry seals it over another connection. It
/// never runs, and its task ends at once although its own connection stays open.
#[tokio::test(start_paused = true)]
async fn a_sealed_queued_attempt_ends_without_running() {
    let fleet = serving().await;
    let mut before: Vec<_> = (0..2)
        .map(|_| fleet.attempt(1, "seats", 20).arrive().unwrap())
        .collect();
    let waiting = fleet.attempt(1, "seats", 5);
    let mut frames = waiting.arrive().unwrap();
    let verdict = fleet.agent(1).core.seal(waiting.id(), waiting.ticket);
    assert_eq!(verdict, RunVerdict::NotRun);
    let ended = tokio::time::timeout(MILLI, last_frame(&mut frames)).await;
    let last = ended.expect("attempt must end at once").1;
    let verdict = RunVerdict::NotRun;
    assert!(matches!(last, AttemptFrame::Failed { verdict: reported, .. } if reported == verdict));
    for frames in &mut before {
        let last = last_frame(frames).await.1;
        assert!(matches!(last, AttemptFrame::Ended { .. }));
    }
    fleet.pass(Duration::from_secs(1)).await;
    assert_eq!(runs(&fleet), 2);
}

/// An entry seals a late attempt that is already running. The entry gets the answer that it may have
/// run, and the attempt runs to completion. A cancel stops a running attempt at the engine.
#[tokio::test(start_paused = true)]
async fn a_cancel_stops_a_running_attempt_and_a_seal_does_not() {
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
    assert!(matches!(last, AttemptFrame::Failed { verdict: reported, .. } if reported == verdict));
    assert_eq!(running(&fleet), 1);
    let (tokens, last) = last_frame(&mut sealed_frames).await;
    assert_eq!(tokens, 200);
    assert!(matches!(last, AttemptFrame::Ended { .. }));
    // Sealing an attempt that has ended returns what happened to it.
    assert_eq!(core.seal(sealed.id(), sealed.ticket), RunVerdict::Ran);
}

/// The same attempt arrives twice, as when the network duplicates its connection. The second copy is
/// answered that the first may have run, and the engine gets only one.
#[tokio::test(start_paused = true)]
async fn a_duplicate_attempt_does_not_run() {
    let fleet = serving().await;
    let attempt = fleet.attempt(1, "seats", 20);
    let mut frames = attempt.arrive().unwrap();
    assert!(attempt.arrive().is_none());
    let last = last_frame(&mut frames).await.1;
    assert!(matches!(last, AttemptFrame::Ended { .. }));
    assert!(attempt.arrive().is_none());
    assert_eq!(runs(&fleet), 1);
}

/// An entry dies during an answer. The engine's slot is free again at once.
#[tokio::test(start_paused = true)]
async fn a_disconnected_entry_cancels_its_attempt_at_the_engine() {
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

/// An entry does not read its answer. Its attempt stalls, and another one runs to completion.
#[tokio::test(start_paused = true)]
async fn an_entry_that_does_not_read_blocks_no_other() {
    let fleet = serving().await;
    let _unread = fleet.attempt(1, "seats", 5_000).arrive().unwrap();
    let mut frames = fleet.attempt(1, "seats", 500).arrive().unwrap();
    let (tokens, last) = last_frame(&mut frames).await;
    assert_eq!(tokens, 500);
    assert!(matches!(last, AttemptFrame::Ended { .. }));
}

/// The engine's connection breaks in the middle of an answer. The part that was received looks like a
/// short answer, so the entry must get a frame that says that it is incomplete.
#[tokio::test(start_paused = true)]
async fn an_interrupted_answer_is_reported_as_failed() {
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

/// The number of slots is raised and then lowered. After the increase, queued attempts start at once.
/// The decrease interrupts nothing and applies to later attempts.
#[tokio::test(start_paused = true)]
async fn slots_change_with_the_configuration() {
    let fleet = serving().await;
    let mut frames: Vec<_> = (0..4)
        .map(|_| fleet.attempt(1, "seats", 400).arrive().unwrap())
        .collect();
    assert_eq!(running(&fleet), 2);
    let change = |generation, slots| {
        fleet.agent(1).core.apply_update(WorkUpdate::Config {
            generation: Generation(generation),
            config: Arc::new(config_with_slots(ONE_ENGINE, slots)),
        });
    };
    let sequence = || fleet.agent(1).core.status().unwrap().ready_sequence;
    let before = sequence();
    change(2, 3);
    assert_eq!(running(&fleet), 3);
    // Entries cache the slots with the rest of the status until its sequence number changes.
    assert!(sequence() > before);
    change(3, 1);
    // An older generation that arrives late is ignored.
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
