//! What is read from the store.

use oatpier_gateway::records::UnreadableEntries;
use oatpier_platform::store::UnreadableEntry;

fn entry(key: &str, revision: u64) -> UnreadableEntry {
    UnreadableEntry {
        key: key.to_owned(),
        revision,
        reason: "the entry is malformed".to_owned(),
    }
}

/// Another program leaves an entry in the registry that can't be read. It is read again every second; the
/// log names it when it appears and when it changes, and not a thousand times a day.
#[test]
fn an_entry_that_cannot_be_read_is_named_once_for_each_change() {
    let mut entries = UnreadableEntries::default();
    assert_eq!(entries.renew(vec![entry("a", 1)]), vec![entry("a", 1)]);
    assert!(entries.renew(vec![entry("a", 1)]).is_empty());
    let both = vec![entry("a", 2), entry("b", 1)];
    assert_eq!(entries.renew(both.clone()), both);
    assert!(entries.renew(Vec::new()).is_empty());
    assert_eq!(entries.renew(vec![entry("a", 2)]), vec![entry("a", 2)]);
}
