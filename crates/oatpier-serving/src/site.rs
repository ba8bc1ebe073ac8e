//! The operator's configuration: routes, services and the models that engines may hold.

use std::sync::Arc;
use std::time::Duration;

use oatpier_types::names::{ClassName, ModelName, PoolName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::engine::LocalCopies;
use crate::workspace::WorkspaceTable;

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SiteConfig {
    /// Version number, which increases with each change, not necessarily by one.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<RouteRule>>,
    /// The services that the routes refer to.
    pub services: Vec<ServiceRule>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// The workspaces whose requests are accepted; `None` if callers need no keys.
    pub workspaces: Option<WorkspaceTable>,
}

/// The requests that belong to a class of work, and how they are served.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteRule {
    /// The class of work.
    pub name: ClassName,
    /// The host name in callers' requests.
    pub host: Arc<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// The kind of responses, and which requests may be repeated.
    pub kind: RouteKind,
    /// The maximum time that a request may wait.
    pub timeout: Duration,
    /// The target for the time to the first chunk of a response.
    pub target: Duration,
    /// Rank among the classes, 0 first.
    pub priority: u8,
    /// The services with their weights.
    pub targets: SmallVec<[WeightedService; 2]>,
    /// The maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// The kind of responses of a route, and which of its requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RouteKind {
    /// Complete responses; running a request twice does no harm.
    Safe,
    /// Complete responses; a request may run at most once.
    Unsafe,
    /// Streams of events.
    Stream {
        /// Whether an interrupted stream may be resumed at another endpoint after the last event.
        resumable: bool,
        /// The target for the maximum pause between events.
        pause: Duration,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(
            self,
            Self::Safe
                | Self::Stream {
                    resumable: true,
                    ..
                }
        )
    }

    /// Returns whether an interrupted stream may be resumed.
    #[must_use]
    pub fn is_resumable(self) -> bool {
        matches!(
            self,
            Self::Stream {
                resumable: true,
                ..
            }
        )
    }

    /// Returns whether responses are streams.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: PoolName,
    /// Its share, relative to the weights of the others.
    pub weight: u32,
}

/// A service: a set of endpoints that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRule {
    /// Its name.
    pub name: PoolName,
    /// The path at which an endpoint reports its health and its instance.
    pub health_path: Arc<str>,
    /// The maximum number of connections to one endpoint, over all callers.
    pub max_connections: usize,
    /// The rules for its engines; `None` for a plain service.
    pub engine: Option<EngineRule>,
}

/// The models that the engines of a service may hold, and the limits of those engines.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineRule {
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Memory for running requests and cached prompts, in tokens.
    pub memory_tokens: u64,
    /// Number of adapters that can be loaded at the same time.
    pub adapter_slots: usize,
    /// Loads per second that the weight store allows, over all engines.
    pub loads_per_s: f64,
    /// The models.
    pub models: Vec<ModelRule>,
}

impl EngineRule {
    /// Returns a model by name.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&ModelRule> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Returns the memory available to models, in MB, which is what remains if every adapter slot holds the
    /// largest adapter. Adapters then never compete with weights for memory.
    #[must_use]
    pub fn model_room_mb(&self) -> f64 {
        let largest = self.models.iter().map(|model| model.adapter_mb);
        let largest = largest.fold(0.0, f64::max);
        let slots = u32::try_from(self.adapter_slots).unwrap_or(u32::MAX);
        self.weights_mb - largest * f64::from(slots)
    }
}

/// A model that engines may be ordered to load.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelRule {
    /// Its name.
    pub name: ModelName,
    /// Size of its weights, in MB.
    pub size_mb: f64,
    /// Duration of a load from the weight store without concurrent loads.
    pub load: Duration,
    /// Duration of a load from the engine's disk.
    pub load_from_disk: Duration,
    /// Duration of a load from the engine's host memory.
    pub load_from_memory: Duration,
    /// Size of an adapter's weights, in MB.
    pub adapter_mb: f64,
}

impl ModelRule {
    /// Returns the duration of a load at an engine with the given local copies.
    #[must_use]
    pub fn load_with(&self, copies: &LocalCopies) -> Duration {
        if copies.in_memory.contains(&self.name) {
            self.load_from_memory
        } else if copies.on_disk.contains(&self.name) {
            self.load_from_disk
        } else {
            self.load
        }
    }
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub head_wait: Duration,
    /// Time for which an idle connection is kept open.
    pub idle: Duration,
}

impl SiteConfig {
    /// Returns the route of a request, which has the longest matching prefix among the routes of its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host_name(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &PoolName) -> Option<&ServiceRule> {
        self.services.iter().find(|service| service.name == *name)
    }
}

/// Returns the host without its port.
fn host_name(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, port)| {
        let is_port = !port.is_empty() && port.bytes().all(|byte| byte.is_ascii_digit());
        if is_port { name } else { host }
    })
}
