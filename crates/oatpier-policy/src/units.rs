//! Conversions between durations and whole microseconds, saturating.

use std::time::Duration;

pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Returns `value` × `numerator` / `denominator`, saturating, or `value` if `denominator` is 0.
pub(crate) fn scale(value: u64, numerator: u64, denominator: u64) -> u64 {
    if denominator == 0 {
        return value;
    }
    value.saturating_mul(numerator) / denominator
}

/// Converts a share, clamped to between 0 and 1, to parts per million.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share is clamped to between 0 and 1"
)]
pub(crate) fn parts_per_million(share: f64) -> u64 {
    (share.clamp(0.0, 1.0) * 1_000_000.0).round() as u64
}
