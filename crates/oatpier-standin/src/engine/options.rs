//! Options and injected faults of an engine.

use std::time::Duration;

use oatpier_types::engine::{EngineRole, WeightsKey};
use oatpier_types::names::EndpointName;
use serde::{Deserialize, Serialize};

/// Options of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineOptions {
    /// Name of the engine in events.
    pub endpoint: EndpointName,
    /// Memory for weights, in MiB.
    pub memory_mib: u64,
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// Maximum number of queued requests. Further requests are refused.
    pub queue: usize,
    /// Base duration of a step, without its requests.
    pub step: Duration,
    /// Time that each running request adds to a step.
    pub step_per_request: Duration,
    /// Time that each prompt token adds to the step that reads it.
    pub prompt_token: Duration,
    /// Maximum number of prompt tokens that one step reads.
    pub chunk_tokens: u32,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Delay of cache events.
    pub cache_lag: Duration,
    /// Interval of cache events that are never published: 16 drops every 16th event, 0 drops none.
    pub cache_gap: u64,
    /// Delay of load reports.
    pub load_lag: Duration,
    /// Duration of an unload.
    pub unload: Duration,
    /// Duration of a change of role.
    pub role_change: Duration,
    /// Whether the engine refuses an order with an old number.
    pub checks_order_numbers: bool,
    /// Role at the start.
    pub role: EngineRole,
    /// Weights that are ready at the start, base models before their adapters.
    pub preloaded: Vec<WeightsKey>,
    /// Whether the engine keeps [`RunRecord`](super::RunRecord)s and events.
    pub record: bool,
}

impl EngineOptions {
    /// Returns the options of a small engine with this name that is empty at the start.
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

/// Faults that an engine injects. The default is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct EngineFaults {
    /// Drops each connection without an answer. Steps continue.
    pub down: bool,
    /// Runs no step, finishes no load and executes no late order.
    pub frozen: bool,
    /// Percentage by which steps take longer.
    pub slower_percent: u32,
    /// Number of next orders that are lost: no answer and no effect.
    pub lose_orders: u32,
    /// Number of next orders that take effect and lose their answer.
    pub lose_order_answers: u32,
    /// Number of next orders that get no answer and take effect after `late-ms`.
    pub late_orders: u32,
    /// Number of next orders that take effect at once and again after `late-ms`.
    pub double_orders: u32,
    /// Delay of late orders and of the second execution of doubled orders, in milliseconds.
    pub late_ms: u64,
    /// Number of next streams that break off after `cut-after` tokens.
    pub cut_streams: u32,
    /// Number of tokens of a stream that breaks off.
    pub cut_after: u32,
    /// Number of next requests that run to their end and are answered with `fail-status`.
    pub fail_runs: u32,
    /// Status of a request that fails after its run.
    pub fail_status: u16,
}
