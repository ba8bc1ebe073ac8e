//! A worker leaves the load of an adapter unanswered and carries it out late, after it has crashed and started again
//! under its id.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::Stream;
use crate::Outcome;
use crate::engine::{
    Engine, EngineSpec, ModelSpec, Order, RunPlan, Runs, count_statuses, wait_until,
};
use crate::world::{Role, World, sleep_ms};

/// The places for adapters, and the adapters of the model.
const SLOTS: usize = 8;
const ADAPTERS: usize = 28;

/// The time after which an unanswered order is carried out. The pages say 2 to 12 s.
const LATE: Duration = Duration::from_secs(12);

/// The time from the accepted load to the crash, and the time for which the engine is down.
const CRASH_AFTER_MS: u64 = 500;
const DOWN_MS: u64 = 4_000;

const GATEWAYS: [u8; 2] = [101, 102];

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"seat-explain\",\"host\":\"halls.example\",\"path_prefix\":\"/drafts/\",\
         \"kind\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":0,\"service\":\"seat-llm\",\
         \"max_attempts\":1,\"resumable\":false,\"gap_aim_ms\":150}}],\
         \"services\":[{{\"name\":\"seat-llm\",\"health_path\":\"/health\",\"max_connections\":210,\"engine\":{{\
         \"slots\":24,\"kv_capacity\":85485,\"size_mb\":220000,\"adapter_slots\":{SLOTS},\"loads_per_s\":3.1,\
         \"models\":[{{\"name\":\"m1\",\"size_mb\":65100,\"load_s\":1.2,\"adapters\":{ADAPTERS},\"adapter_mb\":12,\
         \"warm_s\":0.38,\"disk_s\":0.49}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}

pub fn play(world: &World, is_troubled: bool) -> io::Result<Outcome> {
    world.store.put("op/config", &config());
    let is_window = Arc::new(AtomicBool::new(false));
    let window = Arc::clone(&is_window);
    let is_late = Arc::new(AtomicBool::new(false));
    let late = Arc::clone(&is_late);
    // Half of the orders of the time get no answer, every other one.
    let fault = move |order: &Order| {
        let is_hit = window.load(Ordering::SeqCst) && order.number % 2 == 0;
        if is_hit && order.operation == "load" {
            late.store(true, Ordering::SeqCst);
        }
        is_hit.then_some(LATE)
    };
    let plan = |_: usize, _: &str, _: u32| RunPlan {
        prefill: Duration::from_millis(15),
        step: Duration::from_millis(15),
        events: 6,
        pause: None,
    };
    let spec = EngineSpec {
        number: 1,
        address: world.block.app(1),
        service: "seat-llm".to_owned(),
        zone: "ikeja".to_owned(),
        slots: 24,
        room_mb: 220_000,
        models: vec![ModelSpec {
            name: "m1".to_owned(),
            size_mb: 65_100,
        }],
        held: vec!["m1".to_owned()],
        keeps_id: true,
        load: Duration::from_millis(1_200),
        disk_load: Duration::from_millis(490),
        adapter_slots: SLOTS,
    };
    let runs = Runs::default();
    let engine = Engine::start(world, spec, Arc::new(plan), Arc::new(fault), &runs)?;
    let mut processes = vec![world.start_process(Role::Sidecar, 1, "ikeja", true)?];
    for gateway in GATEWAYS {
        processes.push(world.start_process(Role::Gateway, gateway, "ikeja", true)?);
    }
    for gateway in GATEWAYS {
        if !world.await_ready(gateway, Duration::from_secs(20)) {
            return Ok(Outcome::NotRun("a gateway is not ready".to_owned()));
        }
    }
    let clients: Vec<Stream> = (0..4)
        .map(|number| {
            let gateway = GATEWAYS[number % GATEWAYS.len()];
            Stream::start(
                world,
                &format!("c{number}"),
                gateway,
                Duration::from_millis(40),
            )
        })
        .collect();
    let ask_for = |adapters: &[usize]| {
        world.record.write(&format!(
            "clients ask for the adapters {adapters:?} from now on"
        ));
        let names: Vec<String> = adapters
            .iter()
            .map(|number| format!("m1/a{number}"))
            .collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        clients.iter().for_each(|client| client.ask_for(&names));
    };
    let first: Vec<usize> = (1..=SLOTS).collect();
    ask_for(&first);
    if !wait_until(Duration::from_secs(20), || engine.adapters().len() == SLOTS) {
        return Ok(Outcome::NotRun("the adapters were not loaded".to_owned()));
    }
    sleep_ms(2_000);
    // One more adapter is asked for in place of another one, and the worker leaves orders unanswered meanwhile.
    is_window.store(is_troubled, Ordering::SeqCst);
    let other: Vec<usize> = (2..=SLOTS + 1).collect();
    ask_for(&other);
    let last = format!("m1/a{}", SLOTS + 1);
    if !wait_until(Duration::from_secs(15), || {
        engine.adapters().contains(&last)
    }) {
        return Ok(Outcome::NotRun(
            "the other adapter was not loaded".to_owned(),
        ));
    }
    is_window.store(false, Ordering::SeqCst);
    if is_troubled && !is_late.load(Ordering::SeqCst) {
        return Ok(Outcome::NotRun("no load was left unanswered".to_owned()));
    }
    sleep_ms(CRASH_AFTER_MS);
    world.record.write(&format!(
        "the engine holds {:?} at seq {}",
        engine.adapters(),
        engine.sequence()
    ));
    ask_for(&first);
    if is_troubled {
        engine.crash("the fault of the case");
        sleep_ms(DOWN_MS);
        engine.restart();
    }
    wait_until(LATE + Duration::from_secs(2), || {
        engine.is_overfull.load(Ordering::SeqCst)
    });
    world.record.write(&format!(
        "the engine holds {:?} at seq {}",
        engine.adapters(),
        engine.sequence()
    ));
    let statuses: Vec<u16> = clients.into_iter().flat_map(Stream::stop).collect();
    world
        .record
        .write(&format!("answers by status: {}", count_statuses(&statuses)));
    drop(processes);
    if engine.is_overfull.load(Ordering::SeqCst) {
        return Ok(Outcome::Broken(
            "LIMIT: the engine was ordered to load more adapters than it has places".to_owned(),
        ));
    }
    Ok(Outcome::Held)
}
