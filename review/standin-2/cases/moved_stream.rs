//! A stream that may be resumed stalls at a slow engine and goes on at another one, which reads the prompt first.

use std::io;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use super::Draft;
use crate::Outcome;
use crate::engine::{Engine, EngineSpec, ModelSpec, RunPlan, Runs};
use crate::world::{Role, World, sleep_ms};

/// The time after which the engine before must have stopped its work.
const OVERLAP_S: f64 = 0.4;

const GATEWAYS: [u8; 2] = [101, 102];
const REQUESTS: u32 = 12;

fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"plan-draft-queued\",\"host\":\"halls.example\",\"path_prefix\":\"/drafts/\",\
     \"kind\":\"streaming\",\"timeout_ms\":12000,\"target_latency_ms\":1200,\"priority\":1,\"service\":\"seat-llm\",\
     \"max_attempts\":2,\"resumable\":true,\"gap_aim_ms\":150}],\
     \"services\":[{\"name\":\"seat-llm\",\"health_path\":\"/health\",\"max_connections\":210,\"engine\":{\
     \"slots\":24,\"kv_capacity\":85485,\"size_mb\":220000,\"adapter_slots\":8,\"loads_per_s\":3.1,\
     \"models\":[{\"name\":\"m1\",\"size_mb\":65100,\"load_s\":1.2,\"adapters\":0,\"adapter_mb\":12}]}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000}}"
        .to_owned()
}

pub fn play(world: &World, is_troubled: bool) -> io::Result<Outcome> {
    world.store.put("op/config", &config());
    // The engine that a request reaches first is slow in the middle of it. The other one has to read the whole prompt.
    let plan = move |_: usize, _: &str, after: u32| RunPlan {
        prefill: Duration::from_millis(if after > 0 { 790 } else { 60 }),
        step: Duration::from_millis(31),
        events: 20,
        pause: (is_troubled && after == 0).then_some((6, Duration::from_millis(2_000))),
    };
    let runs = Runs::default();
    let mut processes = Vec::new();
    let mut engines = Vec::new();
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
    sleep_ms(3_500);
    let mut whole = 0;
    for number in 0..REQUESTS {
        let id = format!("stream-{number:03}");
        let draft = Draft {
            id: &id,
            path: "/drafts/plan",
            model: "m1",
            tokens: (30_000, 140),
            part: 0x2000 + number,
            deadline_ms: 12_000,
            extra: "",
        };
        let answer = draft.send(world, GATEWAYS[number as usize % GATEWAYS.len()]);
        whole +=
            u32::from(answer.is_some_and(|answer| answer.is_whole && answer.head.status() == 200));
    }
    sleep_ms(2_500);
    drop(processes);
    world
        .record
        .write(&format!("{whole} of {REQUESTS} streams are whole"));
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let mut overlaps = Vec::new();
    for later in runs.iter().filter(|run| run.after > 0) {
        let before = runs
            .iter()
            .filter(|run| run.id == later.id && run.began < later.began);
        for earlier in before {
            let overlap = earlier.ended.unwrap_or(f64::MAX) - later.began;
            world.record.write(&format!(
                "{}: engine {} works on it until {overlap:.3} s after it went on at engine {}",
                later.id, earlier.engine, later.engine
            ));
            if overlap > OVERLAP_S {
                overlaps.push(overlap);
            }
        }
    }
    if let Some(longest) = overlaps.iter().copied().reduce(f64::max) {
        let count = overlaps.len();
        return Ok(Outcome::Broken(format!(
            "TWICE: {count} streams went on elsewhere while the engine before worked on for up to {longest:.3} s"
        )));
    }
    if whole < REQUESTS {
        return Ok(Outcome::NotRun("not all streams are whole".to_owned()));
    }
    Ok(Outcome::Held)
}
