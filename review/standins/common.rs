//! Parts that the cases share: HTTP, JSON, the platform's store, settings, processes and the record.
//!
//! Only the standard library is used. All addresses are loopback addresses, drawn anew for each run.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const EXIT_HELD: i32 = 0;
pub const EXIT_BROKEN: i32 = 1;
pub const EXIT_UNABLE: i32 = 2;

/// Whether the disruption is played. `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

// ---------------------------------------------------------------- record

/// The record of a run: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).unwrap_or_else(|error| unable(&format!("no record: {error}")));
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>6} {text}");
    }
}

/// Programs of the project that run now.
static RUNNING: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn end_processes(is_ended: impl Fn(&Child) -> bool) {
    let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    running.retain_mut(|child| {
        if is_ended(child) {
            let _ = child.kill();
            let _ = child.wait();
            return false;
        }
        true
    });
}

/// Ends the run, and all processes that it started.
pub fn unable(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    end_processes(|_| true);
    std::process::exit(EXIT_UNABLE);
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut parser = Parser { bytes, at: 0 };
        parser.value()
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                while self.peek()? != b'}' {
                    if self.peek()? == b',' {
                        self.at += 1;
                        continue;
                    }
                    let Json::Text(key) = self.value()? else { return None };
                    (self.peek()? == b':').then_some(())?;
                    self.at += 1;
                    table.insert(key, self.value()?);
                }
                self.at += 1;
                Some(Json::Table(table))
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while self.peek()? != b']' {
                    if self.peek()? == b',' {
                        self.at += 1;
                        continue;
                    }
                    list.push(self.value()?);
                }
                self.at += 1;
                Some(Json::List(list))
            }
            b'"' => {
                self.at += 1;
                let mut text = Vec::new();
                loop {
                    let byte = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match byte {
                        b'"' => return String::from_utf8(text).ok().map(Json::Text),
                        b'\\' => {
                            let next = *self.bytes.get(self.at)?;
                            self.at += 1;
                            text.push(match next {
                                b'n' => b'\n',
                                b't' => b'\t',
                                b'r' => b'\r',
                                other => other,
                            });
                        }
                        other => text.push(other),
                    }
                }
            }
            _ => {
                let rest = &self.bytes[self.at..];
                let end = rest.iter().position(|byte| b",]} \n\r\t".contains(byte));
                let word = std::str::from_utf8(&rest[..end.unwrap_or(rest.len())]).ok()?;
                self.at += word.len();
                match word {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| (word << 8) | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(BASE64[((word >> (18 - 6 * index)) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            (key == name).then(|| value.to_owned())
        })?;
        Some(pair.replace("%2F", "/").replace("%2f", "/"))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Wire {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    fn fill(&mut self) -> bool {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => false,
            Ok(count) => {
                self.ahead.extend_from_slice(&bytes[..count]);
                true
            }
        }
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> Option<Message> {
        loop {
            let end = self.ahead.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                let head: Vec<u8> = self.ahead.drain(..end + 4).collect();
                let head = String::from_utf8(head).ok()?;
                let mut lines = head.split("\r\n");
                let line = lines.next()?.to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(key, value)| (key.trim().to_ascii_lowercase(), value.trim().to_owned()));
                return Some(Message { line, headers: headers.collect(), body: Vec::new() });
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.ahead.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.ahead.drain(..count).collect())
    }

    fn take_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|bytes| bytes == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return String::from_utf8(line).ok().map(|line| line.trim().to_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads a whole message; `None` if the connection ended before its end.
    pub fn read(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        let length = message.header("content-length").and_then(|length| length.parse::<usize>().ok());
        if let Some(length) = length {
            message.body = self.take(length)?;
        } else if message.header("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(self.take_line()?.split(';').next()?, 16).ok()?;
                let bytes = self.take(size + 2)?;
                if size == 0 {
                    break;
                }
                message.body.extend_from_slice(&bytes[..size]);
            }
        }
        Some(message)
    }

    /// Returns whether the other end has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// Builds a response.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Builds a request.
pub fn request(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves connections, each with a thread of its own.
pub fn serve(address: SocketAddr, each: impl Fn(Wire) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).unwrap_or_else(|error| unable(&format!("{address}: {error}")));
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let each = Arc::clone(&each);
            thread::spawn(move || each(Wire::new(stream)));
        }
    });
}

/// Sends one request on a new connection. `None` if no whole response came in time.
pub fn call(address: SocketAddr, bytes: &[u8], wait: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let _ = stream.set_read_timeout(Some(wait));
    let mut wire = Wire::new(stream);
    wire.write(bytes).then_some(())?;
    wire.read()
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// The platform's store: linearizable reads, watches and conditional changes, as the protocol page describes them.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<StoreState>, Condvar)>);

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let store = Self::default();
        let served = store.clone();
        serve(address, move |mut wire| {
            while let Some(message) = wire.read() {
                let (status, body) = served.answer(&message);
                let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
                if !wire.write(&response(status, &headers, body.as_bytes())) {
                    return;
                }
            }
        });
        store
    }

    /// Writes an item as the operator or an engine does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.put(key, value.as_bytes().to_vec());
        self.0.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        state.items.remove(key);
        self.0.1.notify_all();
    }

    fn answer(&self, message: &Message) -> (&'static str, String) {
        let mut state = self.0.0.lock().unwrap();
        match (message.method(), message.path()) {
            ("GET", "/kv-key") => {
                let key = message.query("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => ("200 OK", item_json(&key, item)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("GET", "/kv-range") => {
                let prefix = message.query("path_prefix").unwrap_or_default();
                let after = message.query("after").unwrap_or_default();
                let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
                let revision = state.revision;
                let items = items.join(",");
                ("200 OK", format!("{{\"items\":[{items}],\"truncated\":false,\"store_revision\":{revision}}}"))
            }
            ("GET", "/kv-watch") => {
                let prefix = message.query("path_prefix").unwrap_or_default();
                let after: u64 = message.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 = message.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events = state.items.iter();
                    let events = events.filter(|(key, item)| key.starts_with(&prefix) && item.revision > after);
                    let events: Vec<String> = events.map(|(key, item)| item_json(key, item)).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let revision = state.revision;
                        let events = events.join(",");
                        return ("200 OK", format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"));
                    }
                    state = self.0.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let Some(change) = Json::parse(&message.body) else {
                    return ("400 Bad Request", "{}".to_owned());
                };
                let expected = change.get("expect").list();
                let is_changed = |row: &Json| {
                    let present = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
                    row.get("revision").number() != Some(present as f64)
                };
                if expected.iter().any(is_changed) {
                    let present = expected.iter().filter_map(|row| {
                        let key = row.get("key").text();
                        state.items.get(key).map(|item| item_json(key, item))
                    });
                    let items = present.collect::<Vec<_>>().join(",");
                    return ("412 Precondition Failed", format!("{{\"items\":[{items}]}}"));
                }
                for key in change.get("remove").list() {
                    state.items.remove(key.text());
                }
                state.revision += 1;
                for put in change.get("puts").list() {
                    let value = unbase64(put.get("value").text());
                    let revision = state.revision;
                    state.insert(put.get("key").text(), value, revision);
                }
                self.0.1.notify_all();
                ("200 OK", format!("{{\"revision\":{}}}", state.revision))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

impl StoreState {
    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        let revision = self.revision;
        self.insert(key, value, revision);
    }

    fn insert(&mut self, key: &str, value: Vec<u8>, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created });
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let (value, revision, created) = (base64(&item.value), item.revision, item.created);
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created_rev\":{created},\"lease\":0}}")
}

fn unbase64(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|byte| BASE64.iter().position(|digit| *digit == byte));
    let digits: Vec<u32> = digits.map(|digit| digit as u32).collect();
    let mut bytes = Vec::new();
    for chunk in digits.chunks(4) {
        let word = chunk.iter().fold(0, |word, digit| (word << 6) | digit) << (6 * (4 - chunk.len()));
        bytes.extend((0..chunk.len() - 1).map(|index| (word >> (16 - 8 * index)) as u8));
    }
    bytes
}

// ---------------------------------------------------------------- the deployment

/// The loopback addresses of one run: one address for each machine, the same ports on all of them.
pub struct Block {
    second: u8,
    third: u8,
    port: u16,
}

pub const FRONT: u16 = 20;
pub const READY: u16 = 21;
pub const ENGINE: u16 = 22;
pub const STORE: u16 = 24;

impl Block {
    /// Draws addresses whose ports are free on the first machines.
    pub fn draw() -> Self {
        let mut seed = unix_ms() ^ (u64::from(std::process::id()) << 20);
        for _ in 0..100 {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let block = Self {
                second: (seed >> 40) as u8 % 250 + 2,
                third: (seed >> 48) as u8 % 250 + 2,
                port: 20_000 + ((seed >> 33) % 10_000) as u16,
            };
            let is_free = (1..12).all(|machine| {
                let ports = [0, 15, FRONT, READY, ENGINE, STORE];
                let tcp = ports.iter().all(|port| TcpListener::bind(block.at(machine, *port)).is_ok());
                tcp && UdpSocket::bind(block.at(machine, 0)).is_ok()
            });
            if is_free {
                return block;
            }
        }
        unable("no free loopback ports");
    }

    pub fn ip(&self, machine: u8) -> String {
        format!("127.{}.{}.{machine}", self.second, self.third)
    }

    pub fn at(&self, machine: u8, port: u16) -> SocketAddr {
        format!("{}:{}", self.ip(machine), self.port + port).parse().unwrap()
    }
}

/// A program of the project, which is killed at the end.
pub struct Process {
    id: u32,
}

impl Drop for Process {
    fn drop(&mut self) {
        end_processes(|child| child.id() == self.id);
    }
}

/// The folder of settings and logs of a run, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("oatpier-review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| unable(&format!("no temporary folder: {error}")));
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// The bounds of the site's sheet.
const BOUNDS: &str = "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\n\
    catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\nrollback_slack_ms = 250\n\
    max_stretch_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 56\nrecover_s = 12\n\
    pass_ms = 120\nretry_after_s = 0\nrequire_fencing = false\nlease_ms = 3000\nthaw_ms = 300\n\
    ceiling_window_s = 5\nceiling_overage = 1.1\n";

/// Writes the settings file of a role in the platform's format.
pub fn write_settings(role: &str, block: &Block, machine: u8, store: SocketAddr, extra: &str, folder: &Folder) -> PathBuf {
    let ip = block.ip(machine);
    let (class, memory) = if role == "gateway" { ("front", 260) } else { ("side", 192) };
    let listen = if role == "gateway" {
        format!("[listen]\nfront = \"{}\"\nreadiness = \"{}\"\n", block.at(machine, FRONT), block.at(machine, READY))
    } else {
        "[listen]\n".to_owned()
    };
    let text = format!(
        "node_name = \"{class}-ikeja-{machine}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\n\
         serves = [\"{class}\"]\nip = \"{ip}\"\nzone = \"ikeja\"\nregion = \"lagos\"\nport_range = [{}, {}]\n\
         seeds = []\nbootstrap = true\ncounts_toward = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
         heartbeat_ms = 1200\n{extra}[zones]\nikeja = \"lagos\"\n{listen}[limits]\ncpu_share = 1.0\ncores = 1\n\
         memory_mb = {memory}\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n{BOUNDS}[provider]\n\
         address = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n\
         value_bytes = 1048576\nttl_min_ms = 1000\n",
        block.port,
        block.port + 15,
    );
    let settings = folder.0.join(format!("{role}-{machine}.toml"));
    let draft = folder.0.join(format!("{role}-{machine}.draft"));
    let is_written = std::fs::write(&draft, text).and_then(|()| std::fs::rename(&draft, &settings));
    is_written.unwrap_or_else(|error| unable(&format!("no settings file: {error}")));
    settings
}

/// Starts a role of the deploy file.
pub fn start_role(role: &str, block: &Block, machine: u8, store: SocketAddr, extra: &str, folder: &Folder) -> Process {
    let settings = write_settings(role, block, machine, store, extra, folder);
    let log = File::create(folder.0.join(format!("{role}-{machine}.log")));
    let log = log.unwrap_or_else(|error| unable(&format!("no log: {error}")));
    let mut command = Command::new("target/release/oatpierd");
    command.arg(role).env_clear().env("OATPIER_NODE_FILE", &settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = std::env::var(name) {
            command.env(name, value);
        }
    }
    let errors = log.try_clone().unwrap_or_else(|error| unable(&error.to_string()));
    command.stdin(Stdio::null()).stdout(log).stderr(errors);
    let child = command.spawn().unwrap_or_else(|error| unable(&format!("the daemon: {error}")));
    let id = child.id();
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner).push(child);
    Process { id }
}

/// Waits until a gateway says that it is ready.
pub fn await_ready(address: SocketAddr) {
    let question = request("GET", "/ready", &[("Host", "platform".to_owned())], b"");
    for _ in 0..100 {
        let answer = call(address, &question, Duration::from_secs(1));
        if answer.is_some_and(|answer| answer.status() == 200) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    unable("a gateway did not become ready");
}
