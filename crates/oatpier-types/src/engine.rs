//! Orders sent to engines and the state that engines report.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids::OrderNumber;
use crate::names::{AdapterName, ModelName, VersionName};

/// Identifies weights that an engine can load: a base model or an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct WeightsKey {
    /// The base model.
    pub model: ModelName,
    /// The adapter; `None` for the base model itself.
    pub adapter: Option<AdapterName>,
    /// The version of the weights.
    pub version: VersionName,
}

/// The phase of requests that an engine processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only; exports the KV cache.
    Prefill,
    /// Decode only, from an imported KV cache.
    Decode,
}

/// The action that an order requests. All actions are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Load weights from the weight store.
    Load {
        /// The weights to load.
        weights: WeightsKey,
    },
    /// Unload weights.
    Unload {
        /// The weights to unload.
        weights: WeightsKey,
    },
    /// Change the role of the engine.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
}

/// One order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing token of the order.
    pub number: OrderNumber,
    /// The requested action.
    pub action: OrderAction,
}

/// The state of weights in an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WeightsState {
    /// Being loaded: memory is allocated, requests can't be served.
    Loading,
    /// Ready to serve.
    Ready,
    /// Being unloaded: memory is still allocated, requests can't be served.
    Unloading,
}

/// Weights in an engine and their state, as reported by the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldWeights {
    /// The weights.
    pub weights: WeightsKey,
    /// Their state.
    pub state: WeightsState,
}

/// The current state of an engine, returned on request without lag.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct EngineState {
    /// All weights that occupy memory.
    pub held: SmallVec<[HeldWeights; 8]>,
    /// The role of the engine.
    pub role: EngineRole,
    /// The highest order number that the engine has accepted, if it tracks order numbers.
    pub highest: Option<OrderNumber>,
    /// Memory for weights, in MiB.
    pub memory_mib: u64,
}

/// The load that an engine publishes, with a lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that are being generated.
    pub running: u32,
    /// Requests that are queued in the engine.
    pub waiting: u32,
    /// Prompt tokens of the requests that are queued in the engine.
    pub waiting_tokens: u32,
    /// Age of the report when it is read, in milliseconds, if the engine provides it.
    pub age_ms: u32,
}

/// A change of an engine's prefix cache. Events arrive late, and some are lost.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Increases by one with each event; a larger step means lost events.
    pub sequence: u64,
    /// The hash of the prefix that ends with the block.
    pub block: u64,
    /// Whether the block is now in the cache.
    pub present: bool,
}
