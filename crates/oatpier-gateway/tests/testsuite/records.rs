//! Entries read from the store.

use oatpier_gateway::store_reader::UnreadableEntries;
use oatpier_platform::store::UnreadableEntry;

fn entry(key: &str, revision: u64) -> UnreadableEntry {
    UnreadableEntry {
        key: key.to_owned(),
        revision,
        reason: "the entry is malformed".to_owned(),
    }
}

/// Another program leaves an invalid entry in the registry. It is read again every second. The log must name it when
/// it appears and when it changes, and not a thousand times a day.
#[test]
fn an_invalid_entry_is_reported_once_for_each_change() {
    let mut entries = UnreadableEntries::default();
    assert_eq!(entries.replace(vec![entry("a", 1)]), vec![entry("a", 1)]);
    assert!(entries.replace(vec![entry("a", 1)]).is_empty());
    let both = vec![entry("a", 2), entry("b", 1)];
    assert_eq!(entries.replace(both.clone()), both);
    assert!(entries.replace(Vec::new()).is_empty());
    assert_eq!(entries.replace(vec![entry("a", 2)]), vec![entry("a", 2)]);
}
