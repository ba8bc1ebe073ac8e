//! A model engine: streams, reports, orders with sequence numbers, and a restart.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{self, Json, Message, Record, Store, Wire};

pub const SLOTS: usize = 24;
pub const MODEL_MB: f64 = 70_000.0;
pub const MEMORY_MB: f64 = 220_000.0;
pub const LOAD: Duration = Duration::from_millis(1_200);
const EVENTS: u32 = 20;
const EVENT_GAP: Duration = Duration::from_millis(20);
/// Interval at which an engine writes its registry entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What an engine ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub path: String,
    pub service: String,
    pub instance: String,
}

/// What happens to the answer of an order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum OrderFate {
    Answered,
    /// No answer; carried out after this time, if its condition holds then.
    Late(Duration),
}

pub type OrderRule = dyn Fn(&str, &str, u64) -> OrderFate + Send + Sync;

#[derive(Default)]
struct State {
    instance: String,
    service: String,
    born: u64,
    is_up: bool,
    models: Vec<String>,
    on_disk: Vec<String>,
    seq: u64,
    busy_until: Option<(Instant, String)>,
    running: usize,
    connections: Vec<TcpStream>,
}

impl State {
    fn finish_load(&mut self) {
        if let Some((until, model)) = self.busy_until.clone()
            && Instant::now() >= until
        {
            self.busy_until = None;
            self.on_disk.push(model.clone());
            self.models.push(model);
        }
    }

    fn is_busy(&mut self) -> bool {
        self.finish_load();
        self.busy_until.is_some()
    }
}

/// One address at which engines run, one after the other.
#[derive(Clone)]
pub struct Site {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Engines that were ordered to hold more than their memory.
    pub overloads: Arc<Mutex<Vec<String>>>,
    rule: Arc<OrderRule>,
}

impl Site {
    pub fn new(address: SocketAddr, store: &Store, record: &Record, rule: Arc<OrderRule>) -> Self {
        Self {
            address,
            state: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            runs: Arc::default(),
            overloads: Arc::default(),
            rule,
        }
    }

    /// Starts an engine of a service here, which registers itself.
    pub fn start(&self, instance: &str, service: &str, models: &[String]) {
        let listener = (0..50).find_map(|_| {
            let bound = TcpListener::bind(self.address).ok();
            if bound.is_none() {
                thread::sleep(Duration::from_millis(20));
            }
            bound
        });
        let Some(listener) = listener else { common::unable("an engine's address is taken") };
        {
            let mut state = self.state.lock().unwrap();
            let on_disk = if state.instance == instance { state.on_disk.clone() } else { models.to_vec() };
            *state = State {
                instance: instance.to_owned(),
                service: service.to_owned(),
                born: common::unix_ms(),
                is_up: true,
                models: models.to_vec(),
                on_disk,
                ..State::default()
            };
        }
        self.record.line(&format!("engine {instance} of {service} starts at machine {} with {models:?}", self.machine()));
        let born = self.state.lock().unwrap().born;
        let site = self.clone();
        thread::spawn(move || site.accept(&listener, born));
        let site = self.clone();
        thread::spawn(move || site.register(born));
    }

    fn machine(&self) -> String {
        self.address.ip().to_string().rsplit('.').next().unwrap_or("").to_owned()
    }

    /// Ends the engine at once. Its entry expires after three heartbeats.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        state.running = 0;
        let instance = state.instance.clone();
        self.record.line(&format!("engine {instance} crashes"));
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        // Wakes the accepting thread, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        let (site, key) = (self.clone(), format!("servers/{instance}"));
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            let state = site.state.lock().unwrap();
            if !state.is_up || state.instance != instance {
                drop(state);
                site.store.remove(&key);
                site.record.line(&format!("the entry of {instance} expires"));
            }
        });
    }

    fn is_current(&self, born: u64) -> bool {
        let state = self.state.lock().unwrap();
        state.is_up && state.born == born
    }

    fn accept(&self, listener: &TcpListener, born: u64) {
        for stream in listener.incoming().flatten() {
            if !self.is_current(born) {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                self.state.lock().unwrap().connections.push(copy);
            }
            let site = self.clone();
            thread::spawn(move || site.serve(Wire::new(stream), born));
        }
    }

    fn register(&self, born: u64) {
        while self.is_current(born) {
            let state = self.state.lock().unwrap();
            let models: Vec<String> =
                state.models.iter().map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}")).collect();
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"ikeja\",\"version\":\"v1\",\"slots\":{SLOTS},\
                 \"state\":\"ready\",\"cold_ms\":0,\"stage\":\"both\",\"models\":[{}],\"seq\":{},\"born\":{born}}}",
                state.service, self.address, models.join(","), state.seq,
            );
            let key = format!("servers/{}", state.instance);
            drop(state);
            self.store.put(&key, &entry);
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, mut wire: Wire, born: u64) {
        while let Some(message) = wire.read() {
            if !self.is_current(born) {
                return;
            }
            let is_kept = match message.path() {
                "/health" => self.answer_health(&mut wire),
                "/report" => self.answer_report(&mut wire),
                "/order" => self.answer_order(&message, &mut wire),
                _ => self.answer_call(&message, &mut wire, born),
            };
            if !is_kept {
                return;
            }
        }
    }

    fn answer_health(&self, wire: &mut Wire) -> bool {
        let instance = self.state.lock().unwrap().instance.clone();
        wire.write(&common::response("200 OK", &[("X-Oatpier-Instance-Id", instance.as_str())], b""))
    }

    fn answer_report(&self, wire: &mut Wire) -> bool {
        let mut state = self.state.lock().unwrap();
        let busy = state.is_busy();
        let models: Vec<String> =
            state.models.iter().map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}")).collect();
        let disk: Vec<String> = state.on_disk.iter().map(|name| format!("\"{name}\"")).collect();
        let body = format!(
            "{{\"born\":{},\"stage\":\"both\",\"models\":[{}],\"busy\":{busy},\"seq\":{},\"waiting\":0,\"running\":{},\
             \"kv_used\":{},\"kv_total\":85485,\"handles\":0,\"coming\":[],\"state\":\"ready\",\"runs\":[],\
             \"at_hand\":{{\"in_memory\":[],\"on_disk\":[{}]}}}}",
            state.born, models.join(","), state.seq, state.running, state.running * 400, disk.join(","),
        );
        drop(state);
        wire.write(&common::response("200 OK", &[("Content-Type", "application/json")], body.as_bytes()))
    }

    fn answer_order(&self, message: &Message, wire: &mut Wire) -> bool {
        let order = Json::parse(&message.body).unwrap_or(Json::Null);
        let operation = order.get("operation").text().to_owned();
        let model = order.get("model").text().to_owned();
        let expect = order.get("expect").number().map(|expect| expect as u64);
        let instance = message.header("x-oatpier-expect-instance").map(str::to_owned);
        let fate = (self.rule)(&operation, &model, expect.unwrap_or(0));
        let text = format!("order {operation} {model} expect {expect:?} for {}", instance.as_deref().unwrap_or("anyone"));
        if let OrderFate::Late(delay) = fate {
            self.record.line(&format!("{text}: no answer, to be carried out {} ms later", delay.as_millis()));
            let site = self.clone();
            thread::spawn(move || {
                thread::sleep(delay);
                let status = site.carry_out(&operation, &model, expect, instance.as_deref());
                site.record.line(&format!("the late {text}: {status}"));
            });
            thread::sleep(Duration::from_millis(400));
            return false;
        }
        let status = self.carry_out(&operation, &model, expect, instance.as_deref());
        self.record.line(&format!("{text}: {status}"));
        wire.write(&common::response(status, &[("Content-Type", "application/json")], b"{}"))
    }

    fn carry_out(&self, operation: &str, model: &str, expect: Option<u64>, instance: Option<&str>) -> &'static str {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return "(down)";
        }
        if instance.is_some_and(|instance| instance != state.instance) {
            return "421 Misdirected Request";
        }
        if state.is_busy() || expect.is_some_and(|expect| expect != state.seq) {
            return "409 Conflict";
        }
        let is_held = state.models.iter().any(|held| held == model);
        if (operation == "load") == is_held {
            return "200 OK";
        }
        state.seq += 1;
        if operation == "unload" {
            state.models.retain(|held| held != model);
            return "202 Accepted";
        }
        let held = (state.models.len() + 1) as f64 * MODEL_MB;
        if held > MEMORY_MB {
            let text = format!("{} ordered to load {model} beside {:?}: {held} MB of {MEMORY_MB}", state.instance, state.models);
            self.record.line(&text);
            self.overloads.lock().unwrap().push(text);
            drop(state);
            self.crash();
            return "(crashed)";
        }
        state.busy_until = Some((Instant::now() + LOAD, model.to_owned()));
        "202 Accepted"
    }

    fn answer_call(&self, message: &Message, wire: &mut Wire, born: u64) -> bool {
        let id = message.header("x-oatpier-request-id").unwrap_or("").to_owned();
        let model = message.header("x-oatpier-model").unwrap_or("").split('/').next().unwrap_or("").to_owned();
        let (service, instance) = {
            let mut state = self.state.lock().unwrap();
            state.finish_load();
            let is_other = message.header("x-oatpier-expect-instance").is_some_and(|name| name != state.instance);
            if is_other {
                let headers =
                    [("X-Oatpier-Request-Id", id.as_str()), ("X-Oatpier-Instance-Id", state.instance.as_str())];
                return wire.write(&common::response("421 Misdirected Request", &headers, b""));
            }
            if !state.models.contains(&model) {
                let headers = [("X-Oatpier-Request-Id", id.as_str()), ("X-Oatpier-Not-Executed", "1")];
                return wire.write(&common::response("421 Misdirected Request", &headers, b""));
            }
            if state.running >= SLOTS {
                let headers = [("X-Oatpier-Request-Id", id.as_str()), ("X-Oatpier-Not-Executed", "1")];
                return wire.write(&common::response("503 Service Unavailable", &headers, b""));
            }
            state.running += 1;
            (state.service.clone(), state.instance.clone())
        };
        let path = message.path().to_owned();
        self.record.line(&format!("engine {instance} of {service} runs {id} {path} {model}"));
        self.runs.lock().unwrap().push(Run { id: id.clone(), path, service, instance });
        let is_whole = self.stream(&id, wire, born);
        let mut state = self.state.lock().unwrap();
        if state.born == born {
            state.running = state.running.saturating_sub(1);
        }
        is_whole
    }

    fn stream(&self, id: &str, wire: &mut Wire, born: u64) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Oatpier-Request-Id: {id}\r\nX-Oatpier-Response-Stamp: 3e1b.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if !wire.write(head.as_bytes()) {
            return false;
        }
        for event in 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            if !self.is_current(born) {
                return false;
            }
            let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
            if !wire.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()) {
                return false;
            }
        }
        wire.write(b"0\r\n\r\n")
    }
}

/// An engine rule of a service in the configuration.
pub fn engine_json(models: &[String], loads_per_s: f64) -> String {
    let models: Vec<String> = models
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"size_mb\":{MODEL_MB},\"load_s\":1.2,\"adapters\":0,\"adapter_mb\":0.0,\
                 \"warm_s\":1.2,\"disk_s\":1.2}}"
            )
        })
        .collect();
    format!(
        "{{\"slots\":{SLOTS},\"kv_capacity\":85485,\"size_mb\":{MEMORY_MB},\"adapter_slots\":8,\
         \"loads_per_s\":{loads_per_s},\"models\":[{}]}}",
        models.join(",")
    )
}

/// A streaming request of a client, sent once on a new connection.
pub fn stream_call(gateway: SocketAddr, path: &str, id: &str, model: &str, deadline_ms: u64) -> u16 {
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("X-Oatpier-Request-Id", id.to_owned()),
        ("X-Oatpier-Model", model.to_owned()),
        ("X-Oatpier-Token-Usage", "383,42".to_owned()),
        ("X-Oatpier-Prompt-Prefix", format!("5c1e07a2:92,{id}:291")),
        ("X-Oatpier-Deadline-Ms", deadline_ms.to_string()),
        ("Connection", "close".to_owned()),
    ];
    // No two requests are alike: a gateway knows a request that is sent again by its content.
    let body = format!("{id} ").repeat(41);
    let bytes = common::request("POST", path, &headers, body.as_bytes());
    let answer = common::call(gateway, &bytes, Duration::from_millis(deadline_ms));
    answer.map_or(0, |answer| answer.status())
}

/// Counts by key.
pub fn tally<K: Ord>(keys: impl Iterator<Item = K>) -> BTreeMap<K, usize> {
    let mut counts = BTreeMap::new();
    keys.for_each(|key| *counts.entry(key).or_default() += 1);
    counts
}
