//! A worker leaves an order unanswered and carries it out late, after it has crashed and started again under its id.

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

/// The memory of the engine and the size of each model, in MB: three models fit.
const ROOM_MB: u64 = 220_000;
const MODEL_MB: u64 = 65_100;

/// The time after which an unanswered order is carried out. The pages say 2 to 12 s.
const LATE: Duration = Duration::from_secs(12);

/// The time from the accepted load to the crash, and the time for which the engine is down.
const CRASH_AFTER_MS: u64 = 1_400;
const DOWN_MS: u64 = 4_000;

const GATEWAYS: [u8; 2] = [101, 102];

fn config() -> String {
    let models: Vec<String> = (1..=6)
        .map(|number| {
            format!(
                "{{\"name\":\"m{number}\",\"size_mb\":{MODEL_MB},\"load_s\":1.2,\"adapters\":0,\"adapter_mb\":12,\
                 \"warm_s\":0.38,\"disk_s\":0.49}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"plan-draft\",\"host\":\"halls.example\",\"path_prefix\":\"/drafts/\",\
         \"kind\":\"streaming\",\"timeout_ms\":10000,\"target_latency_ms\":250,\"priority\":1,\"service\":\"seat-llm\",\
         \"max_attempts\":1,\"resumable\":false,\"gap_aim_ms\":150}}],\
         \"services\":[{{\"name\":\"seat-llm\",\"health_path\":\"/health\",\"max_connections\":210,\"engine\":{{\
         \"slots\":24,\"kv_capacity\":85485,\"size_mb\":{ROOM_MB},\"adapter_slots\":8,\"loads_per_s\":3.1,\
         \"models\":[{}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        models.join(",")
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
        let is_hit = window.load(Ordering::SeqCst) && order.number % 2 == 1;
        if is_hit && order.operation == "load" {
            late.store(true, Ordering::SeqCst);
        }
        is_hit.then_some(LATE)
    };
    let plan = |_: usize, _: &str, _: u32| RunPlan {
        prefill: Duration::from_millis(20),
        step: Duration::from_millis(15),
        events: 8,
        pause: None,
    };
    let models = (1..=6).map(|number| ModelSpec {
        name: format!("m{number}"),
        size_mb: MODEL_MB,
    });
    let spec = EngineSpec {
        number: 1,
        address: world.block.app(1),
        service: "seat-llm".to_owned(),
        zone: "ikeja".to_owned(),
        slots: 24,
        room_mb: ROOM_MB,
        models: models.collect(),
        held: vec!["m1".to_owned(), "m2".to_owned(), "m3".to_owned()],
        keeps_id: true,
        load: Duration::from_millis(1_200),
        disk_load: Duration::from_millis(490),
        adapter_slots: 8,
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
    let clients: Vec<Stream> = (0..6)
        .map(|number| {
            let gateway = GATEWAYS[number % GATEWAYS.len()];
            Stream::start(
                world,
                &format!("c{number}"),
                gateway,
                Duration::from_millis(60),
            )
        })
        .collect();
    let ask_for = |models: &[&str]| {
        world
            .record
            .write(&format!("clients ask for {models:?} from now on"));
        clients.iter().for_each(|client| client.ask_for(models));
    };
    let holds = |model: &str| engine.held().iter().any(|held| held == model);
    ask_for(&["m1", "m2", "m3"]);
    sleep_ms(4_000);
    // Demand moves: the engine takes m4 in place of a model that nobody asks for.
    ask_for(&["m1", "m4"]);
    if !wait_until(Duration::from_secs(25), || holds("m4")) {
        return Ok(Outcome::NotRun("m4 was not loaded".to_owned()));
    }
    sleep_ms(2_000);
    // Demand moves once more, and the worker leaves orders unanswered meanwhile.
    is_window.store(is_troubled, Ordering::SeqCst);
    ask_for(&["m4", "m5"]);
    // Two orders for each model: one to unload another model, and one to load it.
    if !wait_until(Duration::from_secs(25), || engine.sequence() >= 4) {
        return Ok(Outcome::NotRun(
            "the load of m5 was not accepted".to_owned(),
        ));
    }
    is_window.store(false, Ordering::SeqCst);
    if is_troubled && !is_late.load(Ordering::SeqCst) {
        return Ok(Outcome::NotRun("no load was left unanswered".to_owned()));
    }
    // Demand returns to the models of before, and the engine crashes.
    ask_for(&["m1", "m2", "m3"]);
    sleep_ms(CRASH_AFTER_MS);
    world.record.write(&format!(
        "the engine holds {:?} at seq {}",
        engine.held(),
        engine.sequence()
    ));
    if is_troubled {
        engine.crash("the fault of the case");
        sleep_ms(DOWN_MS);
        engine.restart();
    }
    wait_until(LATE + Duration::from_secs(4), || {
        engine.is_overfull.load(Ordering::SeqCst)
    });
    world.record.write(&format!(
        "the engine holds {:?} at seq {}",
        engine.held(),
        engine.sequence()
    ));
    let statuses: Vec<u16> = clients.into_iter().flat_map(Stream::stop).collect();
    world
        .record
        .write(&format!("answers by status: {}", count_statuses(&statuses)));
    for process in &mut processes {
        if let Some(how) = process.ended() {
            return Ok(Outcome::NotRun(format!(
                "{} has ended: {how}",
                process.name
            )));
        }
    }
    drop(processes);
    if engine.is_overfull.load(Ordering::SeqCst) {
        return Ok(Outcome::Broken(
            "LIMIT: the engine was ordered to load more than its memory holds".to_owned(),
        ));
    }
    Ok(Outcome::Held)
}
