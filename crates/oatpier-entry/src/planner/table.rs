//! State of the stored plans and the writes to them.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use oatpier_duty::messages::{decode_plan, encode_plan, plan_key};
use oatpier_membership::budget::CallKind;
use oatpier_membership::lease::may_write;
use oatpier_ports::store::{ExpectedValue, StoreError};
use oatpier_types::ids::{Revision, Term};
use oatpier_types::names::{EndpointName, ZoneName};
use oatpier_types::plan::{EndpointPlan, PlacementPlan};

use super::PlannerResult;
use super::snapshot::FleetSnapshot;
use crate::store::StoreClient;

/// Content of a plan's key in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StoredPlan {
    revision: Option<Revision>,
    plan: Option<PlacementPlan>,
}

/// Result of a read; `None` if the store did not answer.
pub(super) type ReadResult = Option<StoredPlan>;

/// Result of a write: the current content of the key, or `None` if it is unknown.
pub(super) type WriteResult = Option<StoredPlan>;

/// A pending plan write.
pub(super) struct PendingWrite {
    zone: ZoneName,
    plan: PlacementPlan,
    expected: Option<Revision>,
}

#[derive(Debug, Default)]
enum PlanSlot {
    /// The content is unknown and has to be read.
    #[default]
    Unknown,
    /// A read or a write is in progress.
    Busy,
    /// The content is known.
    Known(StoredPlan),
}

/// Known content of the plans in the store.
///
/// A plan is derived only from values read under the current lease and replaces exactly those
/// revisions. A late write of a previous planner, or of this one, finds another revision and fails.
#[derive(Debug, Default)]
pub(super) struct PlanTable {
    slots: HashMap<ZoneName, PlanSlot>,
}

impl PlanTable {
    /// Returns the availability zones whose plan has to be read. Each is returned once.
    pub(super) fn take_unread(&mut self, zones: &[ZoneName]) -> Vec<ZoneName> {
        let mut unread = Vec::new();
        for zone in zones {
            let slot = self.slots.entry(zone.clone()).or_default();
            if matches!(slot, PlanSlot::Unknown) {
                *slot = PlanSlot::Busy;
                unread.push(zone.clone());
            }
        }
        unread
    }

    /// Returns whether the plans of all these availability zones are known.
    pub(super) fn is_known(&self, zones: &[ZoneName]) -> bool {
        zones
            .iter()
            .all(|zone| matches!(self.slots.get(zone), Some(PlanSlot::Known(_))))
    }

    pub(super) fn apply_read(&mut self, zone: &ZoneName, read: ReadResult) {
        self.set_slot(zone, read);
    }

    /// Applies the result of a write; returns whether the plan is stored.
    pub(super) fn apply_write(&mut self, zone: &ZoneName, write: WriteResult) -> bool {
        let is_written = write.is_some();
        self.set_slot(zone, write);
        is_written
    }

    fn set_slot(&mut self, zone: &ZoneName, found: Option<StoredPlan>) {
        let slot = found.map_or(PlanSlot::Unknown, PlanSlot::Known);
        // A plan table that was reset in the meantime starts its own read.
        if let Some(known) = self.slots.get_mut(zone) {
            *known = slot;
        }
    }

    /// Returns the merged plan of the whole group.
    pub(super) fn merged_plan(&self) -> Option<PlacementPlan> {
        let plans = self.slots.values().filter_map(|slot| match slot {
            PlanSlot::Known(stored) => stored.plan.as_ref(),
            PlanSlot::Unknown | PlanSlot::Busy => None,
        });
        let mut merged: Option<PlacementPlan> = None;
        for plan in plans {
            let sum = merged.get_or_insert_default();
            sum.term = sum.term.max(plan.term);
            sum.sequence = sum.sequence.max(plan.sequence);
            sum.generation = sum.generation.max(plan.generation);
            sum.endpoints.extend(plan.endpoints.iter().cloned());
        }
        if let Some(merged) = &mut merged {
            merged
                .endpoints
                .sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
        }
        merged
    }

    /// Returns the writes that store a plan. Unchanged plans are not written again, except under a
    /// new term: the first write under it fences off the previous planner.
    pub(super) fn pending_writes(
        &mut self,
        plan: &PlacementPlan,
        snapshot: &FleetSnapshot,
        term: Term,
    ) -> Vec<PendingWrite> {
        let mut rows = rows_by_zone(plan, snapshot);
        let mut writes = Vec::new();
        for (zone, slot) in &mut self.slots {
            let PlanSlot::Known(stored) = slot else {
                continue;
            };
            let endpoints = rows.remove(zone).unwrap_or_default();
            let Some(next) = next_plan(stored, endpoints, plan, term) else {
                continue;
            };
            writes.push(PendingWrite {
                zone: zone.clone(),
                plan: next,
                expected: stored.revision,
            });
            *slot = PlanSlot::Busy;
        }
        writes
    }
}

fn rows_by_zone(
    plan: &PlacementPlan,
    snapshot: &FleetSnapshot,
) -> HashMap<ZoneName, Vec<EndpointPlan>> {
    let views = snapshot.endpoints.iter();
    let zones: HashMap<&EndpointName, &ZoneName> =
        views.map(|view| (&view.endpoint, &view.zone)).collect();
    let mut rows: HashMap<ZoneName, Vec<EndpointPlan>> = HashMap::new();
    for row in &plan.endpoints {
        if let Some(zone) = zones.get(&row.endpoint) {
            rows.entry((*zone).clone()).or_default().push(row.clone());
        }
    }
    rows
}

fn next_plan(
    stored: &StoredPlan,
    endpoints: Vec<EndpointPlan>,
    plan: &PlacementPlan,
    term: Term,
) -> Option<PlacementPlan> {
    let known = stored.plan.as_ref();
    if known.is_some_and(|known| !may_write(term, known.term)) {
        return None;
    }
    let is_same = known.is_some_and(|known| {
        known.term == term && known.generation == plan.generation && known.endpoints == endpoints
    });
    (!is_same).then(|| PlacementPlan {
        term,
        sequence: known.map_or(1, |known| known.sequence + 1),
        generation: plan.generation,
        endpoints,
    })
}

pub(super) async fn read_plan(client: Arc<StoreClient>, zone: ZoneName) -> PlannerResult {
    let read = client.get(CallKind::PlannerLease, &plan_key(&zone)).await;
    let found = match read {
        Ok(None) => Some(StoredPlan {
            revision: None,
            plan: None,
        }),
        // A value that can't be decoded is overwritten.
        Ok(Some(stored)) => Some(StoredPlan {
            revision: Some(stored.revision),
            plan: decode_plan(&stored.value).ok(),
        }),
        Err(_) => None,
    };
    PlannerResult::Read(zone, found)
}

pub(super) async fn write_plan(client: Arc<StoreClient>, write: PendingWrite) -> PlannerResult {
    let PendingWrite {
        zone,
        plan,
        expected,
    } = write;
    let value: Bytes = encode_plan(&plan).expect("a plan serializes to JSON");
    let expected = expected.map_or(ExpectedValue::Absent, ExpectedValue::At);
    let key = plan_key(&zone);
    let written = client
        .put(CallKind::PlannerLease, &key, value, expected)
        .await;
    // After a conflict or a lost answer, the plan is read again before the next one is computed.
    let found = match written {
        Ok(revision) => Some(StoredPlan {
            revision: Some(revision),
            plan: Some(plan),
        }),
        Err(error) => {
            if let StoreError::TooLarge { bytes } = error {
                spdlog::error!("the plan of {zone} exceeds the store's size limit: {bytes} bytes");
            }
            None
        }
    };
    PlannerResult::Written(zone, found)
}
