//! Tests of endpoints that have left while older entries of their address are still listed.

use std::collections::BTreeMap;

use oatpier_serving::directory::{EndpointDirectory, EndpointRecord};
use oatpier_serving::message::EngineStatus;
use oatpier_serving::reads::RemovedEndpoint;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{address, at, endpoint, record, status};

/// Interval between a sidecar's status updates in milliseconds.
const STATUS_MS: u64 = 200;

fn listed(name: &str) -> EndpointRecord {
    EndpointRecord {
        name: endpoint(name),
        ..record(1, &["m1"])
    }
}

/// Returns the status update of a time in milliseconds.
fn status_naming(instance: &str, now: u64) -> EngineStatus {
    let mut status = status(1, &["m1"], 0);
    status.number.number = now;
    status.instance = Some(endpoint(instance));
    status
}

fn open_names(directory: &EndpointDirectory, now: u64) -> Vec<String> {
    let rows = directory
        .all()
        .filter(|row| row.record.address == address(1));
    let open = rows.filter(|row| row.is_open(at(now)));
    open.map(|row| row.record.name.as_str().to_owned())
        .collect()
}

/// An engine whose first start is still listed, and which its sidecar has named under its next name.
fn restarted_engine() -> EndpointDirectory {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![listed("first")], at(0));
    directory.apply_status(status_naming("first", 1), at(1));
    directory.apply_status(status_naming("next", 100), at(100));
    assert_eq!(open_names(&directory, 100), ["next"]);
    directory
}

/// Guards against requests to an engine that was taken away soon after a crash: the grace for entries that are not listed
/// yet counted for one that had been listed.
#[test]
fn a_successor_that_is_no_longer_listed_is_gone() {
    let mut directory = restarted_engine();
    directory.apply_registry(vec![listed("first"), listed("next")], at(300));
    assert_eq!(open_names(&directory, 300), ["next"]);
    directory.apply_registry(vec![listed("first")], at(900));
    assert_eq!(open_names(&directory, 900), [""; 0]);
}

/// Guards against requests to an engine that was taken away soon after a crash: it took the place of its predecessor again
/// with each status update.
#[test]
fn an_engine_that_has_left_does_not_replace_its_predecessor_again() {
    let mut directory = restarted_engine();
    directory.apply_registry(vec![listed("first"), listed("next")], at(300));
    for now in (900..8_000).step_by(200) {
        directory.apply_registry(vec![listed("first")], at(now));
        directory.apply_status(status_naming("next", now), at(now + STATUS_MS / 2));
        assert_eq!(open_names(&directory, now + STATUS_MS / 2), [""; 0]);
    }
}

/// Like the test above, at a gateway that learned of the successor from the registry first.
#[test]
fn an_engine_that_has_left_does_not_replace_a_listed_predecessor() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![listed("first"), listed("next")], at(0));
    directory.apply_status(status_naming("next", 100), at(100));
    for now in (900..8_000).step_by(200) {
        directory.apply_registry(vec![listed("first")], at(now));
        directory.apply_status(status_naming("next", now), at(now + STATUS_MS / 2));
        assert_eq!(open_names(&directory, now + STATUS_MS / 2), [""; 0]);
    }
}

/// Like the test above, when a response and not a status update names the engine.
#[test]
fn a_response_does_not_bring_back_an_engine_that_has_left() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![listed("first"), listed("next")], at(0));
    directory.apply_registry(vec![listed("first")], at(900));
    directory.apply_status(status_naming("next", 1_000), at(1_000));
    directory.note_replaced(&endpoint("first"), Some(&endpoint("next")), at(1_100));
    assert_eq!(open_names(&directory, 1_100), [""; 0]);
}

/// Guards against an engine that never registers but gets requests for good.
#[test]
fn an_engine_that_is_not_listed_in_time_does_not_replace_its_predecessor_again() {
    let mut directory = restarted_engine();
    directory.apply_registry(vec![listed("first")], at(2_400));
    directory.apply_status(status_naming("next", 2_500), at(2_500));
    assert_eq!(open_names(&directory, 2_500), [""; 0]);
}

/// The predecessor's entry, which the registry lists for a few heartbeats, must not bring it back beside its successor.
#[test]
fn a_listed_successor_keeps_its_predecessor_away() {
    let mut directory = restarted_engine();
    for now in (300..90_000).step_by(600) {
        directory.apply_registry(vec![listed("first"), listed("next")], at(now));
        assert_eq!(open_names(&directory, now), ["next"]);
    }
}

/// An engine whose entry expired while it did not reach the store serves again once it is listed again.
#[test]
fn an_engine_that_is_listed_again_serves_again() {
    let mut directory = restarted_engine();
    directory.apply_registry(vec![listed("first"), listed("next")], at(300));
    directory.apply_registry(vec![listed("first")], at(900));
    directory.apply_registry(vec![listed("next")], at(1_500));
    directory.apply_status(status_naming("next", 1_600), at(1_600));
    assert_eq!(open_names(&directory, 1_600), ["next"]);
}

/// An engine may crash once more after one that has left at the same address.
#[test]
fn a_further_start_replaces_an_engine_that_has_left() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![listed("first"), listed("next")], at(0));
    directory.apply_registry(vec![listed("first")], at(900));
    directory.apply_status(status_naming("next", 1_000), at(1_000));
    assert_eq!(open_names(&directory, 1_000), [""; 0]);
    directory.apply_status(status_naming("third", 1_200), at(1_200));
    assert_eq!(open_names(&directory, 1_200), ["third"]);
}

/// A status update of the predecessor that arrives late, from an earlier start of the sidecar, does not end its successor.
#[test]
fn a_status_of_a_replaced_engine_does_not_end_its_successor() {
    let mut directory = restarted_engine();
    directory.apply_registry(vec![listed("first"), listed("next")], at(300));
    let mut late = status_naming("first", 90);
    late.number.boot = 0;
    directory.apply_status(late, at(400));
    directory.apply_status(status_naming("next", 500), at(500));
    assert_eq!(open_names(&directory, 500), ["next"]);
}

/// Guards against requests to an engine that left before this gateway started: another gateway has told of it, while the entry of
/// the engine's first start is still listed.
#[test]
fn an_engine_whose_removal_another_gateway_has_seen_is_not_used() {
    let removed = [RemovedEndpoint {
        name: endpoint("next"),
        start: None,
    }];
    let mut told_before = EndpointDirectory::default();
    told_before.note_removed(&removed, at(0));
    told_before.apply_registry(vec![listed("first")], at(10));
    let mut told_after = EndpointDirectory::default();
    told_after.apply_registry(vec![listed("first")], at(10));
    told_after.apply_status(status_naming("next", 20), at(20));
    assert_eq!(open_names(&told_after, 20), ["next"]);
    told_after.note_removed(&removed, at(50));
    for mut directory in [told_before, told_after] {
        assert!(!open_names(&directory, 50).contains(&"next".to_owned()));
        directory.apply_status(status_naming("next", 100), at(100));
        assert_eq!(open_names(&directory, 100), [""; 0]);
    }
}

/// A message about an earlier removal does not end an engine that is listed.
#[test]
fn a_removal_that_was_seen_earlier_does_not_end_a_listed_engine() {
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![listed("next")], at(0));
    let removed = RemovedEndpoint {
        name: endpoint("next"),
        start: None,
    };
    directory.note_removed(&[removed], at(50));
    directory.apply_status(status_naming("next", 100), at(100));
    assert_eq!(open_names(&directory, 100), ["next"]);
}

const STEP_MS: u64 = 100;
/// Time between two reads of the registry.
const READ_MS: u64 = 900;
/// Time after its last heartbeat for which an entry is listed.
const ENTRY_MS: u64 = 3_600;
/// Time within which a running engine is used by a gateway.
const USE_MS: u64 = 1_200;

/// An engine that starts, crashes and leaves at one address, as its entries and its sidecar show it.
struct LivingEngine {
    rng: ChaCha8Rng,
    starts: u32,
    /// When the present start began, or the next one begins.
    up_at: u64,
    crashes_at: u64,
    /// When the entry of the present start is removed, if it leaves.
    leaves_at: Option<u64>,
    /// When each listed entry expires.
    entries: BTreeMap<String, u64>,
}

impl LivingEngine {
    fn new(seed: u64) -> Self {
        let mut engine = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            starts: 0,
            up_at: 0,
            crashes_at: 0,
            leaves_at: None,
            entries: BTreeMap::new(),
        };
        engine.plan_start(0);
        engine
    }

    fn name(&self) -> String {
        format!("start-{}", self.starts)
    }

    /// Plans the next start, and its end: a crash, or a removal after which the engine serves on for a while.
    fn plan_start(&mut self, now: u64) {
        self.starts += 1;
        self.up_at = now + self.rng.random_range(3..15) * STEP_MS;
        let ends_at = self.up_at + self.rng.random_range(6..60) * STEP_MS;
        let leaves = self.rng.random_ratio(1, 2);
        self.leaves_at = leaves.then_some(ends_at);
        let lingers = self.rng.random_range(20..60) * STEP_MS;
        self.crashes_at = if leaves { ends_at + lingers } else { ends_at };
    }

    fn is_up(&self, now: u64) -> bool {
        now >= self.up_at && now < self.crashes_at
    }

    fn has_left(&self, now: u64) -> bool {
        self.leaves_at.is_some_and(|leaves_at| now >= leaves_at)
    }

    fn step(&mut self, now: u64) {
        if now >= self.crashes_at {
            self.plan_start(now);
        }
        self.entries.retain(|_, expires_at| now < *expires_at);
        let name = self.name();
        if self.has_left(now) {
            self.entries.remove(&name);
        } else if self.is_up(now) {
            self.entries.insert(name, now + ENTRY_MS);
        }
    }

    fn listed(&self) -> Vec<EndpointRecord> {
        self.entries.keys().map(|name| listed(name)).collect()
    }
}

/// Guards against requests to an engine that a read of the registry has shown to be gone, and against an engine that is not used
/// although it runs: it crashes and leaves again and again, and entries of its earlier starts are still listed.
#[test]
fn a_gateway_uses_the_start_that_has_not_left() {
    for seed in 1..60 {
        let mut engine = LivingEngine::new(seed);
        let mut directory = EndpointDirectory::default();
        // The registry is read at another phase than the engine's changes.
        let phase = seed * 130 % READ_MS / STEP_MS * STEP_MS;
        let mut left_by_read = None;
        for now in (0..120_000).step_by(usize::try_from(STEP_MS).unwrap()) {
            engine.step(now);
            if now % READ_MS == phase {
                directory.apply_registry(engine.listed(), at(now));
                left_by_read = engine.has_left(now).then(|| engine.name());
            }
            if engine.is_up(now) && now.is_multiple_of(STATUS_MS) {
                directory.apply_status(status_naming(&engine.name(), now + 1), at(now));
            }
            let open = open_names(&directory, now);
            let is_used_after = left_by_read
                .as_ref()
                .is_some_and(|name| open.contains(name));
            assert!(!is_used_after, "seed {seed}, {now} ms: {open:?}");
            let is_settled = engine.is_up(now) && now >= engine.up_at + USE_MS;
            let is_used = open.contains(&engine.name());
            assert!(
                is_used || !is_settled || engine.has_left(now),
                "seed {seed}, {now} ms: {} in {open:?}",
                engine.name()
            );
        }
    }
}
