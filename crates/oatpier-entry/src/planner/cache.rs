//! Planner state that other duties can read.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use oatpier_duty::placement::{PlanRow, PlanStamp};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, ZoneName};
use oatpier_types::plan::PlacementPlan;

/// Marks that this entry has written no plan.
const NO_WRITE: u64 = u64::MAX;

/// The plans in the store, by availability zone.
pub type PlanMap = BTreeMap<ZoneName, Arc<PlacementPlan>>;

/// The latest plans seen in the store, and the time of this entry's last plan write if it is the
/// planner.
#[derive(Debug)]
pub struct PlanCache {
    last_write_us: AtomicU64,
    plans: ArcSwap<PlanMap>,
}

impl Default for PlanCache {
    fn default() -> Self {
        Self {
            last_write_us: AtomicU64::new(NO_WRITE),
            plans: ArcSwap::default(),
        }
    }
}

impl PlanCache {
    /// Records that a plan was written.
    pub fn record_write(&self, now: ClockTime) {
        self.last_write_us.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Records that this entry is no longer the planner.
    pub fn clear_write(&self) {
        self.last_write_us.store(NO_WRITE, Ordering::Relaxed);
    }

    /// Returns the age of the plan in milliseconds, or `None` if another entry is the planner.
    #[must_use]
    pub fn plan_age_ms(&self, now: ClockTime) -> Option<u64> {
        let last_write_us = self.last_write_us.load(Ordering::Relaxed);
        (last_write_us != NO_WRITE).then(|| now.as_micros().saturating_sub(last_write_us) / 1000)
    }

    /// Returns all known plans.
    #[must_use]
    pub fn plans(&self) -> Arc<PlanMap> {
        self.plans.load_full()
    }

    /// Stores a plan read from the store, unless it is older than the known one.
    pub fn update(&self, zone: ZoneName, plan: PlacementPlan) {
        let mut plans = PlanMap::clone(&self.plans.load());
        let known = plans.get(&zone);
        if known.is_some_and(|known| stamp_of(known) >= stamp_of(&plan)) {
            return;
        }
        plans.insert(zone, Arc::new(plan));
        self.plans.store(Arc::new(plans));
    }

    /// Returns an endpoint's plan row with the plan's stamp.
    #[must_use]
    pub fn row(&self, endpoint: &EndpointName) -> Option<PlanRow> {
        let plans = self.plans.load();
        plans.values().find_map(|plan| {
            let rows = &plan.endpoints;
            let place = rows.binary_search_by(|row| row.endpoint.cmp(endpoint));
            Some(PlanRow {
                stamp: stamp_of(plan),
                row: rows[place.ok()?].clone(),
            })
        })
    }
}

fn stamp_of(plan: &PlacementPlan) -> PlanStamp {
    PlanStamp {
        term: plan.term,
        sequence: plan.sequence,
    }
}
