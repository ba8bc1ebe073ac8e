//! Watches the plans in the store, on behalf of the agents that query this entry.

use std::time::Duration;

use oatpier_duty::messages::{PLAN_PREFIX, decode_plan, plan_key};
use oatpier_membership::budget::CallKind;
use oatpier_ports::store::KeyChange;
use oatpier_types::ids::Revision;
use oatpier_types::names::ZoneName;
use tokio::sync::watch;

use super::cache::PlanCache;
use super::snapshot::PlanGroup;
use crate::store::StoreClient;

/// Duration of one watch call: each entry makes one call in this time and receives data only after
/// a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Watches the plans of the group until the future is dropped. While the store is unavailable, the
/// last known plans stay in use.
pub(super) async fn watch_plans(
    client: &StoreClient,
    cache: &PlanCache,
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
        let watched = client.watch(kind, &prefix, seen, WATCH_TIMEOUT).await;
        match watched {
            Ok(changes) => {
                for change in changes {
                    seen = seen.max(change.revision);
                    apply_change(cache, &group, change);
                }
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

fn prefix_of(group: &PlanGroup) -> String {
    match group {
        PlanGroup::Fleet => PLAN_PREFIX.to_owned(),
        PlanGroup::Zone(zone) => plan_key(zone),
    }
}

fn apply_change(cache: &PlanCache, group: &PlanGroup, change: KeyChange) {
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
        Ok(plan) => cache.update(zone, plan),
        Err(error) => spdlog::error!("the plan of {zone} can't be decoded: {error}"),
    }
}
