//! Fleet state that the planner works on.

use std::sync::Arc;

use oatpier_membership::lease::lease_key;
use oatpier_membership::messages::EntryContact;
use oatpier_placement::planner::EndpointView;
use oatpier_types::config::FleetConfig;
use oatpier_types::ids::Generation;
use oatpier_types::names::ZoneName;

/// Key of the planner lease if one planner serves the whole fleet.
const FLEET_LEASE_KEY: &str = "lease/planner";

/// Scope of one planner.
///
/// A small fleet has one planner: it has too few engines for each availability zone to hold all
/// models. A large fleet has one planner per availability zone: no process then needs to know all
/// endpoints, and every model is reachable in each availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanGroup {
    /// The whole fleet.
    Fleet,
    /// One availability zone.
    Zone(ZoneName),
}

impl PlanGroup {
    /// Returns whether an availability zone belongs to the group.
    #[must_use]
    pub fn has_zone(&self, zone: &ZoneName) -> bool {
        match self {
            Self::Fleet => true,
            Self::Zone(own) => own == zone,
        }
    }

    /// Returns the key of the planner lease.
    #[must_use]
    pub fn lease_key(&self) -> String {
        match self {
            Self::Fleet => FLEET_LEASE_KEY.to_owned(),
            Self::Zone(zone) => lease_key(zone),
        }
    }
}

/// Snapshot of the fleet as seen by one entry.
#[derive(Debug, Clone)]
pub struct FleetSnapshot {
    /// Generation of the configuration.
    pub generation: Generation,
    /// The active configuration.
    pub config: Arc<FleetConfig>,
    /// Scope of the planner.
    pub group: PlanGroup,
    /// Live entries of the group.
    pub entries: Vec<EntryContact>,
    /// Engine endpoints of the group, sorted by name.
    pub endpoints: Vec<EndpointView>,
}

impl FleetSnapshot {
    /// Returns the availability zones of the group's endpoints, sorted.
    #[must_use]
    pub fn zones(&self) -> Vec<ZoneName> {
        let zones = self.endpoints.iter().map(|view| view.zone.clone());
        let mut zones: Vec<ZoneName> = zones.collect();
        zones.sort();
        zones.dedup();
        zones
    }
}
