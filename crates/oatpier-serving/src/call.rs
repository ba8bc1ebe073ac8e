//! A caller's request, decoded from its headers.

use std::fmt;
use std::time::Duration;

use oatpier_types::names::{AdapterName, ModelName};
use smallvec::SmallVec;

use crate::engine::AdapterKey;

/// What a gateway knows of a request before it chooses an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerRequest {
    /// The id that the caller gave this attempt of its own.
    pub id: String,
    /// How long the caller waits; none if it did not say.
    pub patience: Option<Duration>,
    /// The model and adapter, for an engine.
    pub weights: Option<WeightsKey>,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub output_tokens: u32,
    /// The parts of the prompt, in order.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl CallerRequest {
    /// Tokens that the request takes in an engine's memory when it is done.
    #[must_use]
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Its number.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// A model, or an adapter of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WeightsKey {
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
}

impl WeightsKey {
    /// The adapter with its model, if one is asked for.
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
