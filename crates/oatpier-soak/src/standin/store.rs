//! A stand-in for the platform's store, with the calls that oatpier makes: reads of all items, and changes with and
//! without a condition. The store can also be restored from a copy that is some seconds old.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{HeaderValue, Method, Request, StatusCode};
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::RequestHandler;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Time after which an endpoint's entry expires if the endpoint doesn't write it again: three of its heartbeats.
const ENTRY_TTL: Duration = Duration::from_millis(1_200);

/// How the store responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// Responds normally.
    Up,
    /// Sends no response. Endpoints can't write either, so their entries expire.
    Silent,
    /// Rejects calls as overloaded.
    Busy,
    /// Responds after a delay.
    Slow(Duration),
    /// Sends a malformed response.
    Broken,
}

#[derive(Debug)]
struct StoreEntry {
    value: String,
    revision: u64,
    written: Instant,
}

/// The entries that oatpier wrote: values in base64, each with the revision of its last change.
type WrittenEntries = BTreeMap<String, (Value, u64)>;

/// A copy of the store's state at an earlier time.
#[derive(Debug)]
struct StoreCopy {
    made: Instant,
    revision: u64,
    written: WrittenEntries,
}

/// How long copies are kept.
const COPY_RETENTION: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct StoreState {
    mode: StoreMode,
    revision: u64,
    /// Increases with each restore from an older copy.
    era: u64,
    config: Option<(String, u64)>,
    entries: BTreeMap<String, StoreEntry>,
    written: WrittenEntries,
    copies: VecDeque<StoreCopy>,
}

impl StoreState {
    fn save_copy(&mut self) {
        let copy = StoreCopy {
            made: Instant::now(),
            revision: self.revision,
            written: self.written.clone(),
        };
        self.copies.push_back(copy);
        let is_old = |copy: &StoreCopy| copy.made.elapsed() > COPY_RETENTION;
        while self.copies.len() > 1 && self.copies.front().is_some_and(is_old) {
            self.copies.pop_front();
        }
    }

    /// Returns the revision of a key's last change, or 0 if there is no such key.
    fn revision_of(&self, key: &str) -> u64 {
        self.written.get(key).map_or(0, |(_, revision)| *revision)
    }
}

/// An entrance to the store. Clones share it.
#[derive(Debug, Clone)]
pub struct StoreStandin {
    state: Arc<Mutex<StoreState>>,
    /// The status with which this entrance rejects all calls, if it does.
    refusal: Arc<Mutex<Option<StatusCode>>>,
}

impl Default for StoreStandin {
    fn default() -> Self {
        let state = StoreState {
            mode: StoreMode::Up,
            revision: 0,
            era: 1,
            config: None,
            entries: BTreeMap::new(),
            written: BTreeMap::new(),
            copies: VecDeque::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            refusal: Arc::default(),
        }
    }
}

impl StoreStandin {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns another entrance to the same store, which rejects calls independently of this one.
    #[must_use]
    pub fn new_entrance(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
            refusal: Arc::default(),
        }
    }

    /// Sets the status with which this entrance rejects all calls; none to accept them.
    pub fn set_refusal(&self, refusal: Option<StatusCode>) {
        *self.refusal.lock().unwrap_or_else(PoisonError::into_inner) = refusal;
    }

    /// Sets how the store responds.
    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
    }

    /// Restores the store from a copy of at least this age.
    ///
    /// Entries of endpoints and the operator's configuration stay, as if they were written again at once. Changes that
    /// oatpier wrote after the copy are lost, and their revisions are assigned again.
    pub fn restore_copy(&self, age: Duration) {
        let mut state = self.lock();
        let copies = state.copies.iter().rev();
        let copy = copies.clone().find(|copy| copy.made.elapsed() >= age);
        let (revision, written) = copy.map_or_else(
            || (0, WrittenEntries::new()),
            |copy| (copy.revision, copy.written.clone()),
        );
        state.revision = revision;
        state.written = written;
        state.copies.clear();
        state.era += 1;
    }

    /// Writes a configuration, as the operator does.
    pub fn configure(&self, config: &Value) {
        let mut state = self.lock();
        state.revision += 1;
        state.config = Some((config.to_string(), state.revision));
    }

    /// Writes or removes an endpoint's entry. Returns false, and does nothing, while the store is unavailable.
    #[must_use]
    pub fn register(&self, name: &str, entry: Option<&Value>) -> bool {
        let mut state = self.lock();
        if !matches!(state.mode, StoreMode::Up | StoreMode::Slow(_)) {
            return false;
        }
        state.revision += 1;
        let revision = state.revision;
        let Some(entry) = entry else {
            state.entries.remove(name);
            return true;
        };
        let entry = StoreEntry {
            value: entry.to_string(),
            revision,
            written: Instant::now(),
        };
        state.entries.insert(name.to_owned(), entry);
        true
    }

    fn items(&self) -> Value {
        let mut state = self.lock();
        state
            .entries
            .retain(|_, entry| entry.written.elapsed() < ENTRY_TTL);
        let config = state.config.iter().map(|(value, revision)| {
            json!({"key": "op/config", "value": STANDARD.encode(value), "revision": revision})
        });
        let entries = state.entries.iter().map(|(name, entry)| {
            let value = STANDARD.encode(&entry.value);
            json!({"key": format!("servers/{name}"), "value": value, "revision": entry.revision})
        });
        let written = state.written.iter().map(
            |(key, (value, revision))| json!({"key": key, "value": value, "revision": revision}),
        );
        let items: Vec<Value> = config.chain(entries).chain(written).collect();
        json!({"items": items, "truncated": false, "store_revision": state.revision})
    }

    fn change(&self, body: &[u8]) -> Reply {
        let Ok(change) = serde_json::from_slice::<Value>(body) else {
            return reply::text(StatusCode::BAD_REQUEST, "");
        };
        let mut state = self.lock();
        let rows = |name: &str| change[name].as_array().cloned().unwrap_or_default();
        let is_changed = |row: &Value| {
            let key = row["key"].as_str().unwrap_or_default();
            state.revision_of(key) != row["revision"].as_u64().unwrap_or_default()
        };
        if rows("expect").iter().any(is_changed) {
            return conflict_response(&state, &rows("expect"));
        }
        state.save_copy();
        state.revision += 1;
        let revision = state.revision;
        for put in rows("puts") {
            let key = put["key"].as_str().unwrap_or_default().to_owned();
            state.written.insert(key, (put["value"].clone(), revision));
        }
        for key in rows("remove") {
            state.written.remove(key.as_str().unwrap_or_default());
        }
        let response = json!({"revision": revision});
        reply::whole(StatusCode::OK, "application/json", response.to_string())
    }

    async fn respond(&self, request: Request<Bytes>) -> Reply {
        let refusal = *self.refusal.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(status) = refusal {
            return reply::text(status, "");
        }
        let mut response = self.response_without_era(request).await;
        let era = HeaderValue::from(self.lock().era);
        response.headers_mut().insert("store-era", era);
        response
    }

    async fn response_without_era(&self, request: Request<Bytes>) -> Reply {
        let mode = self.lock().mode;
        match mode {
            StoreMode::Up => {}
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Busy => return reply::text(StatusCode::SERVICE_UNAVAILABLE, "busy\n"),
            StoreMode::Slow(delay) => tokio::time::sleep(delay).await,
            StoreMode::Broken => return reply::text(StatusCode::OK, "{\"items\": [{\"key\""),
        }
        if request.method() == Method::POST {
            return self.change(request.body());
        }
        reply::whole(StatusCode::OK, "application/json", self.items().to_string())
    }
}

/// Returns the response to a change whose condition fails: the present values of the expected keys.
fn conflict_response(state: &StoreState, expected: &[Value]) -> Reply {
    let keys = expected.iter().filter_map(|row| row["key"].as_str());
    let present = keys.filter_map(|key| {
        let (value, revision) = state.written.get(key)?;
        Some(json!({"key": key, "value": value, "revision": revision}))
    });
    let response = json!({"items": present.collect::<Vec<Value>>()});
    reply::whole(
        StatusCode::PRECONDITION_FAILED,
        "application/json",
        response.to_string(),
    )
}

impl RequestHandler for StoreStandin {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        self.respond(request).boxed()
    }
}
