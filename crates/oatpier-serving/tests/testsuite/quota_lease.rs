//! Leases on the parts of limits.

use std::net::SocketAddr;

use oatpier_serving::quota::holder::PartStart;
use oatpier_serving::quota::lease::{
    ClaimOutcome, ClaimPriority, HolderIdentity, LEASE_DURATION, LeaseChange, PartLeases,
    TAKEOVER_DELAY,
};
use oatpier_serving::quota::{PARTS, PartIndex};
use oatpier_types::clock::ClockTime;

use crate::part_store::PartStore;
use crate::support::{address, at};

const ELIGIBLE: ClaimPriority = ClaimPriority {
    rank: 0,
    is_eligible: true,
};

struct Gateway {
    leases: PartLeases,
    begun: Vec<(PartIndex, PartStart)>,
}

impl Gateway {
    fn start(number: u8, first_start: bool) -> Self {
        Self {
            leases: PartLeases::new(HolderIdentity {
                address: address(number),
                boot: if first_start { 1 } else { 2 },
                started_at: at(0),
                is_first_start: first_start,
            }),
            begun: Vec::new(),
        }
    }

    fn apply(&mut self, changes: impl IntoIterator<Item = LeaseChange>) {
        for change in changes {
            match change {
                LeaseChange::Begun(begin) => self.begun.push((begin.part, begin.start)),
                LeaseChange::Ended(part) => self.begun.retain(|(begun, _)| *begun != part),
            }
        }
    }

    fn read(&mut self, store: &PartStore, now: ClockTime) {
        let changes = self.leases.apply_read(&store.entries, store.era, now);
        self.apply(changes);
    }

    fn write_claims(&mut self, store: &mut PartStore, priority: ClaimPriority, now: ClockTime) {
        while let Some(claim) = self.leases.next_claim(priority, now) {
            let outcome = store.write(&claim);
            let change = self.leases.apply_outcome(&claim, outcome, now, now);
            self.apply(change);
        }
    }

    /// Reads the store and writes due claims every 500 ms.
    fn run(&mut self, store: &mut PartStore, from_ms: u64, to_ms: u64) {
        for now in (from_ms..to_ms).step_by(500) {
            self.read(store, at(now));
            self.write_claims(store, ELIGIBLE, at(now));
        }
    }

    fn held_parts(&self, now_ms: u64) -> usize {
        let parts = PartIndex::all();
        parts
            .filter(|part| self.leases.holds(*part, at(now_ms)))
            .count()
    }

    fn holders(&self) -> Vec<Option<SocketAddr>> {
        self.leases.holders().to_vec()
    }
}

fn lease_ms() -> u64 {
    u64::try_from(LEASE_DURATION.as_millis()).unwrap()
}

fn takeover_ms() -> u64 {
    u64::try_from(TAKEOVER_DELAY.as_millis()).unwrap()
}

/// Returns a gateway that holds all parts, and the store with its entries.
fn gateway_with_all_parts() -> (Gateway, PartStore) {
    let mut store = PartStore::default();
    let mut gateway = Gateway::start(1, true);
    gateway.run(&mut store, 0, 10_000);
    assert_eq!(gateway.held_parts(10_000), usize::from(PARTS));
    (gateway, store)
}

#[test]
fn parts_begin_full_when_the_fleet_starts_for_the_first_time() {
    let (gateway, _) = gateway_with_all_parts();
    assert!(
        gateway
            .begun
            .iter()
            .all(|(_, start)| *start == PartStart::Full)
    );
    assert_eq!(gateway.holders(), [Some(address(1)); PARTS as usize]);
}

#[test]
fn gateways_that_start_together_share_the_parts() {
    let mut store = PartStore::default();
    let mut gateways: Vec<Gateway> = (1..6).map(|number| Gateway::start(number, true)).collect();
    for now in (0..10_000).step_by(500) {
        for (rank, gateway) in gateways.iter_mut().enumerate() {
            gateway.read(&store, at(now));
            let priority = ClaimPriority { rank, ..ELIGIBLE };
            if let Some(claim) = gateway.leases.next_claim(priority, at(now)) {
                let outcome = store.write(&claim);
                let change = gateway
                    .leases
                    .apply_outcome(&claim, outcome, at(now), at(now));
                gateway.apply(change);
            }
        }
    }
    let held_parts: Vec<usize> = gateways
        .iter()
        .map(|gateway| gateway.held_parts(10_000))
        .collect();
    assert_eq!(held_parts.iter().sum::<usize>(), usize::from(PARTS));
    assert!(
        held_parts.iter().all(|held_parts| *held_parts <= 1),
        "{held_parts:?}"
    );
}

/// A gateway joins a running fleet, and the store contains no entries. An entry may have been lost when the store was
/// restored from an older copy, and its holder may continue by its own clock. The new gateway must wait until such a
/// lease has expired.
#[test]
fn a_joining_gateway_waits_until_no_other_can_hold_the_part() {
    let mut store = PartStore::default();
    let mut joining = Gateway::start(2, false);
    joining.run(&mut store, 0, takeover_ms());
    assert_eq!(joining.held_parts(takeover_ms()), 0);
    joining.run(&mut store, takeover_ms(), takeover_ms() + 8_000);
    assert!(joining.held_parts(takeover_ms() + 8_000) > 0);
    assert!(
        joining
            .begun
            .iter()
            .all(|(_, start)| *start == PartStart::Empty)
    );
}

#[test]
fn a_holder_keeps_its_parts_without_the_store_until_its_lease_expires() {
    let (gateway, _) = gateway_with_all_parts();
    let renewed_at = 10_000;
    assert_eq!(
        gateway.held_parts(renewed_at + lease_ms() - 7_000),
        usize::from(PARTS)
    );
    assert_eq!(gateway.held_parts(renewed_at + lease_ms()), 0);
}

/// A holder is disconnected from the store and continues, while another gateway sees its entry unchanged. Both must
/// never hold the part at the same time, because a workspace would get a third more than its limit.
#[test]
fn a_part_is_taken_over_only_after_its_holder_has_stopped() {
    let (holder, mut store) = gateway_with_all_parts();
    let mut other = Gateway::start(2, false);
    for now in (10_000..60_000).step_by(500) {
        other.read(&store, at(now));
        other.write_claims(&mut store, ELIGIBLE, at(now));
        assert!(
            holder.held_parts(now) == 0 || other.held_parts(now) == 0,
            "both at {now}"
        );
    }
    assert!(other.held_parts(60_000) > 0);
}

#[test]
fn a_restarted_holder_gets_its_parts_at_once_with_empty_buckets() {
    let (_, mut store) = gateway_with_all_parts();
    let mut restarted = Gateway::start(1, false);
    restarted.run(&mut store, 11_000, 12_000);
    assert_eq!(restarted.held_parts(12_000), usize::from(PARTS));
    assert!(
        restarted
            .begun
            .iter()
            .all(|(_, start)| *start == PartStart::Empty)
    );
}

#[test]
fn parts_released_by_a_leaving_gateway_are_claimed_soon() {
    let (mut leaving, mut store) = gateway_with_all_parts();
    for claim in leaving.leases.release(at(10_000)) {
        let outcome = store.write(&claim);
        leaving
            .leases
            .apply_outcome(&claim, outcome, at(10_000), at(10_000));
    }
    assert_eq!(leaving.held_parts(10_000), 0);
    let mut other = Gateway::start(2, false);
    other.run(&mut store, 10_000, 18_000);
    assert!(other.held_parts(18_000) > 0);
}

/// The store is restored from a copy without entries. The holder still holds its parts by its own clock and writes its
/// entries again. Another gateway that sees no entries must not take the parts meanwhile.
#[test]
fn a_restored_store_takes_no_part_from_its_holder() {
    let mut store = PartStore::default();
    let before = store.clone();
    let mut holder = Gateway::start(1, true);
    let mut other = Gateway::start(2, true);
    other.read(&store, at(0));
    holder.run(&mut store, 0, 10_000);
    store.restore(&before);
    for now in (10_000..40_000).step_by(500) {
        other.read(&store, at(now));
        other.write_claims(&mut store, ELIGIBLE, at(now));
        assert_eq!(other.held_parts(now), 0, "taken at {now}");
    }
    holder.run(&mut store, 13_000, 40_000);
    assert_eq!(holder.held_parts(40_000), usize::from(PARTS));
    let listed = store.entries.iter().filter(|entry| entry.record.era == 1);
    assert_eq!(listed.count(), usize::from(PARTS));
}

/// The restored copy names a gateway as holder that had lost the part and restarts. It must not hold the part again.
#[test]
fn a_restarted_gateway_gets_nothing_from_an_entry_of_an_older_era() {
    let (_, mut store) = gateway_with_all_parts();
    let copy = store.clone();
    store.restore(&copy);
    let mut restarted = Gateway::start(1, false);
    restarted.run(&mut store, 0, 20_000);
    assert_eq!(restarted.held_parts(20_000), 0);
}

/// A claim is written, but its answer is lost. The gateway must not act as the holder until it has read its own entry,
/// and must then hold the part.
#[test]
fn a_claim_without_an_answer_is_confirmed_by_a_read() {
    let mut store = PartStore::default();
    let mut gateway = Gateway::start(1, true);
    gateway.read(&store, at(0));
    let claim = gateway.leases.next_claim(ELIGIBLE, at(2_000)).unwrap();
    store.write(&claim);
    gateway
        .leases
        .apply_outcome(&claim, ClaimOutcome::Failed, at(2_000), at(2_800));
    assert_eq!(gateway.held_parts(2_800), 0);
    gateway.run(&mut store, 4_000, 5_000);
    assert!(gateway.held_parts(5_000) > 0);
}

#[test]
fn an_ineligible_gateway_writes_nothing() {
    let mut gateway = Gateway::start(1, true);
    gateway.read(&PartStore::default(), at(0));
    let ineligible = ClaimPriority {
        is_eligible: false,
        ..ELIGIBLE
    };
    assert_eq!(gateway.leases.next_claim(ineligible, at(9_000)), None);
}
