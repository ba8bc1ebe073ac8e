//! Conversions between durations and whole microseconds, saturating.

use std::time::Duration;

pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// `value` × `numerator` / `denominator`, saturating; `value` itself if `denominator` is 0.
pub(crate) fn scale(value: u64, numerator: u64, denominator: u64) -> u64 {
    if denominator == 0 {
        return value;
    }
    value.saturating_mul(numerator) / denominator
}
