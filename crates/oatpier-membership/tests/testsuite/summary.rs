//! Tests of summaries between availability zones.

use indexmap::IndexMap;
use oatpier_membership::summary::{
    ModelSummary, SummaryCursor, SummaryKey, SummaryTable, TableDigest, ZoneSummary,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::ModelName;
use smallvec::SmallVec;

use crate::support::fleet::{Fleet, Shape};
use crate::support::{seconds, zone};

fn key(index: usize) -> SummaryKey {
    SummaryKey {
        model: ModelName::try_from(format!("model-{index:03}")).expect("a model name"),
        adapter: None,
    }
}

fn rows(ready: &[u32]) -> IndexMap<SummaryKey, ModelSummary> {
    let rows = ready.iter().enumerate().map(|(index, ready)| ModelSummary {
        key: key(index),
        ready: *ready,
        spare: 4,
        samples: SmallVec::new(),
        age_ms: 0,
    });
    rows.map(|row| (row.key.clone(), row)).collect()
}

#[test]
fn models_that_become_unreachable_go_first() {
    let mut cursor = SummaryCursor::default();
    let now = ClockTime::from_millis(1);
    assert_eq!(cursor.next_rows(&rows(&[1, 1, 1]), 9, now).len(), 3);
    assert!(cursor.next_rows(&rows(&[1, 1, 1]), 9, now).is_empty());
    let next = cursor.next_rows(&rows(&[2, 2, 0]), 1, now);
    assert_eq!((next[0].key.clone(), next[0].ready), (key(2), 0));
    cursor.mark_lost([&key(2)]);
    let again = cursor.next_rows(&rows(&[2, 2, 0]), 9, now);
    assert_eq!(again.len(), 3);
}

/// A row returns to an entry that already had it. If forwarding made it look younger, it would be
/// forwarded forever.
#[test]
fn forwarded_row_that_returns_is_not_forwarded_again() {
    let mut book = SummaryTable::default();
    let now = ClockTime::from_millis(100_000);
    let mut summary = ZoneSummary {
        zone: zone("zone-1"),
        models: rows(&[1]).into_values().collect(),
    };
    assert_eq!(book.merge(&summary, now).len(), 1);
    summary.models = book.all(now).remove(0).models;
    assert!(book.merge(&summary, now).is_empty());
    summary.models[0].age_ms = 0;
    summary.models[0].ready = 0;
    assert_eq!(book.merge(&summary, now + seconds(1)).len(), 1);
    assert_eq!(book.zones_with(&key(0)).count(), 0);
}

/// A row and its successor are created within a moment. The older one arrives through another entry
/// and two slow links, whose delay does not show in its age. If it were taken for the younger one,
/// it would report a model as reachable where it no longer is.
#[test]
fn older_row_over_slow_links_does_not_replace_a_newer_one() {
    let at = |millis: u64| ClockTime::from_millis(100_000 + millis);
    let summary = |ready: u32| ZoneSummary {
        zone: zone("zone-1"),
        models: rows(&[ready]).into_values().collect(),
    };
    let (mut here, mut other) = (SummaryTable::default(), SummaryTable::default());
    here.merge(&summary(1), at(0));
    here.merge(&summary(0), at(100));
    other.merge(&summary(1), at(100));
    let passed_on = other.all(at(150)).remove(0);
    assert!(here.merge(&passed_on, at(250)).is_empty());
    assert_eq!(here.zones_with(&key(0)).count(), 0);
}

#[test]
fn hashes_show_the_parts_that_differ() {
    let mut left = TableDigest::default();
    let mut right = TableDigest::default();
    left.add("agent-1", 5);
    right.add("agent-1", 5);
    assert!(left.differing(&right, 9).is_empty());
    right.add("agent-2", 7);
    assert_eq!(
        left.differing(&right, 9).into_iter().collect::<Vec<_>>(),
        [TableDigest::part_of("agent-2")]
    );
}

/// Every entry learns which models another availability zone has ready, so that it can send
/// requests there.
#[test]
fn every_entry_learns_which_models_the_other_zone_has() {
    let mut fleet = Fleet::new(Shape::zoned(), 4);
    fleet.accept(1, "first");
    fleet.run_for(seconds(60));
    let agent = fleet.entries;
    let status = fleet.processes[agent].status.clone().expect("an agent");
    let wanted = SummaryKey {
        model: status.ready[0].model.clone(),
        adapter: None,
    };
    for entry in 0..fleet.entries {
        let near = fleet.contact(entry).zone == status.zone;
        let book = fleet.entry(entry).zone_summaries();
        let found = book
            .zones_with(&wanted)
            .any(|(zone, row)| *zone == status.zone && row.samples[0].endpoint == status.endpoint);
        assert!(near || found, "entry {entry}");
    }
}
