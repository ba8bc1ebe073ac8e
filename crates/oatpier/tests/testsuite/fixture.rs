//! A stand-in store and entry to run the binary against, and a configuration for it.

use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::JoinHandle;

use futures::FutureExt;
use futures::future::BoxFuture;
use oatpier_standin::serve::{Answer, BufferedRequest, RequestHandler, json, not_found, start};
use oatpier_standin::store::{LocalStore, StoreFaults, start_store};
use serde_json::Value;
use tempfile::TempDir;
use tokio::sync::oneshot;

/// A small valid configuration.
pub const SMALL_CONFIG: &str = r#"
[weight_store]
loads_per_second = 3.0
full_speed_loads = 4

[region.lagos]
zones = ["ikeja", "lekki"]

[class.drafting]
first_token = "320ms"
between_tokens = "33ms"
attain = 0.95

[pool.seat-llm]
kind = "engine"
accelerators = 1
memory_mib = 1000
slots = 16
checks_order_numbers = true

[[pool.seat-llm.group]]
zone = "ikeja"
prefix = "seat-llm-ikeja-"
count = 2

[[pool.seat-llm.group]]
zone = "lekki"
prefix = "seat-llm-lekki-"
count = 1

[model.tables]
pool = "seat-llm"
version = "2026-11"
memory_mib = 400
class = "drafting"

[model.halls]
pool = "seat-llm"
version = "2026-11"
memory_mib = 300
class = "drafting"
"#;

/// A stand-in entry with canned answers.
#[derive(Default)]
pub struct FakeEntry {
    answers: Mutex<HashMap<String, Value>>,
    /// The paths of the answers that are given once.
    single: Mutex<HashSet<String>>,
}

impl FakeEntry {
    /// Sets the answer to requests for `path`.
    pub fn answer(&self, path: &str, value: Value) {
        let mut answers = self.answers.lock().unwrap();
        answers.insert(path.to_owned(), value);
    }

    /// Sets the answer to the next request for `path`. Later ones are answered with 404.
    pub fn answer_once(&self, path: &str, value: Value) {
        self.single.lock().unwrap().insert(path.to_owned());
        self.answer(path, value);
    }

    fn take_answer(&self, path: &str) -> Option<Value> {
        let mut answers = self.answers.lock().unwrap();
        if self.single.lock().unwrap().contains(path) {
            answers.remove(path)
        } else {
            answers.get(path).cloned()
        }
    }
}

impl RequestHandler for FakeEntry {
    fn handle(self: Arc<Self>, request: BufferedRequest) -> BoxFuture<'static, Answer> {
        let found = self.take_answer(&request.path);
        let answer = found.map_or_else(not_found, |value| json(http::StatusCode::OK, &value));
        async move { Ok(answer) }.boxed()
    }
}

/// A store and an entry on a separate thread, and a folder with settings that point to them.
pub struct Platform {
    pub folder: TempDir,
    pub store: Arc<LocalStore>,
    pub entry: Arc<FakeEntry>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// The exit code and output of a run of the binary.
pub struct CommandRun {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CommandRun {
    /// Parses the JSON document on stdout.
    pub fn document(&self) -> Value {
        serde_json::from_str(&self.stdout)
            .unwrap_or_else(|error| panic!("{error} in {:?}; stderr: {}", self.stdout, self.stderr))
    }
}

impl Platform {
    /// Starts an empty store, and an entry without answers.
    pub fn start() -> Self {
        let (sender, receiver) = mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let entry = Arc::new(FakeEntry::default());
        let handler = Arc::clone(&entry);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let any_port = "127.0.0.1:0".parse().unwrap();
                let store = start_store(any_port).await.unwrap();
                let entry = start(any_port, handler).await.unwrap();
                let addresses = (store.address, entry.address, Arc::clone(&store.handle));
                sender.send(addresses).unwrap();
                let _ = stopped.await;
            });
        });
        let (store_address, entry_address, store) = receiver.recv().unwrap();
        let platform = Self {
            folder: tempfile::tempdir().unwrap(),
            store,
            entry,
            stop: Some(stop),
            thread: Some(thread),
        };
        let settings = format!(
            "operator = \"ada\"\nstore = \"{store_address}\"\nentries = [\"{entry_address}\"]\n"
        );
        platform.write("oatpier.toml", &settings);
        platform
    }

    /// Sets the store's fault switches.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.store.set_faults(faults);
    }

    /// Writes a file into the folder.
    pub fn write(&self, file: &str, text: &str) {
        std::fs::write(self.folder.path().join(file), text).unwrap();
    }

    /// Runs the binary in the folder.
    pub fn run(&self, args: &[&str]) -> CommandRun {
        run_in(self.folder.path(), args)
    }

    /// Runs the binary in the folder, and panics if it fails.
    pub fn run_ok(&self, args: &[&str]) -> CommandRun {
        let run = self.run(args);
        assert_eq!(run.code, 0, "{}", run.stderr);
        run
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Runs the binary in a folder.
pub fn run_in(folder: &Path, args: &[&str]) -> CommandRun {
    let output = Command::new(env!("CARGO_BIN_EXE_oatpier"))
        .args(args)
        .current_dir(folder)
        .env("NO_COLOR", "1")
        .stdin(Stdio::null())
        .output()
        .unwrap();
    CommandRun {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}
