//! Case 2: the address of an engine that crashed for good is used by an engine of another service.

mod common;
mod llm;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{Block, ENGINE, FRONT, Folder, READY, Record, STORE, Store};
use llm::{OrderFate, Site};

const SERVICE: &str = "huvo11a";
const OTHER: &str = "wuno96b";
const PATH: &str = "/lohu930/";
const OTHER_PATH: &str = "/pufi791/";
/// The engine that crashes, one of seven of the service: a share of 0.143.
const CRASHING: u8 = 3;
/// Machine of the other service's own engine.
const OTHER_MACHINE: u8 = 8;
const GATEWAY: u8 = 9;
/// Longer than `reuse_after_s`.
const REUSE_AFTER: Duration = Duration::from_millis(2_500);

fn route(name: &str, path: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"path_prefix\":\"{path}\",\"kind\":\"streaming\",\
         \"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":0,\"service\":\"{service}\",\"max_attempts\":2,\
         \"sticky\":true,\"resumable\":false,\"gap_aim_ms\":150}}"
    )
}

fn main() {
    let record = Record::create();
    let block = Block::draw();
    let folder = Folder::create();
    let store_address = block.at(1, STORE);
    let store = Store::start(store_address);
    let models: Vec<String> = (0..12).map(|number| format!("daka5100{number:02}")).collect();
    let engine = llm::engine_json(&models, 3.1);
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":210,\"engine\":{engine}}}")
    };
    store.put("op/config", &format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("r-lohu", PATH, SERVICE), route("r-pufi", OTHER_PATH, OTHER), service(SERVICE), service(OTHER),
    ));
    let rule: Arc<llm::OrderRule> = Arc::new(|_, _, _| OrderFate::Answered);
    let sites: Vec<Site> = (1..=OTHER_MACHINE)
        .map(|machine| {
            let site = Site::new(block.at(machine, ENGINE), &store, &record, Arc::clone(&rule));
            // The engine that crashes is the only one that holds its models.
            let first = if machine == CRASHING { 9 } else { usize::from(machine - 1) % 3 * 3 };
            let service = if machine == OTHER_MACHINE { OTHER } else { SERVICE };
            site.start(&format!("i-7f3a91c{machine}"), service, &models[first..first + 3]);
            site
        })
        .collect();
    let extra = |machine: u8, service: &str| {
        format!("app = \"{}\"\nservice = \"{service}\"\n", block.at(machine, ENGINE))
    };
    let side = |machine: u8| {
        let service = if machine == OTHER_MACHINE { OTHER } else { SERVICE };
        common::start_role("sidecar", &block, machine, store_address, &extra(machine, service), &folder)
    };
    let sidecars: Vec<_> = (1..=OTHER_MACHINE).map(side).collect();
    let gateway = common::start_role("gateway", &block, GATEWAY, store_address, "", &folder);
    common::await_ready(block.at(GATEWAY, READY));
    let start = Instant::now() + Duration::from_secs(1);
    let end = start + Duration::from_secs(25);
    let served = Arc::new(AtomicU64::new(0));
    let sent = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..100u64)
        .map(|number| {
            let (front, record, models) = (block.at(GATEWAY, FRONT), record.clone(), models.clone());
            let (served, sent) = (Arc::clone(&served), Arc::clone(&sent));
            thread::spawn(move || {
                thread::sleep(start.saturating_duration_since(Instant::now()) + Duration::from_millis(7 * number));
                for turn in 0u64.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let path = if number % 20 == 19 { format!("{OTHER_PATH}2f") } else { format!("{PATH}2f") };
                    let model = &models[((number + turn) % 12) as usize];
                    let id = format!("{:016x}", 0x9c41_0000_0000_0000 + turn * 1_000 + number);
                    record.line(&format!("client sends {id} {path} {model}"));
                    sent.fetch_add(1, Ordering::SeqCst);
                    let status = llm::stream_call(front, &path, &id, model, 3_000);
                    record.line(&format!("client gets {status} for {id}"));
                    served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(30));
                }
            })
        })
        .collect();
    thread::sleep(start.saturating_duration_since(Instant::now()) + Duration::from_secs(4));
    if common::has_trouble() {
        let site = &sites[usize::from(CRASHING) - 1];
        site.crash();
        thread::sleep(REUSE_AFTER);
        if std::env::var("SETTINGS").as_deref() != Ok("kept") {
            common::write_settings("sidecar", &block, CRASHING, store_address, &extra(CRASHING, OTHER), &folder);
        }
        site.start("i-02d9e6b4", OTHER, &[]);
    }
    clients.into_iter().for_each(|client| client.join().unwrap_or_default());
    drop((gateway, sidecars));
    let (served, sent) = (served.load(Ordering::SeqCst), sent.load(Ordering::SeqCst));
    let runs: Vec<llm::Run> = sites.iter().flat_map(|site| site.runs.lock().unwrap().clone()).collect();
    let strays = runs.iter().filter(|run| run.path.starts_with(PATH) != (run.service == SERVICE));
    let strays: Vec<&llm::Run> = strays.collect();
    for (instance, count) in llm::tally(runs.iter().map(|run| (run.instance.as_str(), run.path.as_str()))) {
        record.line(&format!("runs of {instance:?}: {count}"));
    }
    record.line(&format!("requests {sent}, answered 200: {served}"));
    record.line(&format!("ROUTE, run by a service that no configuration allows: {}", strays.len()));
    println!("{served} of {sent} served, {} run by the wrong service", strays.len());
    drop(folder);
    let code = if served * 2 < sent {
        common::EXIT_UNABLE
    } else if strays.is_empty() {
        common::EXIT_HELD
    } else {
        common::EXIT_BROKEN
    };
    std::process::exit(code);
}
