//! Timestamps and ids of an operator's changes.
//!
//! A timestamp is only information for readers of the history. No decision depends on it: the clocks of two operators
//! may differ, and generations define the order of changes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use humantime_serde::re::humantime::format_rfc3339_seconds;
use oatpier_types::ids::ChangeId;

/// Returns the current time in seconds since 1970.
#[must_use]
pub fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

/// Formats a timestamp (seconds since 1970) as RFC 3339.
#[must_use]
pub fn format_timestamp(at: u64) -> String {
    /// The last second of the year 9999; later times have no RFC 3339 form.
    const MAX_UNIX_SECONDS: u64 = 253_402_300_799;
    let at = UNIX_EPOCH + Duration::from_secs(at.min(MAX_UNIX_SECONDS));
    format_rfc3339_seconds(at).to_string()
}

/// Returns a random id for a new change.
#[must_use]
pub fn new_change_id() -> ChangeId {
    ChangeId(rand::random())
}
