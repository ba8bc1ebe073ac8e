//! Names whose news are still to be told, each with how often.

use indexmap::IndexMap;
use oatpier_types::names::DaemonName;

/// The names that are still to be told, each counted down by one.
pub(super) fn take_sends(rumors: &mut IndexMap<DaemonName, u8>) -> Vec<DaemonName> {
    let names = rumors.keys().cloned().collect();
    for left in rumors.values_mut() {
        *left -= 1;
    }
    rumors.retain(|_, left| *left > 0);
    names
}
