//! Case 3: two prompt parts end engines, and sound requests with the same first part are refused for good.

mod common;
mod llm;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{Block, ENGINE, FRONT, Folder, READY, Record, STORE, Store};
use llm::{OrderFate, Site};

const SERVICE: &str = "huvo11a";
const FIRST_PART: &str = "5c1e07a2:92";
const DEADLY: [&str; 2] = ["deadbeef", "0badf00d"];
/// Share of the requests with one of these parts while they come, in 100.
const DEADLY_SHARE: u64 = 90;
const ENGINES: u8 = 7;
const GATEWAYS: u8 = 3;
const FIRST_GATEWAY: u8 = 8;
const CLIENTS: u64 = 36;
const GAP: Duration = Duration::from_millis(60);
const CALM: Duration = Duration::from_secs(6);
const TRAFFIC: Duration = Duration::from_secs(28);
/// `stable_window_ms` of the settings.
const STABLE: Duration = Duration::from_secs(3);

/// A request as its client sent it.
struct Sent {
    at: Instant,
    is_deadly: bool,
    status: u16,
}

/// Sound requests that were sent in some time, and those of them that an engine began to run.
struct Begun {
    sent: usize,
    begun: usize,
}

impl Begun {
    fn share(&self) -> f64 {
        self.begun as f64 / self.sent.max(1) as f64
    }
}

fn main() {
    let record = Record::create();
    let block = Block::draw();
    let folder = Folder::create();
    let store_address = block.at(1, STORE);
    let store = Store::start(store_address);
    let models: Vec<String> = (0..3).map(|number| format!("daka5100{number:02}")).collect();
    let engine = llm::engine_json(&models, 3.1);
    store.put("op/config", &format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-lohu\",\"host\":\"ficu95.example\",\"path_prefix\":\"/lohu930/\",\
         \"kind\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":250,\"priority\":0,\"service\":\"{SERVICE}\",\
         \"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":150}}],\"services\":[{{\
         \"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_connections\":210,\"engine\":{engine}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
    ));
    let rule: Arc<llm::OrderRule> = Arc::new(|_, _, _| OrderFate::Answered);
    let sites: Vec<Site> = (1..=ENGINES)
        .map(|machine| {
            let site = Site::new(block.at(machine, ENGINE), &store, &record, Arc::clone(&rule)).with_deadly(&DEADLY);
            site.start(&format!("i-7f3a91c{machine}"), SERVICE, &models);
            site
        })
        .collect();
    let side = |machine: u8| {
        let extra = format!("app = \"{}\"\nservice = \"{SERVICE}\"\n", block.at(machine, ENGINE));
        common::start_role("sidecar", &block, machine, store_address, &extra, &folder)
    };
    let sidecars: Vec<_> = (1..=ENGINES).map(side).collect();
    let machines = FIRST_GATEWAY..FIRST_GATEWAY + GATEWAYS;
    let start_gateway = |machine| common::start_role("gateway", &block, machine, store_address, "", &folder);
    let gateways: Vec<_> = machines.clone().map(start_gateway).collect();
    machines.for_each(|machine| common::await_ready(block.at(machine, READY)));
    let start = Instant::now() + Duration::from_secs(1);
    let (deadly_from, end) = (start + CALM, start + TRAFFIC);
    let sent: Arc<Mutex<BTreeMap<String, Sent>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = block.at(FIRST_GATEWAY + (number % u64::from(GATEWAYS)) as u8, FRONT);
            let (record, sent) = (record.clone(), Arc::clone(&sent));
            let model = models[(number % 3) as usize].clone();
            thread::spawn(move || {
                thread::sleep(start.saturating_duration_since(Instant::now()) + Duration::from_millis(13 * number));
                let mut seed = number * 7_919 + 17;
                for turn in 0u64.. {
                    let at = Instant::now();
                    if at >= end {
                        return;
                    }
                    seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                    let is_drawn = (seed >> 33) % 100 < DEADLY_SHARE;
                    let is_deadly = common::has_trouble() && at >= deadly_from && is_drawn;
                    let parts = if is_deadly {
                        format!("{FIRST_PART},{}:40", DEADLY[(turn % 2) as usize])
                    } else {
                        FIRST_PART.to_owned()
                    };
                    let id = format!("{:016x}", 0x9c41_0000_0000_0000 + turn * 1_000 + number);
                    let row = Sent { at, is_deadly, status: 0 };
                    sent.lock().unwrap().insert(id.clone(), row);
                    record.line(&format!("client sends {id} {parts}"));
                    let status = llm::call_with_parts(front, "/lohu930/2f", &id, &model, 3_000, &parts);
                    record.line(&format!("client gets {status} for {id}"));
                    if let Some(row) = sent.lock().unwrap().get_mut(&id) {
                        row.status = status;
                    }
                    thread::sleep(GAP);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap_or_default());
    drop((gateways, sidecars));
    let sent = sent.lock().unwrap();
    let ran: BTreeSet<String> =
        sites.iter().flat_map(|site| site.runs.lock().unwrap().iter().map(|run| run.id.clone()).collect::<Vec<_>>()).collect();
    let count = |from: Instant, to: Instant| {
        let rows = sent.iter().filter(|(_, row)| !row.is_deadly && row.at >= from && row.at < to);
        let ids: Vec<&String> = rows.map(|(id, _)| id).collect();
        Begun { sent: ids.len(), begun: ids.iter().filter(|id| ran.contains(id.as_str())).count() }
    };
    let mut ends: Vec<Instant> = sites.iter().flat_map(|site| site.ends.lock().unwrap().clone()).collect();
    ends.sort();
    let at_ms: Vec<u128> = ends.iter().map(|at| at.duration_since(start).as_millis()).collect();
    // The fifth crash, or the last one if there are fewer.
    let counted_from = ends.get(4).or(ends.last()).map_or(deadly_from, |at| *at + STABLE * 2);
    let (before, meanwhile) = (count(start, deadly_from), count(counted_from, end));
    let statuses = llm::tally(sent.values().filter(|row| !row.is_deadly).map(|row| row.status));
    record.line(&format!("engines ended at {at_ms:?} ms of the traffic"));
    record.line(&format!("answers to sound requests by status: {statuses:?}"));
    record.line(&format!("sound requests begun before: {} of {}", before.begun, before.sent));
    record.line(&format!("LOST, begun while deadly ones come: {} of {}", meanwhile.begun, meanwhile.sent));
    println!(
        "{} ends; sound requests begun: {} of {} before, {} of {} meanwhile",
        ends.len(), before.begun, before.sent, meanwhile.begun, meanwhile.sent,
    );
    drop(folder);
    let has_played = before.sent >= 20 && meanwhile.sent >= 20 && before.share() > 0.5;
    let code = if !has_played {
        common::EXIT_UNABLE
    } else if meanwhile.share() * 2.0 < before.share() {
        common::EXIT_BROKEN
    } else {
        common::EXIT_HELD
    };
    std::process::exit(code);
}
