//! Settings files of processes, and the operator's configuration.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::weights::{ADAPTER_MB, MEMORY_MB, MODEL_MB, PLACES};

/// The variable that holds the path of a process's settings file.
pub const SETTINGS_VARIABLE: &str = "OATPIER_NODE_FILE";

/// The service of the engines, and the plain one.
pub const ENGINES: &str = "drafts";
/// See [`ENGINES`].
pub const PLAIN: &str = "lookups";

/// The host that callers name.
pub const HOST: &str = "soak.example";

/// The longest that the operator wants a request kept waiting, in milliseconds.
pub const TIMEOUT_MS: u64 = 4_000;

/// Loads from the weight store a second, over all engines.
pub const LOADS_PER_S: f64 = 2.0;

/// A workspace without a limit, one with [`LIMIT`], and the key of nobody.
pub const FREE_KEY: &str = "free-1f0c";
/// See [`FREE_KEY`].
pub const LIMITED_KEY: &str = "limited-77ab";
/// See [`FREE_KEY`].
pub const UNKNOWN_KEY: &str = "nobody-e001";

/// Tokens that a stream counts as, and a request without tokens.
pub const STREAM_TOKENS: (u64, u64) = (200, 40);
/// See [`STREAM_TOKENS`].
pub const PLAIN_TOKENS: u64 = 30;

/// The limit of the limited workspace, and how strictly it is judged.
#[derive(Debug, Clone, Copy)]
pub struct WorkspaceLimit {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
    /// The window that is judged, in seconds.
    pub window_s: f64,
    /// How far a window may be over the limit, as a share.
    pub overage: f64,
    /// And by how many tokens beside that.
    pub slack: f64,
}

/// Callers ask for several times this.
pub const LIMIT: WorkspaceLimit = WorkspaceLimit {
    rate: 1_500,
    burst: 1_500,
    window_s: 4.0,
    overage: 0.1,
    slack: 900.0,
};

/// The workspace that holds a key; none for the key of nobody.
#[must_use]
pub fn workspace_of(key: &str) -> Option<&'static str> {
    match key {
        FREE_KEY => Some("free"),
        LIMITED_KEY => Some("limited"),
        _ => None,
    }
}

/// What a process's settings file says.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// Its name.
    pub name: String,
    /// Its VM's address.
    pub ip: std::net::IpAddr,
    /// Its availability zone.
    pub zone: &'static str,
    /// The first port of the range for traffic between processes.
    pub inner_port: u16,
    /// Where callers connect, and where readiness is asked for; none for a sidecar.
    pub callers: Option<(SocketAddr, SocketAddr)>,
    /// The engine; none for a gateway.
    pub engine: Option<SocketAddr>,
    /// The store.
    pub store: SocketAddr,
    /// Whether the fleet starts for the first time.
    pub first_start: bool,
}

impl ProcessSettings {
    /// The file's text.
    #[must_use]
    pub fn text(&self) -> String {
        let listen = self.callers.map_or(String::new(), |(front, readiness)| {
            format!("[listen]\nfront = \"{front}\"\nreadiness = \"{readiness}\"\n")
        });
        let engine = self.engine.map_or(String::new(), |engine| {
            format!("app = \"{engine}\"\nservice = \"{ENGINES}\"\n")
        });
        format!(
            "node_name = \"{}\"\nip = \"{}\"\nzone = \"{}\"\nport_range = [{}, {}]\n\
             bootstrap = {}\n{engine}{listen}[bounds]\ndrain_ms = 2000\ngrace_s = 8\n\
             config_ms = 2000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 56\n\
             ceiling_window_s = 5\nceiling_overage = 1.1\nquota_window_s = {}\n\
             quota_overage = {}\nquota_slack = {}\n[provider]\naddress = \"{}\"\n",
            self.name,
            self.ip,
            self.zone,
            self.inner_port,
            self.inner_port + 15,
            self.first_start,
            LIMIT.window_s,
            LIMIT.overage,
            LIMIT.slack,
            self.store,
        )
    }
}

/// A version of the configuration. Odd versions drop a route that nobody uses, so that two in a row
/// differ.
#[must_use]
pub fn config(version: u64, models: &[String]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, resumable: bool| {
        json!({
            "name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": TIMEOUT_MS, "target_latency_ms": 400, "priority": 0,
            "service": service, "max_attempts": 2, "resumable": resumable, "gap_aim_ms": 150,
        })
    };
    let mut routes = vec![
        route("r-safe", "/safe/", "safe", PLAIN, false),
        route("r-unsafe", "/unsafe/", "unsafe", PLAIN, false),
        route("r-stream", "/stream/", "streaming", ENGINES, false),
        route("r-resume", "/stream-resume/", "streaming", ENGINES, true),
    ];
    if version.is_multiple_of(2) {
        routes.push(route("r-extra", "/extra/", "safe", PLAIN, false));
    }
    let models: Vec<Value> = models
        .iter()
        .map(|name| {
            json!({
                "name": name, "size_mb": MODEL_MB, "load_s": 0.5, "adapters": 4,
                "adapter_mb": ADAPTER_MB, "warm_s": 0.08, "disk_s": 0.08,
            })
        })
        .collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": ENGINES, "health_path": "/health", "max_connections": 200, "engine": {
                "slots": 8, "kv_capacity": 90_000, "size_mb": MEMORY_MB,
                "adapter_slots": PLACES, "loads_per_s": LOADS_PER_S, "models": models,
            }},
            {"name": PLAIN, "health_path": "/health", "max_connections": 200},
        ],
        "tenants": [
            {"name": "free", "api_keys": [FREE_KEY]},
            {"name": "limited", "api_keys": ["spare-0001", LIMITED_KEY], "unit": "tokens",
             "plain_tokens": PLAIN_TOKENS, "rate_per_s": LIMIT.rate, "burst": LIMIT.burst},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536,
                   "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    })
}
