//! What engines can serve in time.
//!
//! Engines of one service differ in speed, and their VMs are disturbed by neighbours for fractions of a second. A
//! sidecar observes the progress of its engine's streams and reports its pace to gateways.
//!
//! - [`pace`]: the pace of one engine, as its sidecar estimates it.
//! - [`prefill_window`]: the prefill work that an engine may be sent at that pace.

mod hazard;
pub mod pace;
mod pace_fit;
mod permit_rate;
pub mod prefill_window;
mod progress;

pub mod exposure;
pub mod host;

use serde::{Deserialize, Serialize};

/// The pace of an engine as observed by its sidecar. All figures are 0 while unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct EnginePace {
    /// Usual time between two chunks of a stream, in microseconds, without the prefill of prompts between its steps.
    pub chunk_us: u32,
    /// Rate of pauses beyond the pause limit, per thousand seconds of one stream.
    pub late_pauses_per_ks: u32,
    /// Time to prefill a thousand tokens, in microseconds.
    pub prefill_us_per_k: u32,
    /// Rate at which permits were issued while requests waited for them, per thousand seconds.
    pub permits_per_ks: u32,
}
