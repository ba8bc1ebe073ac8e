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
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Which requests go where.
    pub routes: Vec<Arc<RouteRule>>,
    /// What the routes lead to.
    pub services: Vec<ServiceRule>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Whose requests are taken; none where callers need no keys.
    pub workspaces: Option<WorkspaceTable>,
}

/// Which requests belong to a class of work, and how they are served.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteRule {
    /// The class of work.
    pub name: ClassName,
    /// The host that callers name.
    pub host: Arc<str>,
    /// The start of the paths, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// The time to the first piece of an answer that is in time.
    pub target: Duration,
    /// Rank among classes, 0 first.
    pub priority: u8,
    /// The services, with their shares.
    pub targets: SmallVec<[WeightedService; 2]>,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// What may be repeated, and what an answer looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RouteKind {
    /// Whole answers; running twice does no harm.
    Safe,
    /// Whole answers; at most one run.
    Unsafe,
    /// Streams of events.
    Stream {
        /// Whether a cut stream may go on elsewhere after the last event.
        resumable: bool,
        /// The longest pause between events that is in time.
        pause: Duration,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
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

    /// Whether answers are streams.
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
    /// Its share, relative to the others.
    pub weight: u32,
}

/// A service: endpoints that serve the same.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRule {
    /// Its name.
    pub name: PoolName,
    /// Where an endpoint says whether it is healthy, and which instance it is.
    pub health_path: Arc<str>,
    /// The most connections of all callers to one endpoint.
    pub max_connections: usize,
    /// What its engines may hold; none for a plain service.
    pub engine: Option<EngineRule>,
}

/// What the engines of a service may hold.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EngineRule {
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Memory of running requests and kept prompts, in tokens.
    pub memory_tokens: u64,
    /// Adapters that fit at the same time.
    pub adapter_slots: usize,
    /// Loads a second that the weight store allows over all engines.
    pub loads_per_s: f64,
    /// The models.
    pub models: Vec<ModelRule>,
}

impl EngineRule {
    /// A model by its name.
    #[must_use]
    pub fn model(&self, name: &ModelName) -> Option<&ModelRule> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// Memory that models may take, in MB: what is left when every adapter slot holds the
    /// largest adapter. Adapters then never compete with weights.
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
    /// Its weights, in MB.
    pub size_mb: f64,
    /// A load from the weight store, alone.
    pub load: Duration,
    /// A load from the engine's disk.
    pub load_from_disk: Duration,
    /// A load from the engine's host memory.
    pub load_from_memory: Duration,
    /// An adapter's weights, in MB.
    pub adapter_mb: f64,
}

impl ModelRule {
    /// How long a load takes where the engine has these copies.
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

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest time for a head to come.
    pub head_wait: Duration,
    /// How long an unused connection is kept.
    pub idle: Duration,
}

impl SiteConfig {
    /// The route of a request: the longest matching prefix among those of its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host_name(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &PoolName) -> Option<&ServiceRule> {
        self.services.iter().find(|service| service.name == *name)
    }
}

/// The host without its port.
fn host_name(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, port)| {
        let is_port = !port.is_empty() && port.bytes().all(|byte| byte.is_ascii_digit());
        if is_port { name } else { host }
    })
}
