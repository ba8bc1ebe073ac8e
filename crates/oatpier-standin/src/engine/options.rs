//! What an engine is like, and what goes wrong with it.

use std::time::Duration;

use oatpier_types::engine::{EngineRole, WeightsKey};
use oatpier_types::names::EndpointName;
use serde::{Deserialize, Serialize};

/// What an engine is like.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineOptions {
    /// Its name in events.
    pub endpoint: EndpointName,
    /// Memory for weights, in MiB.
    pub memory_mib: u64,
    /// Requests that it generates for at once.
    pub slots: usize,
    /// Requests that may wait inside it; more are refused.
    pub queue: usize,
    /// Time of a step without its requests.
    pub step: Duration,
    /// Time that each running request adds to a step.
    pub step_per_request: Duration,
    /// Time that each prompt token adds to the step that reads it.
    pub prompt_token: Duration,
    /// Prompt tokens that one step reads at most.
    pub chunk_tokens: u32,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// How late cache events come.
    pub cache_lag: Duration,
    /// Each so-manieth cache event is never published; 0: all are.
    pub cache_gap: u64,
    /// How late load reports are.
    pub load_lag: Duration,
    /// Time of an unload.
    pub unload: Duration,
    /// Time of a change of role.
    pub role_change: Duration,
    /// Whether it refuses an order with an old number.
    pub checks_order_numbers: bool,
    /// Its role at the start.
    pub role: EngineRole,
    /// Weights that are ready at the start, base models before their adapters.
    pub preloaded: Vec<WeightsKey>,
    /// Whether it keeps [`RunRecord`](super::RunRecord)s and events.
    pub record: bool,
}

impl EngineOptions {
    /// A small engine of this name, empty at the start.
    #[must_use]
    pub fn named(endpoint: EndpointName) -> Self {
        Self {
            endpoint,
            memory_mib: 16_384,
            slots: 16,
            queue: 1_024,
            step: Duration::from_micros(4_500),
            step_per_request: Duration::from_micros(50),
            prompt_token: Duration::from_micros(5),
            chunk_tokens: 2_048,
            cache_blocks: 512,
            cache_lag: Duration::from_millis(200),
            cache_gap: 16,
            load_lag: Duration::from_millis(500),
            unload: Duration::from_millis(100),
            role_change: Duration::from_millis(500),
            checks_order_numbers: true,
            role: EngineRole::Both,
            preloaded: Vec::new(),
            record: true,
        }
    }
}

/// An engine's fault switches. The default is an engine without faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct EngineFaults {
    /// Drops each connection without an answer; steps go on.
    pub down: bool,
    /// Takes no step, finishes no load and carries out no late order.
    pub frozen: bool,
    /// Steps take so many percent longer.
    pub slower_percent: u32,
    /// So many of the next orders are lost: no answer and no effect.
    pub lose_orders: u32,
    /// So many of the next orders take effect and lose their answer.
    pub lose_order_answers: u32,
    /// So many of the next orders give no answer and take effect after `late-ms`.
    pub late_orders: u32,
    /// So many of the next orders take effect at once and again after `late-ms`.
    pub double_orders: u32,
    /// How late late and doubled orders are, in milliseconds.
    pub late_ms: u64,
    /// So many of the next streams are cut after `cut-after` tokens.
    pub cut_streams: u32,
    /// Tokens that a cut stream gives.
    pub cut_after: u32,
}
