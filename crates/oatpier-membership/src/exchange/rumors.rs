//! Names whose changes are still to be gossiped, each with the number of times left to send it.

use indexmap::IndexMap;
use oatpier_types::names::DaemonName;

/// Returns the names to send and decrements the count of each.
pub(super) fn take_due(rumors: &mut IndexMap<DaemonName, u8>) -> Vec<DaemonName> {
    let names = rumors.keys().cloned().collect();
    for remaining in rumors.values_mut() {
        *remaining -= 1;
    }
    rumors.retain(|_, remaining| *remaining > 0);
    names
}
