//! Orders to engines and what engines report.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids::OrderNumber;
use crate::names::{AdapterName, ModelName, VersionName};

/// Weights that an engine can hold: a base model, or an adapter on one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct WeightsKey {
    /// The base model.
    pub model: ModelName,
    /// The adapter on it; none for the base model itself.
    pub adapter: Option<AdapterName>,
    /// The version of these weights.
    pub version: VersionName,
}

/// Which part of a request an engine works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Reads prompts and generates.
    #[default]
    Both,
    /// Reads prompts only, and exports its KV cache.
    Prefill,
    /// Generates only, from an imported KV cache.
    Decode,
}

/// What an order asks of an engine. All are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAction {
    /// Load weights from the weight store.
    Load {
        /// What to load.
        weights: WeightsKey,
    },
    /// Unload weights.
    Unload {
        /// What to unload.
        weights: WeightsKey,
    },
    /// Change the role.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
}

/// One order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// Its fencing number.
    pub number: OrderNumber,
    /// What it asks.
    pub action: OrderAction,
}

/// Where weights stand in an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WeightsState {
    /// Being loaded: takes its memory, can't serve.
    Loading,
    /// Ready to serve.
    Ready,
    /// Being unloaded: takes its memory, can't serve.
    Unloading,
}

/// Weights in an engine, as the engine says.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldWeights {
    /// Which.
    pub weights: WeightsKey,
    /// In what state.
    pub state: WeightsState,
}

/// What an engine says of itself when asked (not lagged).
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct EngineState {
    /// All weights that take memory.
    pub held: SmallVec<[HeldWeights; 8]>,
    /// Its role.
    pub role: EngineRole,
    /// The highest order number that it has taken, if it keeps count.
    pub highest: Option<OrderNumber>,
    /// Memory for weights, in MiB.
    pub memory_mib: u64,
}

/// An engine's load as it publishes it, with a lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that it is generating for.
    pub running: u32,
    /// Requests that wait inside it.
    pub waiting: u32,
    /// Prompt tokens that wait inside it.
    pub waiting_tokens: u32,
    /// How old the report is when read, in milliseconds, if the engine says.
    pub age_ms: u32,
}

/// A change of an engine's prefix cache. Late, and with gaps in the numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one; a jump is a gap.
    pub sequence: u64,
    /// Hash of the prefix block.
    pub block: u64,
    /// Whether the block is now there.
    pub present: bool,
}
