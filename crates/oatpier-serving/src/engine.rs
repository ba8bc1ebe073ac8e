//! What an engine reports, and the orders that it takes.

use std::time::Duration;

use oatpier_types::names::{AdapterName, ModelName};
use serde::{Deserialize, Serialize};

/// A model in an engine's memory, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// The adapters that are ready.
    pub adapters: Vec<AdapterName>,
}

/// Weights that an engine can load again without the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LocalCopies {
    /// In its host's memory.
    pub in_memory: Vec<ModelName>,
    /// On its disk.
    pub on_disk: Vec<ModelName>,
}

impl LocalCopies {
    /// Whether a load needs no call to the weight store.
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

/// Which start of an endpoint is meant, by the time of day at which it began, in Unix milliseconds.
///
/// An endpoint may start again under its name; it then holds nothing and knows nothing of before. Two
/// starts are told apart by being different, not by which is later: clocks step, and the later
/// start may say the earlier time. Which one is present follows from who said it last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// How busy an endpoint is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// An engine's own account of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Which start of the engine this is, if it tells.
    pub start: Option<StartTime>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders accepted since its start.
    pub sequence: u64,
    /// Its load.
    pub load: EndpointLoad,
    /// Memory of requests that can't be reclaimed, in tokens.
    pub memory_used: u64,
    /// Memory of requests in all, in tokens.
    pub memory_total: u64,
    /// What it holds.
    pub models: Vec<HeldModel>,
    /// Adapters on their way.
    pub coming: Vec<AdapterKey>,
    /// What it can load again by itself; none if it does not tell.
    pub copies: LocalCopies,
    /// Whether it takes no new work.
    pub draining: bool,
    /// How long it stays, if it is being taken away.
    pub remaining: Option<Duration>,
}

/// What an engine is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a model.
    LoadModel(ModelName),
    /// Unload a model once its requests are over.
    UnloadModel(ModelName),
    /// Load an adapter of a model that is there.
    LoadAdapter(AdapterKey),
    /// Unload an adapter.
    UnloadAdapter(AdapterKey),
}

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Taken,
    /// It holds already.
    Holds,
    /// Another order is being carried out, or the sequence has moved on.
    Conflict,
    /// It can't be carried out: another engine has the address, or the order makes no sense.
    Rejected,
    /// No answer: it may have been taken, or may be later.
    Unknown,
}
