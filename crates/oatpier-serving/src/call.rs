//! A caller's request, decoded from its headers.

use std::fmt;
use std::time::Duration;

use oatpier_types::names::{AdapterName, ModelName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::engine::AdapterKey;

/// The properties of a request that are known before an endpoint is chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// The identifier that the caller assigned to this attempt.
    pub id: String,
    /// The maximum time that the caller waits; `None` if not specified.
    pub caller_timeout: Option<Duration>,
    /// The model and adapter, for an engine.
    pub weights: Option<WeightsKey>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the response.
    pub output_tokens: u32,
    /// The caller's estimate of the number of tokens of the response, if it gave one. It is often far off.
    pub expected_tokens: Option<u32>,
    /// The parts of the prompt, in order, up to the first one that can't be decoded.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// The parts of the prompt that other requests may share: all but the last one. They are distinct.
    pub shared_parts: SmallVec<[PromptPartId; 4]>,
    /// The stream that the request takes up, if it does.
    pub resumption: Option<StreamResumption>,
}

impl CallerRequest {
    /// Returns the number of tokens that the request occupies in an engine's memory when it ends.
    #[must_use]
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// The stream of earlier attempts that a request takes up after an event that its caller has received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamResumption {
    /// The identifier of the attempt that brought the first event; `None` if it is missing or unusable.
    pub first_attempt: Option<String>,
    /// The identifier of the last event that the caller received; `None` if it is missing or unusable.
    pub last_event: Option<String>,
}

/// Identifier of a prompt part. Callers derive it from the content, so that the same id in the requests of two
/// workspaces names the same content.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct PromptPartId(pub u64);

impl fmt::Display for PromptPartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

impl fmt::Debug for PromptPartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "PromptPartId({self})")
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Its identifier.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// A model, or an adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WeightsKey {
    /// The model.
    pub model: ModelName,
    /// The adapter; `None` for the model alone.
    pub adapter: Option<AdapterName>,
}

impl WeightsKey {
    /// Returns the adapter with its model, if an adapter is requested.
    #[must_use]
    pub fn adapter_key(&self) -> Option<AdapterKey> {
        self.adapter.clone().map(|adapter| AdapterKey {
            model: self.model.clone(),
            adapter,
        })
    }
}

impl fmt::Display for WeightsKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(formatter, "{}/{adapter}", self.model),
            None => write!(formatter, "{}", self.model),
        }
    }
}
