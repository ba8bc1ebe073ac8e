//! Tests of the index of expected prefix caches.

use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_policy::prefix::{PrefixIndex, PrefixSettings};
use oatpier_types::engine::CacheEvent;

use crate::support::at;

const HOLDER: EndpointIndex = EndpointIndex(3);
const OTHER: EndpointIndex = EndpointIndex(5);

fn index() -> PrefixIndex {
    PrefixIndex::new(PrefixSettings {
        block_tokens: 100,
        ..PrefixSettings::default()
    })
}

fn expected(index: &PrefixIndex, prefixes: &[u64], endpoint: EndpointIndex, millis: u64) -> u32 {
    let holders = index.holders(prefixes, at(millis));
    let holder = holders.iter().find(|holder| holder.endpoint == endpoint);
    holder.map_or(0, |holder| holder.tokens)
}

fn event(sequence: u64, block: u64, present: bool) -> CacheEvent {
    CacheEvent {
        sequence,
        block,
        present,
    }
}

#[test]
fn the_longest_shared_prefix_counts() {
    let mut index = index();
    index.record_prompt(HOLDER, &[1, 2, 3, 4], at(0));
    index.record_prompt(OTHER, &[1, 2], at(0));
    assert_eq!(expected(&index, &[1, 2, 3, 9], HOLDER, 0), 300);
    assert_eq!(expected(&index, &[1, 2, 3, 9], OTHER, 0), 200);
    assert_eq!(expected(&index, &[8, 9], HOLDER, 0), 0);
}

#[test]
fn expectations_decay_with_age() {
    let mut index = index();
    index.record_prompt(HOLDER, &[1], at(0));
    assert_eq!(expected(&index, &[1], HOLDER, 120_000), 50);
}

/// Removal events arrive late. A removal from before the last prompt must not undo what that prompt
/// has cached.
#[test]
fn a_late_removal_keeps_recently_recorded_blocks() {
    let mut index = index();
    index.record_prompt(HOLDER, &[1], at(0));
    index.on_event(HOLDER, &event(1, 1, false), at(500));
    assert!(expected(&index, &[1], HOLDER, 500) > 0);
    index.on_event(HOLDER, &event(2, 1, false), at(2_500));
    assert_eq!(expected(&index, &[1], HOLDER, 2_500), 0);
}

/// Lost events may include removals. Blocks recorded before the gap count half, and blocks recorded
/// after it count fully.
#[test]
fn a_gap_halves_the_confidence_in_earlier_blocks() {
    let mut index = index();
    index.on_event(HOLDER, &event(1, 70, true), at(0));
    index.record_prompt(HOLDER, &[1], at(0));
    index.on_event(HOLDER, &event(5, 71, true), at(10));
    assert_eq!(index.gaps(), 1);
    assert!(expected(&index, &[1], HOLDER, 10) <= 50);
    index.record_prompt(HOLDER, &[2], at(11));
    assert_eq!(expected(&index, &[2], HOLDER, 11), 100);
    index.on_event(HOLDER, &event(9, 72, true), at(12));
    assert!(expected(&index, &[1], HOLDER, 12) <= 25);
}

#[test]
fn late_and_duplicate_events_are_ignored() {
    let mut index = index();
    index.on_event(HOLDER, &event(1, 70, true), at(0));
    index.on_event(HOLDER, &event(2, 71, true), at(0));
    index.on_event(HOLDER, &event(1, 71, false), at(5_000));
    assert_eq!(index.gaps(), 0);
    assert!(expected(&index, &[71], HOLDER, 5_000) > 0);
}

/// A restarted engine has an empty cache and numbers its events from 1 again.
#[test]
fn a_restarted_engine_has_nothing_cached() {
    let mut index = index();
    index.record_prompt(HOLDER, &[1], at(0));
    index.on_event(HOLDER, &event(500, 70, true), at(0));
    index.on_event(HOLDER, &event(1, 71, true), at(100));
    assert_eq!(expected(&index, &[1], HOLDER, 100), 0);
    assert_eq!(expected(&index, &[71], HOLDER, 100), 100);
}

#[test]
fn a_full_set_replaces_its_oldest_slot() {
    let mut index = PrefixIndex::new(PrefixSettings {
        blocks: 8,
        half_life: Duration::from_hours(1),
        ..PrefixSettings::default()
    });
    for block in 0..100 {
        index.record_prompt(HOLDER, &[block], at(block));
    }
    let kept = (0..100).filter(|block| expected(&index, &[*block], HOLDER, 100) > 0);
    assert_eq!(kept.collect::<Vec<u64>>(), (92..100).collect::<Vec<u64>>());
}
