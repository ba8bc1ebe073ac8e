//! Tests of the schedule of store reads and of the changes that gateways exchange.
//!
//! The scenario has about twelve gateways in one zone, each of which must see a change within two seconds.

use std::time::Duration;

use oatpier_serving::reads::{
    DeltaOutcome, InternalEntries, ReadSchedule, StoreDigest, StoreView, config_digest,
};

use crate::support::{at, millis, record};

const PERIOD: Duration = Duration::from_millis(1_800);

/// Simulates the gateways of a zone in steps of 10 ms. A gateway whose read is due reads, and those that
/// receive its message do so 20 ms later. Counts the reads and the longest time for which any gateway received
/// no data from the store.
struct ZoneRun {
    schedules: Vec<ReadSchedule>,
    updated_at: Vec<u64>,
    reads: u32,
    longest_ms: u64,
}

impl ZoneRun {
    fn new(gateways: u64) -> Self {
        let mut run = Self {
            schedules: (0..gateways).map(ReadSchedule::new).collect(),
            updated_at: Vec::new(),
            reads: 0,
            longest_ms: 0,
        };
        for schedule in &mut run.schedules {
            schedule.note_read(at(0), PERIOD);
            run.updated_at.push(0);
        }
        run
    }

    fn simulate(&mut self, from_ms: u64, to_ms: u64, receives: impl Fn(usize, usize) -> bool) {
        for now in (from_ms..to_ms).step_by(10) {
            for index in 0..self.schedules.len() {
                if self.schedules[index].next_at() <= at(now) {
                    self.read(index, now, &receives);
                }
            }
        }
    }

    fn read(&mut self, reader: usize, now: u64, receives: &impl Fn(usize, usize) -> bool) {
        self.reads += 1;
        self.schedules[reader].note_read(at(now), PERIOD);
        self.note_update(reader, now);
        for other in 0..self.schedules.len() {
            if other != reader && receives(reader, other) {
                self.schedules[other].note_peer_read(PERIOD, at(now + 20));
                self.note_update(other, now + 20);
            }
        }
    }

    fn note_update(&mut self, index: usize, now: u64) {
        self.longest_ms = self
            .longest_ms
            .max(now.saturating_sub(self.updated_at[index]));
        self.updated_at[index] = now;
    }
}

#[test]
fn gateways_of_a_zone_share_reads() {
    let mut run = ZoneRun::new(13);
    run.simulate(10, 60_000, |_, _| true);
    // A single gateway reads about 38 times per minute, and thirteen without messages to each other 500
    // times.
    assert!(run.reads < 80, "{} reads", run.reads);
    assert!(run.longest_ms <= 1_850, "{} ms", run.longest_ms);
}

/// The gateway that read last is killed, one is partitioned from the others, and all messages are lost for
/// a while. Every gateway must still see the store within its period.
#[test]
fn gateways_see_changes_in_time_without_messages_from_others() {
    let mut run = ZoneRun::new(13);
    run.simulate(10, 10_000, |reader, other| reader != 0 && other != 1);
    run.simulate(10_000, 20_000, |_, _| false);
    assert!(run.longest_ms <= 1_850, "{} ms", run.longest_ms);
}

/// Between two reads of a gateway, one endpoint drains, one is removed and one is added. Gateways with the
/// same previous view apply these changes from its message. A gateway that has missed an earlier message
/// cannot, and reads when its next read is due.
#[test]
fn changes_apply_only_to_a_matching_view() {
    let first = StoreView::new(7, vec![record(1, &["m1"]), record(2, &["m1"])]);
    let mut draining = record(1, &["m1"]);
    draining.draining = true;
    let second = StoreView::new(7, vec![draining, record(3, &["m1"])]);
    let delta = second.delta_since(Some(&first));
    let mut other = first.clone();
    assert_eq!(other.apply_delta(&delta), DeltaOutcome::Patched);
    let draining: Vec<bool> = other.endpoints().iter().map(|row| row.draining).collect();
    assert_eq!(draining, vec![true, false]);
    assert_eq!(other.apply_delta(&delta), DeltaOutcome::Same);
    let mut behind = StoreView::new(7, vec![record(1, &["m1"])]);
    assert_eq!(behind.apply_delta(&delta), DeltaOutcome::Unknown);
    assert_eq!(behind.endpoints().len(), 1);
}

/// The operator changes the configuration. A message does not carry it, so the receivers read the store.
#[test]
fn configuration_change_is_not_applied_from_a_message() {
    let first = StoreView::new(7, vec![record(1, &["m1"])]);
    let second = StoreView::new(8, vec![record(1, &["m1"]), record(2, &["m1"])]);
    let mut other = first.clone();
    let delta = second.delta_since(Some(&first));
    assert_eq!(other.apply_delta(&delta), DeltaOutcome::Unknown);
    assert_eq!(other, first);
}

/// A whole fleet has started between two reads. The message must still fit into one packet, and other
/// gateways read the store themselves.
#[test]
fn too_many_changes_are_left_out_of_the_message() {
    let first = StoreView::new(7, Vec::new());
    let second = StoreView::new(7, (1..100).map(|number| record(number, &["m1"])).collect());
    let delta = second.delta_since(Some(&first));
    assert!(delta.changed.is_empty());
    assert_eq!(first.clone().apply_delta(&delta), DeltaOutcome::Unknown);
}

/// The digest leaves out what engines hold, so messages must not replace a gateway's reads indefinitely.
#[test]
fn messages_do_not_replace_reads_indefinitely() {
    let mut schedule = ReadSchedule::new(1);
    schedule.note_read(at(0), PERIOD);
    let spared = (1..=40).take_while(|number| {
        let now = at(number * 1_000);
        schedule.note_peer_read(PERIOD, now);
        schedule.next_at() > now
    });
    assert!(spared.count() < 30);
}

#[test]
fn digest_covers_registered_endpoints_and_configuration() {
    let endpoints = [record(1, &["m1"]), record(2, &["m1"])];
    let digest = StoreDigest::of(7, &endpoints);
    let crossed = [endpoints[1].clone(), endpoints[0].clone()];
    assert_eq!(digest, StoreDigest::of(7, &crossed));
    let mut other_models = endpoints.clone();
    other_models[0].models.clear();
    assert_eq!(digest, StoreDigest::of(7, &other_models));
    assert_ne!(digest, StoreDigest::of(8, &endpoints));
    assert_ne!(digest, StoreDigest::of(7, &endpoints[..1]));
    let mut draining = endpoints.clone();
    draining[1].draining = true;
    assert_ne!(digest, StoreDigest::of(7, &draining));
    let mut moved = endpoints;
    moved[0].cold = millis(5);
    assert_eq!(digest, StoreDigest::of(7, &moved));
}

/// The store is restored from an older copy and assigns its revisions again, so an old configuration may
/// have the revision of a new one. A gateway with the old configuration must not take a message as
/// confirmation of its own view.
#[test]
fn configurations_are_distinguished_by_contents() {
    assert_ne!(
        config_digest(b"{\"version\":7}"),
        config_digest(b"{\"version\":8}")
    );
    let view = |era| {
        StoreView::new(7, vec![record(1, &["m1"])]).with_internal(&InternalEntries {
            crashes: &[],
            parts: &[],
            era,
        })
    };
    let delta = view(2).delta_since(Some(&view(2)));
    assert_eq!(view(2).apply_delta(&delta), DeltaOutcome::Same);
    assert_eq!(view(1).apply_delta(&delta), DeltaOutcome::Unknown);
}
