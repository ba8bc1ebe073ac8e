//! The platform's store, as far as oatpier calls it: reads of everything, and changes without a condition.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::RequestHandler;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Entries of endpoints that do not write for this long lapse: three of their heartbeats.
const ENTRY_LIFE: Duration = Duration::from_millis(1_200);

/// What the store does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers.
    Up,
    /// It answers nothing, and endpoints can't write: their entries lapse.
    Silent,
    /// It turns calls away.
    Busy,
    /// It answers late.
    Slow(Duration),
    /// It answers what is no answer.
    Broken,
}

#[derive(Debug)]
struct StoreEntry {
    value: String,
    revision: u64,
    written: Instant,
}

#[derive(Debug)]
struct StoreState {
    mode: StoreMode,
    revision: u64,
    config: Option<(String, u64)>,
    entries: BTreeMap<String, StoreEntry>,
    /// What oatpier wrote: values in base64, and the revisions of their last change.
    written: BTreeMap<String, (Value, u64)>,
}

/// The store. Cloning shares it.
#[derive(Debug, Clone)]
pub struct StoreStandin {
    state: Arc<Mutex<StoreState>>,
}

impl Default for StoreStandin {
    fn default() -> Self {
        let state = StoreState {
            mode: StoreMode::Up,
            revision: 0,
            config: None,
            entries: BTreeMap::new(),
            written: BTreeMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }
}

impl StoreStandin {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what it does.
    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
    }

    /// The operator writes a configuration.
    pub fn configure(&self, config: &Value) {
        let mut state = self.lock();
        state.revision += 1;
        state.config = Some((config.to_string(), state.revision));
    }

    /// An endpoint writes its entry, or takes it back. Neither works while the store is away.
    pub fn register(&self, name: &str, entry: Option<&Value>) {
        let mut state = self.lock();
        if !matches!(state.mode, StoreMode::Up | StoreMode::Slow(_)) {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let Some(entry) = entry else {
            state.entries.remove(name);
            return;
        };
        let entry = StoreEntry {
            value: entry.to_string(),
            revision,
            written: Instant::now(),
        };
        state.entries.insert(name.to_owned(), entry);
    }

    fn items(&self) -> Value {
        let mut state = self.lock();
        state
            .entries
            .retain(|_, entry| entry.written.elapsed() < ENTRY_LIFE);
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
        state.revision += 1;
        let revision = state.revision;
        let rows = |name: &str| change[name].as_array().cloned().unwrap_or_default();
        for put in rows("puts") {
            let key = put["key"].as_str().unwrap_or_default().to_owned();
            state.written.insert(key, (put["value"].clone(), revision));
        }
        for key in rows("remove") {
            state.written.remove(key.as_str().unwrap_or_default());
        }
        let answer = json!({"revision": revision});
        reply::whole(StatusCode::OK, "application/json", answer.to_string())
    }

    async fn answer(&self, request: Request<Bytes>) -> Reply {
        let mode = self.lock().mode;
        match mode {
            StoreMode::Up => {}
            StoreMode::Silent => std::future::pending().await,
            StoreMode::Busy => return reply::text(StatusCode::SERVICE_UNAVAILABLE, "busy\n"),
            StoreMode::Slow(late) => tokio::time::sleep(late).await,
            StoreMode::Broken => return reply::text(StatusCode::OK, "{\"items\": [{\"key\""),
        }
        if request.method() == Method::POST {
            return self.change(request.body());
        }
        reply::whole(StatusCode::OK, "application/json", self.items().to_string())
    }
}

impl RequestHandler for StoreStandin {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        self.answer(request).boxed()
    }
}
