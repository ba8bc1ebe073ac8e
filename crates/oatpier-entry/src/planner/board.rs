//! What other duties see of the planner duty.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use oatpier_duty::placement::{PlanRow, PlanStamp};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, ZoneName};
use oatpier_types::plan::PlacementPlan;

/// No plan was written by this entry.
const NONE: u64 = u64::MAX;

/// The plans in the store, by availability zone.
pub type PlanShelf = BTreeMap<ZoneName, Arc<PlacementPlan>>;

/// The plans as last seen in the store, and when this entry last wrote one, if it plans.
#[derive(Debug)]
pub struct PlannerBoard {
    planned: AtomicU64,
    plans: ArcSwap<PlanShelf>,
}

impl Default for PlannerBoard {
    fn default() -> Self {
        Self {
            planned: AtomicU64::new(NONE),
            plans: ArcSwap::default(),
        }
    }
}

impl PlannerBoard {
    /// A plan was written.
    pub fn planned(&self, now: ClockTime) {
        self.planned.store(now.as_micros(), Ordering::Relaxed);
    }

    /// This entry plans no longer.
    pub fn lost(&self) {
        self.planned.store(NONE, Ordering::Relaxed);
    }

    /// The age of the plan in milliseconds; none if another entry made it.
    #[must_use]
    pub fn plan_age_ms(&self, now: ClockTime) -> Option<u64> {
        let planned = self.planned.load(Ordering::Relaxed);
        (planned != NONE).then(|| now.as_micros().saturating_sub(planned) / 1000)
    }

    /// All plans that are known.
    #[must_use]
    pub fn plans(&self) -> Arc<PlanShelf> {
        self.plans.load_full()
    }

    /// The store has this plan. One that is older than the known one is ignored.
    pub fn show(&self, zone: ZoneName, plan: PlacementPlan) {
        let mut plans = PlanShelf::clone(&self.plans.load());
        let known = plans.get(&zone);
        if known.is_some_and(|known| stamp_of(known) >= stamp_of(&plan)) {
            return;
        }
        plans.insert(zone, Arc::new(plan));
        self.plans.store(Arc::new(plans));
    }

    /// An endpoint's row, with its plan's stamp.
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
