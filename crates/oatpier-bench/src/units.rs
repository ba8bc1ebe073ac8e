//! Conversions of counts. Counts here are far below 2^52.

/// A count as a float.
#[allow(clippy::cast_precision_loss)]
#[must_use]
pub(crate) fn as_f64(count: u64) -> f64 {
    count as f64
}

/// A size as a float.
#[allow(clippy::cast_precision_loss)]
#[must_use]
pub(crate) fn size_f64(size: usize) -> f64 {
    size as f64
}
