//! The processes of a case, their addresses, and the record of what happened.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::store::Store;

/// Port offsets of an address block. The first sixteen ports are those between the project's processes.
const FRONT: u16 = 20;
const READINESS: u16 = 21;
const APP: u16 = 22;
const STORE: u16 = 23;

/// The last number of the store's address.
const STORE_HOST: u8 = 250;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The record of a run: one line for each event, with the time since the start.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn write(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// The loopback addresses of one run.
#[derive(Debug, Clone, Copy)]
pub struct Block {
    second: u8,
    third: u8,
    port: u16,
}

impl Block {
    /// Draws a block whose ports are free.
    pub fn draw() -> Self {
        let mut seed = now_ms() ^ (u64::from(std::process::id()) << 20);
        loop {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let block = Self {
                second: 1 + (seed >> 33) as u8 % 250,
                third: 1 + (seed >> 41) as u8 % 250,
                port: 20_000 + (seed >> 48) as u16 % 9_000,
            };
            let probes = [block.store(), block.front(1), block.app(1)];
            if probes
                .iter()
                .all(|address| TcpListener::bind(address).is_ok())
            {
                return block;
            }
        }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, host)
    }

    fn address(&self, host: u8, offset: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(host)), self.port + offset)
    }

    pub fn front(&self, host: u8) -> SocketAddr {
        self.address(host, FRONT)
    }

    pub fn readiness(&self, host: u8) -> SocketAddr {
        self.address(host, READINESS)
    }

    pub fn app(&self, host: u8) -> SocketAddr {
        self.address(host, APP)
    }

    pub fn store(&self) -> SocketAddr {
        self.address(STORE_HOST, STORE)
    }
}

/// The kind of a process of the project.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Gateway,
    Sidecar,
}

/// A process of the project, which is killed when it is dropped.
pub struct Process {
    pub name: String,
    child: Child,
    world: World,
}

impl Process {
    /// Sends a signal.
    pub fn signal(&self, signal: i32) {
        let Ok(id) = i32::try_from(self.child.id()) else {
            return;
        };
        // SAFETY: `kill` only takes two numbers; the process is a child that was not waited for.
        unsafe { kill(id, signal) };
        self.world
            .record
            .write(&format!("signal {signal} to {}", self.name));
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn kill(&mut self) {
        self.end();
        self.world.record.write(&format!("{} is killed", self.name));
    }
}

impl Process {
    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        self.world
            .running
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|other| *other != id);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// What all parts of a case share. Clones share it.
#[derive(Debug, Clone)]
pub struct World {
    pub record: Record,
    pub block: Block,
    pub store: Store,
    folder: PathBuf,
    daemon: PathBuf,
    /// Whether the reader of the processes' output stands still.
    pub is_log_stopped: Arc<AtomicBool>,
    /// The processes that run, by their ids.
    running: Arc<Mutex<Vec<u32>>>,
}

impl World {
    /// Starts the store and makes a folder for settings and logs.
    pub fn start(record: Record, daemon: &Path, folder: &Path) -> std::io::Result<Self> {
        let block = Block::draw();
        let store = Store::default();
        store.serve(block.store())?;
        Ok(Self {
            record,
            block,
            store,
            folder: folder.to_owned(),
            daemon: daemon.to_owned(),
            is_log_stopped: Arc::default(),
            running: Arc::default(),
        })
    }

    /// Starts a process with the command of the deploy file.
    pub fn start_process(
        &self,
        role: Role,
        host: u8,
        zone: &str,
        is_first: bool,
    ) -> std::io::Result<Process> {
        let (word, class) = match role {
            Role::Gateway => ("gateway", "front"),
            Role::Sidecar => ("sidecar", "side"),
        };
        let name = format!("{class}-{zone}-{host}");
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, self.settings(role, &name, host, zone, is_first))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let mut child = Command::new(&self.daemon)
            .arg(word)
            .env("OATPIER_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone()?)
            .spawn()?;
        if let Some(output) = child.stdout.take() {
            let is_stopped = Arc::clone(&self.is_log_stopped);
            thread::spawn(move || collect_log(output, log, &is_stopped));
        }
        self.running
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(child.id());
        self.record.write(&format!("{name} is started as {word}"));
        Ok(Process {
            name,
            child,
            world: self.clone(),
        })
    }

    fn settings(&self, role: Role, name: &str, host: u8, zone: &str, is_first: bool) -> String {
        let (block, ip) = (self.block, self.block.ip(host));
        let (class, cpu, memory, listen, app) = match role {
            Role::Gateway => {
                let listen = format!(
                    "front = \"{}\"\nreadiness = \"{}\"\n",
                    block.front(host),
                    block.readiness(host)
                );
                ("front", "0.19", "260", listen, String::new())
            }
            Role::Sidecar => {
                let app = format!("app = \"{}\"\nservice = \"seat-llm\"\n", block.app(host));
                ("side", "0.2", "192", String::new(), app)
            }
        };
        format!(
            "node_name = \"{name}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\nserves = [\"{class}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"lagos\"\nport_range = [{}, {}]\nseeds = []\n\
             bootstrap = {is_first}\ncounts_toward = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeat_ms = 1200\n{app}[zones]\nikeja = \"lagos\"\nlekki = \"lagos\"\n[listen]\n{listen}\
             [limits]\ncpu_share = {cpu}\ncores = 1\nmemory_mb = {memory}\nmax_fds = 4100\nlink_mbps = 1000.0\n\
             disk_mb = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\n\
             rollback_slack_ms = 250\nmax_stretch_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
             budget_slack = 56\nrecover_s = 12\npass_ms = 120\nretry_after_s = 0\nrequire_fencing = false\n\
             lease_ms = 3000\nthaw_ms = 300\nceiling_window_s = 5\nceiling_overage = 1.1\n\
             [provider]\naddress = \"{}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
             history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            block.port,
            block.port + 15,
            block.store(),
        )
    }

    /// Kills the processes that still run.
    pub fn end_all(&self) {
        let ids = std::mem::take(&mut *self.running.lock().unwrap_or_else(PoisonError::into_inner));
        for id in ids.into_iter().filter_map(|id| i32::try_from(id).ok()) {
            // SAFETY: `kill` only takes two numbers; the process is a child that was not waited for.
            unsafe { kill(id, 9) };
        }
    }

    /// Waits until the gateway says that it is ready. Returns whether it did within the time.
    pub fn await_ready(&self, host: u8, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let text = "GET /ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n";
            let answer =
                crate::http::call(self.block.readiness(host), text, Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.head.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Reads the output of a process and writes it to a file, as a collector of logs does.
fn collect_log(mut output: impl Read, mut log: File, is_stopped: &AtomicBool) {
    let mut buffer = [0; 4096];
    loop {
        if is_stopped.load(Ordering::SeqCst) {
            sleep_ms(20);
            continue;
        }
        match output.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) => {
                let _ = log.write_all(&buffer[..length]);
            }
        }
    }
}

/// Returns the time of day in milliseconds.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}
