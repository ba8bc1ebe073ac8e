//! The operators' configuration, checked.
//!
//! Operators declare what there is (regions, pools, models, adapters) and what is wanted
//! (classes with targets). They never write weights, placements or addresses. The TOML text
//! becomes raw tables, and these become a [`FleetConfig`] through `TryFrom`, which reports all
//! errors of a text at once.
//!
//! - [`text`]: reads a text into a [`FleetConfig`], and writes one back.
//! - [`fault`]: what is wrong with a configuration, with the place in its text.
//! - [`verify`]: what must hold between the items of a configuration.
//! - [`reach`]: whether all models and adapters fit into the memory there is.
//! - [`diff`]: the edits between two configurations.
//! - [`record`]: what the store keeps, and how a change is merged into it.

pub mod diff;
pub mod fault;
mod raw;
pub mod reach;
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
    /// Regions with their availability zones.
    pub regions: IndexMap<RegionName, RegionSpec>,
    /// Classes of work with their targets.
    pub classes: IndexMap<ClassName, ClassSpec>,
    /// Pools of endpoints.
    pub pools: IndexMap<PoolName, PoolSpec>,
    /// Base models.
    pub models: IndexMap<ModelName, ModelSpec>,
    /// Adapters.
    pub adapters: IndexMap<AdapterName, AdapterSpec>,
    /// What the weight store allows.
    pub weight_store: WeightStoreSpec,
}

/// A region.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegionSpec {
    /// Its availability zones.
    pub zones: Vec<ZoneName>,
}

/// A class of work.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ClassSpec {
    /// How quickly.
    pub target: ClassTarget,
    /// How often: the share of requests that is to be within the target, above 0 and below 1.
    pub attain: f64,
}

/// How quickly the requests of a class must be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClassTarget {
    /// A streamed answer of a model.
    Stream {
        /// Until the first token.
        #[serde(with = "humantime_serde")]
        first_token: Duration,
        /// Between two tokens, on average over the answer.
        #[serde(with = "humantime_serde")]
        between_tokens: Duration,
    },
    /// A whole answer.
    Whole {
        /// Until its end.
        #[serde(with = "humantime_serde")]
        answer: Duration,
    },
}

impl ClassTarget {
    /// The time until the first thing that is due: the first token or the whole answer.
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
    /// Engines or plain services.
    pub kind: PoolKind,
    /// All endpoints, with their availability zones.
    pub endpoints: IndexMap<EndpointName, ZoneName>,
}

/// What a pool's endpoints are.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines.
    Engine {
        /// Accelerators of one endpoint.
        accelerators: u32,
        /// Memory for weights of one endpoint, in MiB.
        memory_mib: u64,
        /// Requests that one endpoint generates for at once.
        slots: u32,
        /// Whether the engines refuse an order with an old number.
        checks_order_numbers: bool,
    },
    /// Plain services.
    Service {
        /// The class of a call that names none.
        class: ClassName,
        /// Calls that one endpoint works on at once.
        slots: u32,
        /// Which calls run at most once; all others are idempotent.
        once: Vec<CallPattern>,
    },
}

/// Which calls of a plain service: a method and a path, where `*` stands for one segment.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallPattern {
    /// The HTTP method, in capitals.
    pub method: Arc<str>,
    /// The path below `/services/POOL`, starting with `/`.
    pub path: Arc<str>,
}

impl CallPattern {
    /// Whether the call is one of these.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let mut wanted = self.path.split('/');
        let mut found = path.split('/');
        let same_path = loop {
            match (wanted.next(), found.next()) {
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
    /// The version that callers are to get.
    pub version: VersionName,
    /// The pool whose endpoints can hold it.
    pub pool: PoolName,
    /// Memory for its weights, in MiB.
    pub memory_mib: u64,
    /// The class of a request that names none.
    pub class: ClassName,
}

/// An adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdapterSpec {
    /// Its base model.
    pub model: ModelName,
    /// The version that callers are to get.
    pub version: VersionName,
    /// Memory for its weights, in MiB.
    pub memory_mib: u64,
}

/// What the weight store allows.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct WeightStoreSpec {
    /// Loads that may start in a second.
    pub loads_per_second: f64,
    /// Loads that run at full speed at once.
    pub full_speed_loads: u32,
}

impl FleetConfig {
    /// The pool that an endpoint belongs to.
    #[must_use]
    pub fn pool_of(&self, endpoint: &EndpointName) -> Option<(&PoolName, &PoolSpec)> {
        self.pools
            .iter()
            .find(|(_, pool)| pool.endpoints.contains_key(endpoint))
    }

    /// The region that an availability zone belongs to.
    #[must_use]
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions
            .iter()
            .find(|(_, region)| region.zones.contains(zone))
            .map(|(name, _)| name)
    }

    /// The memory that weights take, in MiB. Another version takes as much as the present one.
    #[must_use]
    pub fn memory_of(&self, weights: &WeightsKey) -> Option<u64> {
        match &weights.adapter {
            Some(adapter) => self.adapters.get(adapter).map(|spec| spec.memory_mib),
            None => self.models.get(&weights.model).map(|spec| spec.memory_mib),
        }
    }

    /// The weights of a model in its present version.
    #[must_use]
    pub fn model_weights(&self, model: &ModelName) -> Option<WeightsKey> {
        self.models.get(model).map(|spec| WeightsKey {
            model: model.clone(),
            adapter: None,
            version: spec.version.clone(),
        })
    }

    /// The weights of an adapter in its present version.
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
    /// Whether a call to this pool may run more than once.
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
