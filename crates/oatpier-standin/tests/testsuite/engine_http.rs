//! Tests of the engine over HTTP and in process: complete and resumed answers, cancels,
//! interrupted streams, records.

use std::time::Duration;

use futures::StreamExt;
use oatpier_ports::endpoint::EndpointClient;
use oatpier_ports::engine::{EngineControl, OrderError};
use oatpier_ports::http::{EndpointKind, HttpEndpoint, HttpEngine};
use oatpier_standin::answer::answer_text;
use oatpier_standin::clock::StandinClock;
use oatpier_standin::endpoint::LocalEndpoint;
use oatpier_standin::engine::{EngineFaults, EngineOptions, LocalEngine, start_engine};
use oatpier_standin::serve::RunningServer;
use oatpier_standin::weights::{WeightStore, WeightsOptions};
use oatpier_types::event::FleetEvent;
use oatpier_types::ids::AttemptId;

use crate::support::{ANY_PORT, completion, load, options, read_body, streamed_text, unload};

const TIMEOUT: Duration = Duration::from_mins(1);

/// Tokens of an answer that doesn't end during a test.
const ENDLESS: u32 = 4_000;

async fn serve(options: EngineOptions) -> (RunningServer<LocalEngine>, HttpEndpoint) {
    let store = WeightStore::shared(WeightsOptions::default());
    let clock = StandinClock::start();
    let running = start_engine(ANY_PORT, options, store, clock).await.unwrap();
    let work = HttpEndpoint::new(running.address, EndpointKind::Engine, TIMEOUT);
    (running, work)
}

async fn check_whole_and_resumed(work: &dyn EndpointClient) {
    let whole = work.run(completion(1, "a prompt", 5)).await.unwrap();
    let (events, error) = read_body(whole).await;
    assert_eq!(error, None);
    assert!(events.ends_with("data: [DONE]\n\n"));
    assert_eq!(streamed_text(&events), answer_text("a prompt", 5));

    let mut call = completion(2, "a prompt", 5);
    call.resume_after = 3;
    let (events, _) = read_body(work.run(call).await.unwrap()).await;
    let rest = answer_text("a prompt", 5)[answer_text("a prompt", 3).len()..].to_owned();
    assert_eq!(streamed_text(&events), rest);
    assert_ne!(answer_text("another", 5), answer_text("a prompt", 5));
}

#[tokio::test]
async fn a_served_engine_streams_whole_and_resumed_answers() {
    let (running, work) = serve(options()).await;
    check_whole_and_resumed(&work).await;
    assert!(work.probe().await);
    let runs = running.handle.with_core(|core, _| core.runs().to_vec());
    let resumed: Vec<u32> = runs.iter().map(|run| run.resume_after).collect();
    assert_eq!(resumed, [0, 3]);
    assert_eq!(runs[0].attempt, AttemptId(1).to_string());
    assert_eq!(runs[0].key.as_deref(), Some("key-1"));
}

#[tokio::test(start_paused = true)]
async fn a_local_engine_streams_whole_and_resumed_answers() {
    let store = WeightStore::shared(WeightsOptions::default());
    let engine = LocalEngine::start(options(), store, StandinClock::start());
    let work = LocalEndpoint::engine(engine);
    check_whole_and_resumed(&work).await;
    assert!(work.probe().await);
}

/// A stream breaks off in the middle. The reader must get an error, and not a short answer that looks
/// complete.
#[tokio::test]
async fn an_interrupted_stream_returns_an_error() {
    let (running, work) = serve(options()).await;
    let cut = EngineFaults {
        cut_streams: 1,
        cut_after: 2,
        ..EngineFaults::default()
    };
    running.handle.set_faults(cut);
    let answer = work.run(completion(1, "a prompt", 5)).await.unwrap();
    let (events, error) = read_body(answer).await;
    assert!(error.is_some());
    assert_eq!(streamed_text(&events), answer_text("a prompt", 2));
    let (events, error) = read_body(work.run(completion(2, "a prompt", 5)).await.unwrap()).await;
    assert_eq!(error, None);
    assert_eq!(streamed_text(&events), answer_text("a prompt", 5));
}

/// One caller cancels, and another one only closes its connection. Both must free their slots, which
/// the next request needs.
#[tokio::test]
async fn cancelled_and_abandoned_streams_free_their_slots() {
    let (running, work) = serve(EngineOptions {
        slots: 1,
        ..options()
    })
    .await;
    let cancelled = work.run(completion(1, "one", ENDLESS)).await.unwrap();
    work.cancel(AttemptId(1)).await;
    assert!(read_body(cancelled).await.1.is_some());

    let mut abandoned = work.run(completion(2, "two", ENDLESS)).await.unwrap();
    abandoned.body.next().await.unwrap().unwrap();
    drop(abandoned);
    let next = work.run(completion(3, "three", 5)).await.unwrap();
    let (events, _) = read_body(next).await;
    assert_eq!(streamed_text(&events), answer_text("three", 5));
    let runs = running.handle.with_core(|core, _| core.runs().len());
    assert_eq!(runs, 3);
    assert_eq!(running.handle.with_core(|core, _| core.completed()), 1);
}

#[tokio::test]
async fn orders_and_reports_work_over_http() {
    let (running, _) = serve(options()).await;
    let engine = HttpEngine::new(running.address, TIMEOUT);
    engine.order(&load(2, 1, "m2")).await.unwrap();
    let stale = engine.order(&unload(1, 1, "m1")).await;
    let highest = load(2, 1, "m2").number;
    assert_eq!(stale, Err(OrderError::Stale { highest }));
    let again = engine.order(&load(2, 2, "m2")).await;
    assert_eq!(again, Ok(()));
    assert_eq!(engine.state().await.unwrap().held.len(), 2);
    assert_eq!(engine.load().await.unwrap().running, 0);
    assert!(engine.cache_events(0).await.unwrap().is_empty());

    running.handle.set_faults(EngineFaults {
        lose_orders: 1,
        ..EngineFaults::default()
    });
    let lost = engine.order(&load(2, 3, "m2")).await;
    assert!(matches!(lost, Err(OrderError::Unknown { .. })), "{lost:?}");
}

/// The events of a run contain its request and attempt, and a hash of its idempotency key.
#[tokio::test(start_paused = true)]
async fn events_identify_the_run() {
    let store = WeightStore::shared(WeightsOptions::default());
    let engine = LocalEngine::start(options(), store, StandinClock::start());
    let mut call = completion(1, "one", 5);
    let trace = "00-000000000000000000000000000000aa-00000000000000bb-01";
    call.headers.insert("traceparent", trace.parse().unwrap());
    let work = LocalEndpoint::engine(engine.clone());
    read_body(work.run(call).await.unwrap()).await;
    let events = engine.with_core(|core, _| core.take_events());
    let started = events.iter().find_map(|logged| match logged.event {
        FleetEvent::RunStarted {
            request,
            attempt,
            key,
            ..
        } => Some((request.0, attempt.0, key)),
        _ => None,
    });
    let key = oatpier_standin::answer::key_hash("key-1");
    assert_eq!(started, Some((0xaa, 1, Some(key))));
}
