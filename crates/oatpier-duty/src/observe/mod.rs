//! Logs, metrics and traces, and the duty that exports them.

pub mod logs;
pub mod metrics;
pub mod refusals;
pub mod trace;

mod duty;

pub use duty::{MAX_OBSERVE_BODY_BYTES, MetricsText, ObserveHandler, ObserveInputs, observe};
