//! Child processes that print the addresses that they listen on.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;

/// Timeout for a process to print its address.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two polls for the exit of a process, and the maximum number of polls.
const EXIT_POLL_PERIOD: Duration = Duration::from_millis(50);
const MAX_EXIT_POLLS: usize = 400;

/// Lines that a process has written so far.
pub type SharedLines = Arc<Mutex<Vec<String>>>;

/// A child process. Dropping it kills it.
pub struct TestProcess {
    pub child: Child,
    /// Lines of standard error so far: the log.
    pub logs: SharedLines,
    /// Lines of standard output so far: the spans of a daemon.
    pub spans: SharedLines,
    log_lines: Receiver<String>,
    span_lines: Receiver<String>,
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl TestProcess {
    pub fn start(mut command: Command) -> Self {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("failed to start {command:?}: {error}"));
        let (spans, span_lines) = collect(child.stdout.take().unwrap());
        let (logs, log_lines) = collect(child.stderr.take().unwrap());
        Self {
            child,
            logs,
            spans,
            log_lines,
            span_lines,
        }
    }

    /// Returns the address that a stand-in prints to standard output.
    pub fn standin_address(&self) -> SocketAddr {
        let line = self.span_lines.recv_timeout(START_TIMEOUT);
        let line: Value = serde_json::from_str(&line.expect("the stand-in starts")).unwrap();
        line["listening"].as_str().unwrap().parse().unwrap()
    }

    /// Returns the next address that a daemon logs.
    pub fn daemon_address(&self) -> SocketAddr {
        loop {
            let line = self.log_lines.recv_timeout(START_TIMEOUT);
            let line = line.expect("the daemon starts");
            let value: Value = serde_json::from_str(&line).unwrap_or_default();
            if value["payload"] == "listening" {
                return value["kv"]["address"].as_str().unwrap().parse().unwrap();
            }
        }
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill(Pid::from_raw(id), signal).unwrap();
    }

    /// Waits until the process exits by itself.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        for _ in 0..MAX_EXIT_POLLS {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(EXIT_POLL_PERIOD).await;
        }
        panic!("the process does not exit: {:?}", self.logs.lock().unwrap());
    }
}

fn collect(stream: impl Read + Send + 'static) -> (SharedLines, Receiver<String>) {
    let lines = SharedLines::default();
    let (sender, receiver) = mpsc::channel();
    let shared = Arc::clone(&lines);
    std::thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            shared.lock().unwrap().push(line.clone());
            let _ = sender.send(line);
        }
    });
    (lines, receiver)
}

/// Returns the path of the stand-ins' binary, an example of another package in the workspace.
pub fn standin_binary() -> PathBuf {
    built_binary("examples/standin")
}

/// Returns the path of the operators' binary, from another package in the workspace.
pub fn operator_binary() -> PathBuf {
    built_binary("oatpier")
}

/// Returns the path of a binary that another package of the workspace built in the profile folder of this test.
fn built_binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let profile = test.parent().and_then(|deps| deps.parent()).unwrap();
    let path = profile.join(name);
    assert!(
        path.exists(),
        "{} is missing; build it with `cargo build --workspace --bins --examples` and this \
         test's profile",
        path.display()
    );
    path
}
