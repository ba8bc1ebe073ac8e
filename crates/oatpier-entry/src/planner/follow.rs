//! Watches the plans in the store, on behalf of the agents that query this entry.

use std::time::Duration;

use oatpier_duty::messages::{PLAN_PREFIX, decode_plan, plan_key};
use oatpier_membership::budget::CallKind;
use oatpier_ports::store::KeyChange;
use oatpier_types::ids::Revision;
use oatpier_types::names::ZoneName;
use tokio::sync::watch;

use super::board::PlannerBoard;
use super::picture::PlanGroup;
use crate::store::StoreGate;

/// Duration of one watch call: each entry makes one call in this time and receives data only after
/// a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Delay after a failed call.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// Watches the plans of the group until the future is dropped. While the store is unavailable, the
/// last known plans stay in use.
pub(super) async fn follow_plans(
    gate: &StoreGate,
    board: &PlannerBoard,
    mut groups: watch::Receiver<Option<PlanGroup>>,
) {
    let mut seen = Revision(0);
    loop {
        let group = groups.borrow_and_update().clone();
        let Some(group) = group else {
            if groups.changed().await.is_err() {
                return;
            }
            continue;
        };
        let prefix = prefix_of(&group);
        let kind = CallKind::PlanRead;
        let watched = gate.watch(kind, &prefix, seen, WATCH_WAIT).await;
        match watched {
            Ok(changes) => {
                for change in changes {
                    seen = seen.max(change.revision);
                    show(board, &group, change);
                }
            }
            Err(_) => tokio::time::sleep(RETRY_WAIT).await,
        }
    }
}

fn prefix_of(group: &PlanGroup) -> String {
    match group {
        PlanGroup::Fleet => PLAN_PREFIX.to_owned(),
        PlanGroup::Zone(zone) => plan_key(zone),
    }
}

fn show(board: &PlannerBoard, group: &PlanGroup, change: KeyChange) {
    let name = change.key.strip_prefix(PLAN_PREFIX);
    let zone = name.and_then(|name| ZoneName::try_from(name).ok());
    let (Some(zone), Some(value)) = (zone, change.value) else {
        return;
    };
    // Ignores keys that only share the prefix with the zone's key; they belong to other zones.
    if !group.has_zone(&zone) {
        return;
    }
    match decode_plan(&value) {
        Ok(plan) => board.show(zone, plan),
        Err(error) => spdlog::error!("the plan of {zone} can't be decoded: {error}"),
    }
}
