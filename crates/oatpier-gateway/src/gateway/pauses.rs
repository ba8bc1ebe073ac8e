//! What made a stream late.
//!
//! A stream is in time if its first piece comes within its route's target and no pause between pieces
//! is longer than the route allows. The engine's load at the longest pause says why there was one.

use std::time::Duration;

use oatpier_serving::directory::EndpointRow;
use oatpier_serving::site::{RouteKind, RouteRule};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::core::GatewayCore;

/// What an endpoint was doing at a moment, as far as its gateway knew.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineMoment {
    /// Requests there.
    pub requests: u32,
    /// Requests that waited there at its last word.
    pub waiting: u32,
    /// The time that it needed to read this gateway's prompts, in milliseconds.
    pub reading_ms: f64,
}

impl EngineMoment {
    fn of(row: &EndpointRow) -> Self {
        Self {
            requests: row.present(),
            waiting: row.waiting(),
            reading_ms: row.reading.ms(),
        }
    }
}

/// A pause between two pieces of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct StreamPause {
    /// How long it was.
    pub length: Duration,
    /// Pieces that came before it.
    pub after_pieces: u32,
    /// What the endpoint was doing when it ended.
    pub engine: EngineMoment,
}

/// Watches the pauses of a stream.
#[derive(Debug)]
pub struct PauseWatch {
    allowed: Duration,
    last_at: ClockTime,
    pieces: u32,
    longest: StreamPause,
}

impl PauseWatch {
    /// A watch over a stream of the route whose first piece comes now.
    #[must_use]
    pub fn begin(route: &RouteRule, now: ClockTime) -> Self {
        let allowed = match route.kind {
            RouteKind::Stream { pause, .. } => pause,
            RouteKind::Safe | RouteKind::Unsafe => Duration::MAX,
        };
        Self {
            allowed,
            last_at: now,
            pieces: 1,
            longest: StreamPause::default(),
        }
    }

    /// A piece came. The endpoint's load is looked up only at a pause that makes the stream late.
    pub fn note_piece(&mut self, core: &GatewayCore, endpoint: &EndpointName, now: ClockTime) {
        let length = now.since(self.last_at);
        self.last_at = now;
        if length > self.allowed && length > self.longest.length {
            self.longest = StreamPause {
                length,
                after_pieces: self.pieces,
                engine: core.engine_moment(endpoint),
            };
        }
        self.pieces = self.pieces.saturating_add(1);
    }

    /// The longest pause, if it made the stream late.
    #[must_use]
    pub fn late_by(&self) -> Option<StreamPause> {
        (self.longest.length > self.allowed).then_some(self.longest)
    }
}

impl GatewayCore {
    fn engine_moment(&self, endpoint: &EndpointName) -> EngineMoment {
        let state = self.lock();
        let row = state.directory.row(endpoint);
        row.map(EngineMoment::of).unwrap_or_default()
    }
}
