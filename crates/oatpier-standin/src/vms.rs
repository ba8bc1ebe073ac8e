//! A stand-in for the platform's list of VMs, which lags.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::StatusCode;
use oatpier_ports::vms::{VmList, VmListError, VmRow};
use oatpier_types::clock::ClockTime;
use serde::{Deserialize, Serialize};

use crate::clock::StandinClock;
use crate::serve::{
    Answer, BufferedRequest, DropConnection, RequestHandler, RunningServer, empty, json, not_found,
    start,
};

/// Faults that the list injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct VmsFaults {
    /// Drops each connection without an answer.
    pub down: bool,
    /// Age of the rows that readers get, in milliseconds.
    pub lag_ms: u64,
}

#[derive(Debug, Default)]
struct VmsShared {
    faults: VmsFaults,
    /// All versions of the rows, oldest first.
    history: VecDeque<(ClockTime, Vec<VmRow>)>,
}

/// In-process list of VMs, on the runtime's clock.
#[derive(Debug)]
pub struct LocalVms {
    clock: StandinClock,
    shared: Mutex<VmsShared>,
}

impl Default for LocalVms {
    fn default() -> Self {
        Self::new()
    }
}

impl LocalVms {
    /// Creates an empty list, whose clock starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            clock: StandinClock::start(),
            shared: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, VmsShared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all rows. Readers get them one lag later, except the first rows, which they get at once.
    pub fn set_rows(&self, rows: Vec<VmRow>) {
        let now = self.clock.now();
        let mut shared = self.lock();
        let at = if shared.history.is_empty() {
            ClockTime::ZERO
        } else {
            now
        };
        shared.history.push_back((at, rows));
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: VmsFaults) {
        self.lock().faults = faults;
    }

    /// Returns the rows that a reader gets now.
    #[must_use]
    pub fn rows(&self) -> Vec<VmRow> {
        let shared = self.lock();
        let visible = self.clock.now() - Duration::from_millis(shared.faults.lag_ms);
        let mut history = shared.history.iter().rev();
        let rows = history.find(|(at, _)| *at <= visible);
        rows.map(|(_, rows)| rows.clone()).unwrap_or_default()
    }

    fn is_down(&self) -> bool {
        self.lock().faults.down
    }
}

impl VmList for LocalVms {
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmRow>, VmListError>> {
        async move {
            if self.is_down() {
                let cause = "the connection broke".to_owned();
                return Err(VmListError { cause });
            }
            Ok(self.rows())
        }
        .boxed()
    }
}

impl RequestHandler for LocalVms {
    fn handle(self: Arc<Self>, request: BufferedRequest) -> BoxFuture<'static, Answer> {
        async move { self.answer(&request) }.boxed()
    }
}

impl LocalVms {
    fn answer(&self, request: &BufferedRequest) -> Answer {
        let set = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/vms") if self.is_down() => return Err(DropConnection),
            ("GET", "/vms") => return Ok(json(StatusCode::OK, &self.rows())),
            ("POST", "/vms") => request.json().map(|rows| self.set_rows(rows)),
            ("POST", "/standin/faults") => request.json().map(|faults| self.set_faults(faults)),
            _ => return Ok(not_found()),
        };
        match set {
            Ok(()) => Ok(empty(StatusCode::NO_CONTENT)),
            Err(response) => Ok(*response),
        }
    }
}

/// Serves an empty list of VMs.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start_vms(address: SocketAddr) -> std::io::Result<RunningServer<LocalVms>> {
    start(address, Arc::new(LocalVms::new())).await
}
