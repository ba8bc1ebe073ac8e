//! What the planner needs to know of the fleet.

use std::sync::Arc;

use oatpier_membership::lease::lease_key;
use oatpier_membership::messages::EntryContact;
use oatpier_placement::planner::EndpointView;
use oatpier_types::config::FleetConfig;
use oatpier_types::ids::Generation;
use oatpier_types::names::ZoneName;

/// The key of the planner's lease where one planner plans for all.
const FLEET_LEASE: &str = "lease/planner";

/// What one planner plans for.
///
/// A small fleet has one: its engines are too few for each availability zone to hold all models.
/// A large one has a planner for each availability zone: no process then needs to know all
/// endpoints, and every model is reachable in each availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanGroup {
    /// The whole fleet.
    Fleet,
    /// One availability zone.
    Zone(ZoneName),
}

impl PlanGroup {
    /// Whether an availability zone belongs to the group.
    #[must_use]
    pub fn has_zone(&self, zone: &ZoneName) -> bool {
        match self {
            Self::Fleet => true,
            Self::Zone(own) => own == zone,
        }
    }

    /// The key of the planner's lease.
    #[must_use]
    pub fn lease_key(&self) -> String {
        match self {
            Self::Fleet => FLEET_LEASE.to_owned(),
            Self::Zone(zone) => lease_key(zone),
        }
    }
}

/// The fleet as an entry sees it at one point.
#[derive(Debug, Clone)]
pub struct FleetPicture {
    /// The configuration's generation.
    pub generation: Generation,
    /// The configuration in force.
    pub config: Arc<FleetConfig>,
    /// What is planned for.
    pub group: PlanGroup,
    /// The group's live entries.
    pub entries: Vec<EntryContact>,
    /// The group's engine endpoints, sorted by name.
    pub endpoints: Vec<EndpointView>,
}

impl FleetPicture {
    /// The availability zones of the group's endpoints, sorted.
    #[must_use]
    pub fn zones(&self) -> Vec<ZoneName> {
        let zones = self.endpoints.iter().map(|view| view.zone.clone());
        let mut zones: Vec<ZoneName> = zones.collect();
        zones.sort();
        zones.dedup();
        zones
    }
}
