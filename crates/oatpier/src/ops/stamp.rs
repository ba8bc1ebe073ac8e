//! Wall-clock stamps and ids of what an operator does.
//!
//! The stamp is for people who read the history. Nothing is decided by it: two operators' clocks
//! need not agree, and generations order the changes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use humantime_serde::re::humantime::format_rfc3339_seconds;
use oatpier_types::ids::ChangeId;

/// Seconds since 1970.
#[must_use]
pub fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

/// A stamp as text.
#[must_use]
pub fn stamp_text(at: u64) -> String {
    /// The last second of the year 9999, beyond which there is no text.
    const LAST: u64 = 253_402_300_799;
    let at = UNIX_EPOCH + Duration::from_secs(at.min(LAST));
    format_rfc3339_seconds(at).to_string()
}

/// An id that no other change has.
#[must_use]
pub fn new_change() -> ChangeId {
    ChangeId(rand::random())
}
