//! Finds out why a stream was late.
//!
//! A stream is in time if its first chunk arrives within the latency target of its route and no pause between
//! chunks is longer than the route allows. The engine's load at the longest pause explains the pause.

use std::time::Duration;

use oatpier_serving::directory::EndpointRow;
use oatpier_serving::site::{RouteKind, RouteRule};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::core::GatewayCore;

/// The load of an endpoint at one moment, as far as the gateway knew it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineSnapshot {
    /// The number of requests at the endpoint.
    pub requests: u32,
    /// The number of requests that waited at the endpoint at its last report.
    pub waiting: u32,
    /// The time that the endpoint needed for the prefill of the pending prompts of this gateway, in milliseconds.
    pub prefill_ms: f64,
}

impl EngineSnapshot {
    fn of(row: &EndpointRow) -> Self {
        Self {
            requests: row.request_count(),
            waiting: row.waiting(),
            prefill_ms: row.prefill.total_ms(),
        }
    }
}

/// A pause between two chunks of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct StreamPause {
    /// The length of the pause.
    pub length: Duration,
    /// The number of chunks before the pause.
    pub after_chunks: u32,
    /// The load of the endpoint when the pause ended.
    pub engine: EngineSnapshot,
}

/// Measures the pauses between the chunks of a stream.
#[derive(Debug)]
pub struct PauseTracker {
    allowed: Duration,
    last_at: ClockTime,
    chunks: u32,
    longest: StreamPause,
}

impl PauseTracker {
    /// Starts to track a stream of the route; its first chunk arrives now.
    #[must_use]
    pub fn begin(route: &RouteRule, now: ClockTime) -> Self {
        let allowed = match route.kind {
            RouteKind::Stream { pause, .. } => pause,
            RouteKind::Safe | RouteKind::Unsafe => Duration::MAX,
        };
        Self {
            allowed,
            last_at: now,
            chunks: 1,
            longest: StreamPause::default(),
        }
    }

    /// Records a chunk. The endpoint's load is looked up only for a pause that makes the stream late.
    pub fn record_chunk(&mut self, core: &GatewayCore, endpoint: &EndpointName, now: ClockTime) {
        let length = now.since(self.last_at);
        self.last_at = now;
        if length > self.allowed && length > self.longest.length {
            self.longest = StreamPause {
                length,
                after_chunks: self.chunks,
                engine: core.engine_snapshot(endpoint),
            };
        }
        self.chunks = self.chunks.saturating_add(1);
    }

    /// Returns the number of chunks so far.
    #[must_use]
    pub fn chunks(&self) -> u32 {
        self.chunks
    }

    /// Returns the longest pause if it made the stream late.
    #[must_use]
    pub fn longest_late_pause(&self) -> Option<StreamPause> {
        (self.longest.length > self.allowed).then_some(self.longest)
    }
}

impl GatewayCore {
    fn engine_snapshot(&self, endpoint: &EndpointName) -> EngineSnapshot {
        let state = self.lock();
        let row = state.directory.row(endpoint);
        row.map(EngineSnapshot::of).unwrap_or_default()
    }
}
