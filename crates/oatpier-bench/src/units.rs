//! Conversions of counts to floating point. They are exact because all counts are far below 2^52.

/// Converts a count.
#[allow(clippy::cast_precision_loss)]
#[must_use]
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}

/// Converts a size.
#[allow(clippy::cast_precision_loss)]
#[must_use]
pub(crate) fn size_f64(size: usize) -> f64 {
    size as f64
}
