//! Case 1: a late extra response repeats a refusal, and the gateway takes it for the answer to the next request.

#[path = "common.rs"]
mod common;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{Block, ENGINE, FRONT, Folder, Message, READY, Record, STORE, Store, Wire};

const GATEWAYS: u8 = 2;
const ENGINES: u8 = 3;
/// The engine among them that is faulty: one in three, within the share of 0.6.
const FAULTY: u8 = 1;
/// Share of the faulty engine's answers that have an extra one, within the 0.03 of the site file.
const EXTRA_SHARE: f64 = 0.02;
/// Length of the disruption, within the 5 s of the site file.
const TROUBLE_FROM: Duration = Duration::from_secs(3);
const TROUBLE_TO: Duration = Duration::from_millis(7_800);
const SLOTS: u32 = 6;
/// An engine "queues a few more".
const QUEUE: u32 = 4;
const WORK: Duration = Duration::from_millis(30);
/// Clients at the first gateway, which send one request after the other all the time.
const STEADY_CLIENTS: u64 = 4;
const STEADY_GAP: Duration = Duration::from_millis(45);
/// Clients at the second gateway, which send at the same moment.
const BURST_CLIENTS: u64 = 40;
const BURST_GAP: Duration = Duration::from_millis(330);
const TRAFFIC: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Places {
    running: u32,
    waiting: u32,
}

/// A plain application engine.
struct Engine {
    number: u8,
    instance: String,
    is_faulty: bool,
    start: Instant,
    places: Mutex<Places>,
    freed: Condvar,
    answers: AtomicU64,
    extras: AtomicU64,
    record: Record,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

enum Turn {
    Run,
    Refused,
}

impl Engine {
    fn take_place(&self, patience: Duration) -> Turn {
        let mut places = self.places.lock().unwrap();
        if places.running < SLOTS {
            places.running += 1;
            return Turn::Run;
        }
        if places.waiting >= QUEUE {
            return Turn::Refused;
        }
        places.waiting += 1;
        let (mut places, result) = self
            .freed
            .wait_timeout_while(places, patience, |places| places.running >= SLOTS)
            .unwrap();
        places.waiting -= 1;
        if result.timed_out() && places.running >= SLOTS {
            return Turn::Refused;
        }
        places.running += 1;
        Turn::Run
    }

    fn leave_place(&self) {
        self.places.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }

    fn load(&self) -> String {
        let places = self.places.lock().unwrap();
        format!("{},{},{SLOTS}", places.running, places.waiting)
    }

    fn is_time(&self) -> bool {
        (TROUBLE_FROM..TROUBLE_TO).contains(&self.start.elapsed())
    }

    /// Returns whether the last answer on a connection, a refusal, is now sent once more.
    fn repeats(&self) -> bool {
        if !self.is_faulty || !self.is_time() || !common::has_trouble() {
            return false;
        }
        let answers = self.answers.load(Ordering::SeqCst) as f64;
        let extras = self.extras.load(Ordering::SeqCst) as f64;
        extras + 1.0 <= answers * EXTRA_SHARE && self.extras.fetch_add(1, Ordering::SeqCst) >= extras as u64
    }

    fn serve(&self, mut wire: Wire) {
        // The last answer on this connection, if it was a refusal.
        let mut last: Option<(String, Vec<u8>)> = None;
        while let Some(message) = wire.read() {
            if message.path() == "/health" {
                let load = self.load();
                let headers = [("X-Oatpier-Instance-Id", self.instance.as_str()), ("X-Oatpier-Server-Load", &load)];
                if !wire.write(&common::response("200 OK", &headers, b"")) {
                    return;
                }
                continue;
            }
            let id = message.header("x-oatpier-request-id").unwrap_or("").to_owned();
            let Some((is_refused, bytes)) = self.answer(&id, &message, &mut wire, last.take()) else {
                self.record.line(&format!("engine {} drops {id}: its connection was closed", self.number));
                return;
            };
            if self.is_time() {
                self.answers.fetch_add(1, Ordering::SeqCst);
            }
            if is_refused {
                last = Some((id, bytes.clone()));
            }
            if !wire.write(&bytes) {
                return;
            }
        }
    }

    /// Returns whether the request was refused, and the response; `None` if its connection was closed while it waited.
    fn answer(
        &self,
        id: &str,
        message: &Message,
        wire: &mut Wire,
        last: Option<(String, Vec<u8>)>,
    ) -> Option<(bool, Vec<u8>)> {
        let expected = message.header("x-oatpier-expect-instance");
        if expected.is_some_and(|expected| expected != self.instance) {
            let headers = [("X-Oatpier-Request-Id", id), ("X-Oatpier-Instance-Id", self.instance.as_str())];
            return Some((true, common::response("421 Misdirected Request", &headers, b"")));
        }
        let left = message.header("x-oatpier-deadline-ms").and_then(|left| left.parse().ok()).unwrap_or(1_000);
        match self.take_place(Duration::from_millis(left)) {
            Turn::Refused => {
                let load = self.load();
                self.record.line(&format!("engine {} refuses {id}: full", self.number));
                let headers =
                    [("X-Oatpier-Request-Id", id), ("X-Oatpier-Not-Executed", "1"), ("X-Oatpier-Server-Load", &load)];
                Some((true, common::response("503 Service Unavailable", &headers, b"")))
            }
            Turn::Run => {
                if wire.is_closed() {
                    self.leave_place();
                    return None;
                }
                self.record.line(&format!("engine {} runs {id}", self.number));
                if let Some((of, bytes)) = last.filter(|_| self.repeats()) {
                    let number = self.number;
                    self.record.line(&format!("engine {number} sends its answer to {of} once more, where {id} is due"));
                    wire.write(&bytes);
                }
                *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
                thread::sleep(WORK);
                self.leave_place();
                let (stamp, load) = (format!("3e1b.{}.{id}", self.number), self.load());
                let headers = [
                    ("X-Oatpier-Request-Id", id),
                    ("X-Oatpier-Response-Stamp", stamp.as_str()),
                    ("X-Oatpier-Server-Load", load.as_str()),
                ];
                Some((false, common::response("200 OK", &headers, &[b'x'; 800])))
            }
        }
    }
}

/// A client of the platform: it keeps its connection, and sends each request once.
fn client(number: u64, gateway: SocketAddr, start: Instant, gap: Duration, record: &Record) -> Vec<(String, u16)> {
    let mut ended = Vec::new();
    let mut wire: Option<Wire> = None;
    for turn in 0.. {
        let at = gap * turn;
        if at >= TRAFFIC {
            break;
        }
        thread::sleep((start + at).saturating_duration_since(Instant::now()));
        let id = format!("{:016x}", 0x9c41_0000_0000_0000 + u64::from(turn) * 1_000 + number);
        let headers = [
            ("Host", "ficu95.example".to_owned()),
            ("X-Oatpier-Request-Id", id.clone()),
            ("X-Oatpier-Deadline-Ms", "2500".to_owned()),
        ];
        let bytes = common::request("POST", "/puxa403/2f", &headers, &[b'q'; 600]);
        let mut open = wire.take().or_else(|| {
            let stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)).ok()?;
            let _ = stream.set_read_timeout(Some(Duration::from_millis(2_500)));
            Some(Wire::new(stream))
        });
        record.line(&format!("client sends {id}"));
        let answer = open.as_mut().and_then(|open| open.write(&bytes).then(|| open.read()).flatten());
        let status = answer.as_ref().map_or(0, Message::status);
        let other = answer.as_ref().and_then(|answer| answer.header("x-oatpier-request-id")).unwrap_or("-");
        record.line(&format!("client gets {status} for {id} (the answer names {other})"));
        if answer.is_some_and(|answer| answer.header("connection") != Some("close")) {
            wire = open;
        }
        ended.push((id, status));
    }
    ended
}

fn config() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"r-puxa\",\"host\":\"ficu95.example\",\"path_prefix\":\"/puxa403/\",\
     \"kind\":\"unsafe\",\"timeout_ms\":1200,\"target_latency_ms\":150,\"priority\":2,\"service\":\"wuno96b\",\
     \"max_attempts\":2,\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"wuno96b\",\
     \"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000}}"
        .to_owned()
}

fn main() {
    let record = Record::create();
    let block = Block::draw();
    let folder = Folder::create();
    let store_address = block.at(1, STORE);
    let store = Store::start(store_address);
    store.put("op/config", &config());
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        let address = block.at(number, ENGINE);
        let engine = Arc::new(Engine {
            number,
            instance: format!("i-7f3a91c{number}"),
            is_faulty: number == FAULTY,
            start: Instant::now(),
            places: Mutex::default(),
            freed: Condvar::new(),
            answers: AtomicU64::new(0),
            extras: AtomicU64::new(0),
            record: record.clone(),
            runs: Arc::clone(&runs),
        });
        let entry = format!(
            "{{\"service\":\"wuno96b\",\"address\":\"{address}\",\"zone\":\"ikeja\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_ms\":0,\"seq\":1,\"born\":{}}}",
            common::unix_ms()
        );
        store.put(&format!("servers/{}", engine.instance), &entry);
        let served = Arc::clone(&engine);
        common::serve(address, move |wire| served.serve(wire));
        engines.push(engine);
    }
    let start_gateway = |number| common::start_role("gateway", &block, number, store_address, "", &folder);
    let gateways: Vec<_> = (4..4 + GATEWAYS).map(start_gateway).collect();
    (4..4 + GATEWAYS).for_each(|number| common::await_ready(block.at(number, READY)));
    let start = Instant::now() + Duration::from_millis(300);
    let clients = (0..STEADY_CLIENTS + BURST_CLIENTS).map(|number| {
        let (machine, gap, shift) = if number < STEADY_CLIENTS {
            (4, STEADY_GAP, Duration::from_millis(11 * number))
        } else {
            (5, BURST_GAP, Duration::ZERO)
        };
        let (gateway, record) = (block.at(machine, FRONT), record.clone());
        thread::spawn(move || client(number, gateway, start + shift, gap, &record))
    });
    let clients: Vec<_> = clients.collect();
    let ended: Vec<(String, u16)> = clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    thread::sleep(Duration::from_millis(500));
    drop(gateways);
    let runs = runs.lock().unwrap();
    let twice: Vec<&String> = runs.iter().filter(|(_, count)| **count > 1).map(|(id, _)| id).collect();
    let has_run = |id: &String| runs.contains_key(id);
    let refused = ended.iter().filter(|(id, status)| matches!(status, 408 | 421 | 429 | 503) && has_run(id));
    let refused: Vec<&String> = refused.map(|(id, _)| id).collect();
    let served = ended.iter().filter(|(_, status)| *status == 200).count();
    let faulty = &engines[usize::from(FAULTY) - 1];
    let (extras, answers) = (faulty.extras.load(Ordering::SeqCst), faulty.answers.load(Ordering::SeqCst));
    record.line(&format!("extra answers: {extras} to {answers} answers of engine {FAULTY} during the disruption"));
    record.line(&format!("requests: {}, answered 200: {served}", ended.len()));
    record.line(&format!("TWICE, ran more than once: {twice:?}"));
    record.line(&format!("REFUSED, answered as not run but ran: {refused:?}"));
    println!("{served} of {} served, {extras} extra answers, twice {}, refused {}", ended.len(), twice.len(), refused.len());
    drop(folder);
    let code = if served * 2 < ended.len() {
        common::EXIT_UNABLE
    } else if twice.is_empty() && refused.is_empty() {
        common::EXIT_HELD
    } else {
        common::EXIT_BROKEN
    };
    std::process::exit(code);
}
