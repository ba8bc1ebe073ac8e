//! The validated configuration that operators write.
//!
//! Operators declare the resources (regions, pools, models, adapters) and the objectives (classes
//! with latency targets). They never write routing weights, placements or addresses. The TOML text
//! is parsed into raw tables, and these are converted to a [`FleetConfig`] with `TryFrom`, which
//! reports all errors of a text at once.
//!
//! - [`text`]: reads a [`FleetConfig`] from TOML and writes it back.
//! - [`error`]: errors in a configuration, with their locations in the text.
//! - [`verify`]: consistency checks between the items of a configuration.
//! - [`capacity`]: whether all models and adapters fit into the available memory.
//! - [`diff`]: the edits between two configurations.
//! - [`record`]: the stored form of the configuration, and how a change is merged into it.

pub mod capacity;
pub mod diff;
pub mod error;
mod raw;
pub mod record;
mod render;
pub mod text;
pub mod verify;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::engine::WeightsKey;
use crate::names::{
    AdapterName, ClassName, EndpointName, ModelName, PoolName, RegionName, VersionName, ZoneName,
};
use crate::verdict::Repeat;

/// The whole configuration of a fleet.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct FleetConfig {
    /// Regions and their availability zones.
    pub regions: IndexMap<RegionName, RegionSpec>,
    /// Classes of requests and their latency targets.
    pub classes: IndexMap<ClassName, ClassSpec>,
    /// Pools of endpoints.
    pub pools: IndexMap<PoolName, PoolSpec>,
    /// Base models.
    pub models: IndexMap<ModelName, ModelSpec>,
    /// Adapters.
    pub adapters: IndexMap<AdapterName, AdapterSpec>,
    /// Load limits of the weight store.
    pub weight_store: WeightStoreSpec,
}

/// A region.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegionSpec {
    /// Its availability zones.
    pub zones: Vec<ZoneName>,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClassSpec {
    /// The latency target.
    pub target: ClassTarget,
    /// The share of requests that must meet the target, above 0 and below 1.
    pub attain: f64,
}

/// The latency target of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClassTarget {
    /// Targets for the streamed answer of a model.
    Stream {
        /// Maximum time to the first token.
        #[serde(with = "humantime_serde")]
        first_token: Duration,
        /// Maximum time between two tokens, averaged over the answer.
        #[serde(with = "humantime_serde")]
        between_tokens: Duration,
    },
    /// A target for the complete answer.
    Whole {
        /// Maximum time to the end of the answer.
        #[serde(with = "humantime_serde")]
        answer: Duration,
    },
}

impl ClassTarget {
    /// Returns the time until the first deadline: the first token or the complete answer.
    #[must_use]
    pub fn first_due(self) -> Duration {
        match self {
            Self::Stream { first_token, .. } => first_token,
            Self::Whole { answer } => answer,
        }
    }
}

/// A group of endpoints of one kind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PoolSpec {
    /// The kind of the endpoints and its settings.
    pub kind: PoolKind,
    /// All endpoints, with their availability zones.
    pub endpoints: IndexMap<EndpointName, ZoneName>,
}

/// The kind of endpoints in a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines.
    Engine {
        /// Number of accelerators per endpoint.
        accelerators: u32,
        /// Memory for weights per endpoint, in MiB.
        memory_mib: u64,
        /// Maximum number of requests that one endpoint generates concurrently.
        slots: u32,
        /// Whether the engines reject orders with an outdated order number.
        checks_order_numbers: bool,
    },
    /// Plain services.
    Service {
        /// The default class of calls that specify none.
        class: ClassName,
        /// Maximum number of concurrent calls per endpoint.
        slots: u32,
        /// The calls that must run at most once; all others are idempotent.
        once: Vec<CallPattern>,
    },
}

/// A pattern for calls to a plain service: a method and a path, where `*` matches one segment.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallPattern {
    /// The HTTP method, in uppercase.
    pub method: Arc<str>,
    /// The path below `/services/POOL`, starting with `/`.
    pub path: Arc<str>,
}

impl CallPattern {
    /// Returns whether the pattern matches a call.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let mut pattern_segments = self.path.split('/');
        let mut call_segments = path.split('/');
        let same_path = loop {
            match (pattern_segments.next(), call_segments.next()) {
                (None, None) => break true,
                (Some("*"), Some(segment)) if !segment.is_empty() => {}
                (Some(left), Some(right)) if left == right => {}
                _ => break false,
            }
        };
        same_path && self.method.eq_ignore_ascii_case(method)
    }
}

/// A base model.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelSpec {
    /// The version that callers should be served.
    pub version: VersionName,
    /// The pool whose endpoints can load the model.
    pub pool: PoolName,
    /// Memory for the weights, in MiB.
    pub memory_mib: u64,
    /// The default class of requests that specify none.
    pub class: ClassName,
}

/// An adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdapterSpec {
    /// The base model of the adapter.
    pub model: ModelName,
    /// The version that callers should be served.
    pub version: VersionName,
    /// Memory for the weights, in MiB.
    pub memory_mib: u64,
}

/// Load limits of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct WeightStoreSpec {
    /// Maximum number of loads that start per second.
    pub loads_per_second: f64,
    /// Maximum number of concurrent loads that run at full speed.
    pub full_speed_loads: u32,
}

impl FleetConfig {
    /// Returns the pool that an endpoint belongs to.
    #[must_use]
    pub fn pool_of(&self, endpoint: &EndpointName) -> Option<(&PoolName, &PoolSpec)> {
        self.pools
            .iter()
            .find(|(_, pool)| pool.endpoints.contains_key(endpoint))
    }

    /// Returns the region that an availability zone belongs to.
    #[must_use]
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions
            .iter()
            .find(|(_, region)| region.zones.contains(zone))
            .map(|(name, _)| name)
    }

    /// Returns the memory that weights occupy, in MiB.
    ///
    /// All versions of a model or adapter are assumed to have the size configured for the current one.
    #[must_use]
    pub fn memory_of(&self, weights: &WeightsKey) -> Option<u64> {
        match &weights.adapter {
            Some(adapter) => self.adapters.get(adapter).map(|spec| spec.memory_mib),
            None => self.models.get(&weights.model).map(|spec| spec.memory_mib),
        }
    }

    /// Returns the key of the current weights of a model.
    #[must_use]
    pub fn model_weights(&self, model: &ModelName) -> Option<WeightsKey> {
        self.models.get(model).map(|spec| WeightsKey {
            model: model.clone(),
            adapter: None,
            version: spec.version.clone(),
        })
    }

    /// Returns the key of the current weights of an adapter.
    #[must_use]
    pub fn adapter_weights(&self, adapter: &AdapterName) -> Option<WeightsKey> {
        self.adapters.get(adapter).map(|spec| WeightsKey {
            model: spec.model.clone(),
            adapter: Some(adapter.clone()),
            version: spec.version.clone(),
        })
    }
}

impl PoolSpec {
    /// Returns whether a call to this pool may run more than once.
    #[must_use]
    pub fn repeat_of(&self, method: &str, path: &str) -> Repeat {
        let once = match &self.kind {
            PoolKind::Engine { .. } => return Repeat::Idempotent,
            PoolKind::Service { once, .. } => once,
        };
        if once.iter().any(|pattern| pattern.matches(method, path)) {
            Repeat::AtMostOnce
        } else {
            Repeat::Idempotent
        }
    }
}
