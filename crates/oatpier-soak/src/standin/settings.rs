//! Builds the settings files of processes and the operator's configuration.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::weights::{ADAPTER_MB, ADAPTER_SLOTS, MEMORY_MB, MODEL_MB};

/// The environment variable that holds the path of a process's settings file.
pub const SETTINGS_VARIABLE: &str = "OATPIER_NODE_FILE";

/// The service of the engines.
pub const ENGINE_SERVICE: &str = "drafts";
/// The plain service, which has no engines.
pub const PLAIN_SERVICE: &str = "lookups";

/// The host that callers send in their requests.
pub const HOST: &str = "soak.example";

/// The timeout of each route, which is the longest that a request may wait, in milliseconds.
pub const TIMEOUT_MS: u64 = 4_000;

/// The allowed rate of loads from the weight store, in loads per second over all engines.
pub const LOADS_PER_S: f64 = 2.0;

/// The key of a workspace without a limit.
pub const FREE_KEY: &str = "free-1f0c";
/// The key of the workspace with the limit [`WORKSPACE_LIMIT`].
pub const LIMITED_KEY: &str = "limited-77ab";
/// A key that no workspace owns.
pub const UNKNOWN_KEY: &str = "nobody-e001";

/// The prompt and output tokens that a stream counts as.
pub const STREAM_TOKENS: (u64, u64) = (200, 40);
/// The tokens that a request without token counts is charged.
pub const PLAIN_TOKENS: u64 = 30;

/// The rate limit of a workspace, and the tolerance of its check.
#[derive(Debug, Clone, Copy)]
pub struct WorkspaceLimit {
    /// The rate, in tokens per second.
    pub rate: u64,
    /// The burst, in tokens.
    pub burst: u64,
    /// The window over which the limit is checked, in seconds.
    pub window_s: f64,
    /// The share by which a window may exceed the limit.
    pub overage: f64,
    /// The number of tokens allowed on top of that.
    pub slack: f64,
}

/// The limit of the limited workspace. Callers ask for several times this.
pub const WORKSPACE_LIMIT: WorkspaceLimit = WorkspaceLimit {
    rate: 1_500,
    burst: 1_500,
    window_s: 4.0,
    overage: 0.1,
    slack: 900.0,
};

/// Returns the workspace that owns a key, or `None` for a key that no workspace owns.
#[must_use]
pub fn workspace_of(key: &str) -> Option<&'static str> {
    match key {
        FREE_KEY => Some("free"),
        LIMITED_KEY => Some("limited"),
        _ => None,
    }
}

/// The contents of a process's settings file.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// The name of the process.
    pub name: String,
    /// The address of its VM.
    pub ip: std::net::IpAddr,
    /// Its availability zone.
    pub zone: &'static str,
    /// The first port of the range for traffic between processes.
    pub inner_port: u16,
    /// The addresses for callers and for readiness probes; none for a sidecar.
    pub callers: Option<(SocketAddr, SocketAddr)>,
    /// The address of the engine; none for a gateway.
    pub engine: Option<SocketAddr>,
    /// The address of the store.
    pub store: SocketAddr,
    /// Whether this is the first start, which bootstraps the fleet.
    pub is_first_start: bool,
}

impl ProcessSettings {
    /// Returns the text of the settings file.
    #[must_use]
    pub fn text(&self) -> String {
        let listen = self.callers.map_or(String::new(), |(front, readiness)| {
            format!("[listen]\nfront = \"{front}\"\nreadiness = \"{readiness}\"\n")
        });
        let engine = self.engine.map_or(String::new(), |engine| {
            format!("app = \"{engine}\"\nservice = \"{ENGINE_SERVICE}\"\n")
        });
        format!(
            "node_name = \"{}\"\nip = \"{}\"\nzone = \"{}\"\nport_range = [{}, {}]\n\
             bootstrap = {}\nheartbeat_ms = 400\n{engine}{listen}[bounds]\ndrain_ms = 2000\ngrace_s = 8\n\
             config_ms = 2000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 56\n\
             ceiling_window_s = 5\nceiling_overage = 1.1\nquota_window_s = {}\n\
             quota_overage = {}\nquota_slack = {}\n[provider]\naddress = \"{}\"\n",
            self.name,
            self.ip,
            self.zone,
            self.inner_port,
            self.inner_port + 15,
            self.is_first_start,
            WORKSPACE_LIMIT.window_s,
            WORKSPACE_LIMIT.overage,
            WORKSPACE_LIMIT.slack,
            self.store,
        )
    }
}

/// Returns a version of the configuration. Odd versions omit a route that no caller uses, so that two consecutive
/// versions differ.
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
        route("r-safe", "/safe/", "safe", PLAIN_SERVICE, false),
        route("r-unsafe", "/unsafe/", "unsafe", PLAIN_SERVICE, false),
        route("r-stream", "/stream/", "streaming", ENGINE_SERVICE, false),
        route(
            "r-resume",
            "/stream-resume/",
            "streaming",
            ENGINE_SERVICE,
            true,
        ),
    ];
    if version.is_multiple_of(2) {
        routes.push(route("r-extra", "/extra/", "safe", PLAIN_SERVICE, false));
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
            {"name": ENGINE_SERVICE, "health_path": "/health", "max_connections": 200, "engine": {
                "slots": 8, "kv_capacity": 90_000, "size_mb": MEMORY_MB,
                "adapter_slots": ADAPTER_SLOTS, "loads_per_s": LOADS_PER_S, "models": models,
            }},
            {"name": PLAIN_SERVICE, "health_path": "/health", "max_connections": 200},
        ],
        "tenants": [
            {"name": "free", "api_keys": [FREE_KEY]},
            {"name": "limited", "api_keys": ["spare-0001", LIMITED_KEY], "unit": "tokens",
             "plain_tokens": PLAIN_TOKENS, "rate_per_s": WORKSPACE_LIMIT.rate, "burst": WORKSPACE_LIMIT.burst},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 65_536,
                   "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    })
}
