//! Names whose changes are still to be gossiped, each with the number of times left to send it.

use indexmap::IndexMap;
use oatpier_types::names::DaemonName;

/// Returns the names to send and decrements the count of each.
pub(super) fn take_sends(rumors: &mut IndexMap<DaemonName, u8>) -> Vec<DaemonName> {
    let names = rumors.keys().cloned().collect();
    for left in rumors.values_mut() {
        *left -= 1;
    }
    rumors.retain(|_, left| *left > 0);
    names
}
