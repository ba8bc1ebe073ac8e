//! Which gateway holds which part.

use std::net::SocketAddr;

use oatpier_serving::quota::holder::PartStart;
use oatpier_serving::quota::tenure::{
    ClaimOutcome, ClaimStanding, PartTenure, TAKE_AFTER, TENURE, TenureChange, TenureIdentity,
};
use oatpier_serving::quota::{PARTS, PartIndex};
use oatpier_types::clock::ClockTime;

use crate::part_store::PartStore;
use crate::support::{address, at};

const FIT: ClaimStanding = ClaimStanding {
    rank: 0,
    is_wanted: true,
};

struct Gateway {
    tenure: PartTenure,
    begun: Vec<(PartIndex, PartStart)>,
}

impl Gateway {
    fn start(number: u8, first_start: bool) -> Self {
        Self {
            tenure: PartTenure::new(TenureIdentity {
                address: address(number),
                boot: if first_start { 1 } else { 2 },
                started_at: at(0),
                first_start,
            }),
            begun: Vec::new(),
        }
    }

    fn note(&mut self, changes: impl IntoIterator<Item = TenureChange>) {
        for change in changes {
            match change {
                TenureChange::Begun(begin) => self.begun.push((begin.part, begin.start)),
                TenureChange::Ended(part) => self.begun.retain(|(begun, _)| *begun != part),
            }
        }
    }

    fn read(&mut self, store: &PartStore, now: ClockTime) {
        let changes = self.tenure.take_read(&store.entries, store.era, now);
        self.note(changes);
    }

    fn tend(&mut self, store: &mut PartStore, standing: ClaimStanding, now: ClockTime) {
        while let Some(claim) = self.tenure.due(standing, now) {
            let outcome = store.write(&claim);
            let change = self.tenure.take_outcome(&claim, outcome, now, now);
            self.note(change);
        }
    }

    /// Reads and tends each half a second.
    fn live(&mut self, store: &mut PartStore, from_ms: u64, to_ms: u64) {
        for now in (from_ms..to_ms).step_by(500) {
            self.read(store, at(now));
            self.tend(store, FIT, at(now));
        }
    }

    fn held(&self, now_ms: u64) -> usize {
        let parts = PartIndex::all();
        parts
            .filter(|part| self.tenure.holds(*part, at(now_ms)))
            .count()
    }

    fn holders(&self) -> Vec<Option<SocketAddr>> {
        self.tenure.holders().to_vec()
    }
}

fn tenure_ms() -> u64 {
    u64::try_from(TENURE.as_millis()).unwrap()
}

fn take_ms() -> u64 {
    u64::try_from(TAKE_AFTER.as_millis()).unwrap()
}

/// A gateway that holds all parts, and the store with them.
fn settled() -> (Gateway, PartStore) {
    let mut store = PartStore::default();
    let mut gateway = Gateway::start(1, true);
    gateway.live(&mut store, 0, 10_000);
    assert_eq!(gateway.held(10_000), usize::from(PARTS));
    (gateway, store)
}

#[test]
fn parts_begin_full_when_the_fleet_starts_for_the_first_time() {
    let (gateway, _) = settled();
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
            let standing = ClaimStanding { rank, ..FIT };
            if let Some(claim) = gateway.tenure.due(standing, at(now)) {
                let outcome = store.write(&claim);
                let change = gateway
                    .tenure
                    .take_outcome(&claim, outcome, at(now), at(now));
                gateway.note(change);
            }
        }
    }
    let held: Vec<usize> = gateways
        .iter()
        .map(|gateway| gateway.held(10_000))
        .collect();
    assert_eq!(held.iter().sum::<usize>(), usize::from(PARTS));
    assert!(held.iter().all(|held| *held <= 1), "{held:?}");
}

/// A gateway joins a running fleet in which nobody holds a part, as far as the store says. An entry may have been
/// lost with an older copy, and its holder may go on by its own clock: the newcomer waits for its tenure to end.
#[test]
fn a_newcomer_waits_until_nobody_can_hold_the_part() {
    let mut store = PartStore::default();
    let mut newcomer = Gateway::start(2, false);
    newcomer.live(&mut store, 0, take_ms());
    assert_eq!(newcomer.held(take_ms()), 0);
    newcomer.live(&mut store, take_ms(), take_ms() + 8_000);
    assert!(newcomer.held(take_ms() + 8_000) > 0);
    assert!(
        newcomer
            .begun
            .iter()
            .all(|(_, start)| *start == PartStart::Empty)
    );
}

#[test]
fn a_holder_goes_on_while_the_store_is_away_until_its_tenure_ends() {
    let (gateway, _) = settled();
    let renewed_at = 10_000;
    assert_eq!(
        gateway.held(renewed_at + tenure_ms() - 7_000),
        usize::from(PARTS)
    );
    assert_eq!(gateway.held(renewed_at + tenure_ms()), 0);
}

/// A holder is cut off from the store and goes on. Another gateway sees its entry unchanged. At no moment may both
/// hold the part: a workspace would get a third more than its limit.
#[test]
fn a_part_is_taken_over_only_after_its_holder_has_stopped() {
    let (holder, mut store) = settled();
    let mut other = Gateway::start(2, false);
    for now in (10_000..60_000).step_by(500) {
        other.read(&store, at(now));
        other.tend(&mut store, FIT, at(now));
        assert!(
            holder.held(now) == 0 || other.held(now) == 0,
            "both at {now}"
        );
    }
    assert!(other.held(60_000) > 0);
}

#[test]
fn a_holder_that_restarts_goes_on_at_once_with_nothing_saved() {
    let (_, mut store) = settled();
    let mut restarted = Gateway::start(1, false);
    restarted.live(&mut store, 11_000, 12_000);
    assert_eq!(restarted.held(12_000), usize::from(PARTS));
    assert!(
        restarted
            .begun
            .iter()
            .all(|(_, start)| *start == PartStart::Empty)
    );
}

#[test]
fn a_gateway_that_leaves_gives_its_parts_back_and_another_one_takes_them_soon() {
    let (mut leaving, mut store) = settled();
    for claim in leaving.tenure.release(at(10_000)) {
        let outcome = store.write(&claim);
        leaving
            .tenure
            .take_outcome(&claim, outcome, at(10_000), at(10_000));
    }
    assert_eq!(leaving.held(10_000), 0);
    let mut other = Gateway::start(2, false);
    other.live(&mut store, 10_000, 18_000);
    assert!(other.held(18_000) > 0);
}

/// The store comes back from a copy in which nobody holds a part. The holder still does, by its own clock, and
/// writes its entries again; another gateway that sees none there must not take them meanwhile.
#[test]
fn a_store_from_an_older_copy_takes_no_part_from_its_holder() {
    let mut store = PartStore::default();
    let before = store.clone();
    let mut holder = Gateway::start(1, true);
    let mut other = Gateway::start(2, true);
    other.read(&store, at(0));
    holder.live(&mut store, 0, 10_000);
    store.come_back(&before);
    for now in (10_000..40_000).step_by(500) {
        other.read(&store, at(now));
        other.tend(&mut store, FIT, at(now));
        assert_eq!(other.held(now), 0, "taken at {now}");
    }
    holder.live(&mut store, 13_000, 40_000);
    assert_eq!(holder.held(40_000), usize::from(PARTS));
    let listed = store.entries.iter().filter(|entry| entry.record.era == 1);
    assert_eq!(listed.count(), usize::from(PARTS));
}

/// The copy shows a holder from before: it had lost the part, restarts, and finds itself named.
#[test]
fn an_entry_of_an_older_era_gives_a_restarted_gateway_nothing() {
    let (_, mut store) = settled();
    let copy = store.clone();
    store.come_back(&copy);
    let mut restarted = Gateway::start(1, false);
    restarted.live(&mut store, 0, 20_000);
    assert_eq!(restarted.held(20_000), 0);
}

/// A claim is carried out, and its answer is lost. The gateway must not take itself for the holder from then on,
/// and must not lose the part for good either: it finds its own entry.
#[test]
fn a_claim_without_an_answer_is_found_again() {
    let mut store = PartStore::default();
    let mut gateway = Gateway::start(1, true);
    gateway.read(&store, at(0));
    let claim = gateway.tenure.due(FIT, at(2_000)).unwrap();
    store.write(&claim);
    gateway
        .tenure
        .take_outcome(&claim, ClaimOutcome::Failed, at(2_000), at(2_800));
    assert_eq!(gateway.held(2_800), 0);
    gateway.live(&mut store, 4_000, 5_000);
    assert!(gateway.held(5_000) > 0);
}

#[test]
fn without_limits_nothing_is_written() {
    let mut gateway = Gateway::start(1, true);
    gateway.read(&PartStore::default(), at(0));
    let unwanted = ClaimStanding {
        is_wanted: false,
        ..FIT
    };
    assert_eq!(gateway.tenure.due(unwanted, at(9_000)), None);
}
