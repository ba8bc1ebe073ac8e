//! Engine time of requests.
//!
//! The pace is a nominal one and the same for all engines. A workspace that is sent to slow engines would otherwise be
//! charged more for the same tokens than one on fast engines, and get fewer of them.

use std::time::Duration;

/// Engine time to prefill a token of a prompt.
const PREFILL_TOKEN: Duration = Duration::from_micros(25);

/// Engine time to generate a token: a decoding step of 6 ms, shared by the 24 streams of a full engine.
const OUTPUT_TOKEN: Duration = Duration::from_micros(250);

/// Returns the engine time of a request with this number of prompt tokens to prefill and of expected output tokens.
#[must_use]
pub fn engine_time(prefill_tokens: u32, output_tokens: u32) -> Duration {
    PREFILL_TOKEN * prefill_tokens + OUTPUT_TOKEN * output_tokens
}
