//! An engine crashes, starts again under a new id, and is taken away soon after, while the entry of its first start has
//! not lapsed yet.

use std::io;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use super::{CUT, Stream};
use crate::Outcome;
use crate::engine::{Engine, EngineSpec, ModelSpec, RunPlan, Runs, count_statuses, wait_until};
use crate::world::{Role, World, sleep_ms};

/// The time within which machines stop to use an engine that has left.
const DRAIN_S: f64 = 2.0;

/// The time for which the engine is down, and the one from its return to the removal of its entry.
const DOWN_MS: u64 = 600;
const STAY_MS: u64 = 800;

/// The time for which the engine serves on: `drain_ms` and a little longer.
const LINGER_MS: u64 = 3_500;

const GATEWAYS: [u8; 2] = [101, 102];

fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"seat-explain\",\"host\":\"halls.example\",\"path_prefix\":\"/drafts/\",\
     \"kind\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":0,\"service\":\"seat-llm\",\
     \"max_attempts\":1,\"resumable\":false,\"gap_aim_ms\":150}],\
     \"services\":[{\"name\":\"seat-llm\",\"health_path\":\"/health\",\"max_connections\":210,\"engine\":{\
     \"slots\":24,\"kv_capacity\":85485,\"size_mb\":220000,\"adapter_slots\":8,\"loads_per_s\":3.1,\
     \"models\":[{\"name\":\"m1\",\"size_mb\":65100,\"load_s\":1.2,\"adapters\":0,\"adapter_mb\":12,\
     \"warm_s\":0.38,\"disk_s\":0.49}]}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000}}"
        .to_owned()
}

pub fn play(world: &World, is_troubled: bool) -> io::Result<Outcome> {
    world.store.put("op/config", &config());
    let plan = |_: usize, _: &str, _: u32| RunPlan {
        prefill: Duration::from_millis(15),
        step: Duration::from_millis(31),
        events: 6,
        pause: None,
    };
    let runs = Runs::default();
    let mut engines = Vec::new();
    let mut processes = Vec::new();
    for number in [1_u8, 2, 3] {
        let spec = EngineSpec {
            number: usize::from(number),
            address: world.block.app(number),
            service: "seat-llm".to_owned(),
            zone: "ikeja".to_owned(),
            slots: 24,
            room_mb: 220_000,
            models: vec![ModelSpec {
                name: "m1".to_owned(),
                size_mb: 65_100,
            }],
            held: vec!["m1".to_owned()],
            keeps_id: false,
            load: Duration::from_millis(1_200),
            disk_load: Duration::from_millis(490),
            adapter_slots: 8,
        };
        engines.push(Engine::start(
            world,
            spec,
            Arc::new(plan),
            Arc::new(|_| None),
            &runs,
        )?);
        processes.push(world.start_process(Role::Sidecar, number, "ikeja", true)?);
    }
    for gateway in GATEWAYS {
        processes.push(world.start_process(Role::Gateway, gateway, "ikeja", true)?);
    }
    for gateway in GATEWAYS {
        if !world.await_ready(gateway, Duration::from_secs(20)) {
            return Ok(Outcome::NotRun("a gateway is not ready".to_owned()));
        }
    }
    let clients: Vec<Stream> = (0..8)
        .map(|number| {
            let gateway = GATEWAYS[number % GATEWAYS.len()];
            Stream::start(
                world,
                &format!("c{number}"),
                gateway,
                Duration::from_millis(20),
            )
        })
        .collect();
    clients.iter().for_each(|client| client.ask_for(&["m1"]));
    sleep_ms(6_000);
    let engine = &engines[0];
    if is_troubled {
        // Its entry lapses three heartbeat intervals after the last heartbeat.
        let beats = engine.heartbeats();
        wait_until(Duration::from_secs(2), || engine.heartbeats() > beats);
        sleep_ms(50);
        engine.crash("the fault of the case");
        sleep_ms(DOWN_MS);
        engine.restart();
    }
    wait_until(Duration::from_millis(STAY_MS), || false);
    engine.leave();
    let left = world.record.seconds();
    sleep_ms(LINGER_MS);
    engine.crash("it has left");
    sleep_ms(1_000);
    let statuses: Vec<u16> = clients.into_iter().flat_map(Stream::stop).collect();
    world
        .record
        .write(&format!("answers by status: {}", count_statuses(&statuses)));
    drop(processes);
    let cut = statuses.iter().filter(|status| **status == CUT).count();
    world.record.write(&format!("{cut} streams were cut"));
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let late = runs
        .iter()
        .filter(|run| run.engine == 1 && run.began > left + DRAIN_S);
    let late: Vec<f64> = late.map(|run| run.began - left).collect();
    world.record.write(&format!(
        "{} runs at engine 1 later than {DRAIN_S} s after it had left: {late:.3?}",
        late.len()
    ));
    if late.is_empty() {
        return Ok(Outcome::Held);
    }
    let last = late.iter().copied().fold(0.0, f64::max);
    Ok(Outcome::Broken(format!(
        "DRAIN: {} requests reach an engine up to {last:.3} s after the store has accepted that it is gone; {cut} streams \
         were cut in all",
        late.len()
    )))
}
