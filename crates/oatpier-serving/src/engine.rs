//! The status reported by an engine, and the orders sent to it.

use std::time::Duration;

use oatpier_types::names::{AdapterName, ModelName};
use serde::{Deserialize, Serialize};

/// A model in an engine's memory, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// The adapters that are loaded.
    pub adapters: Vec<AdapterName>,
}

/// Models whose weights an engine can load without the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LocalCopies {
    /// Models in its host's memory.
    pub in_memory: Vec<ModelName>,
    /// Models on its disk.
    pub on_disk: Vec<ModelName>,
}

impl LocalCopies {
    /// Returns whether the model can be loaded without a call to the weight store.
    #[must_use]
    pub fn has(&self, model: &ModelName) -> bool {
        self.in_memory.contains(model) || self.on_disk.contains(model)
    }
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct AdapterKey {
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: AdapterName,
}

/// Identifier of an incarnation of an endpoint: the wall-clock time of its start, in Unix milliseconds.
///
/// An endpoint may restart under the same name, and then holds nothing and has no earlier state.
/// Incarnations may only be compared for equality, not for order: clocks are adjusted, so the later
/// incarnation may have the earlier time. The current incarnation is the one reported last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// The load of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that are queued at the endpoint.
    pub waiting: u32,
}

/// Progress of a stream that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamProgress {
    /// Hash of the request's identifier.
    pub id: u64,
    /// Number of chunks produced so far.
    pub chunks: u32,
}

/// The status that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// The incarnation of the engine, if reported.
    pub start: Option<StartTime>,
    /// Whether it is executing an order.
    pub busy: bool,
    /// Number of orders accepted since its start.
    pub sequence: u64,
    /// Its load.
    pub load: EndpointLoad,
    /// Request memory that cannot be reclaimed, in tokens.
    pub memory_used: u64,
    /// Total request memory, in tokens.
    pub memory_total: u64,
    /// The models that it holds.
    pub models: Vec<HeldModel>,
    /// Adapters that are being loaded.
    pub coming: Vec<AdapterKey>,
    /// Models that it can load from local copies; empty if not reported.
    pub copies: LocalCopies,
    /// Whether it accepts no new work.
    pub draining: bool,
    /// Time until it is removed, if it is being removed.
    pub remaining: Option<Duration>,
    /// Progress of its streams; empty if not reported.
    pub streams: Vec<StreamProgress>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a model.
    LoadModel(ModelName),
    /// Unload a model after its requests have ended.
    UnloadModel(ModelName),
    /// Load an adapter of a model that is loaded.
    LoadAdapter(AdapterKey),
    /// Unload an adapter.
    UnloadAdapter(AdapterKey),
}

/// An engine's response to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order was accepted and is being executed.
    Taken,
    /// The engine is already in the requested state.
    Holds,
    /// Another order is being executed, or the sequence number is outdated.
    Conflict,
    /// The order cannot be executed: the address belongs to another engine, or the order is invalid.
    Rejected,
    /// No response, or one that states nothing: the order may have been accepted, or may still be accepted later.
    Unknown,
}
