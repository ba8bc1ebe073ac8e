//! The endpoint that an agent stands beside.

use std::sync::Arc;

use oatpier_ports::endpoint::EndpointClient;
use oatpier_types::names::{EndpointName, PoolName, ZoneName};
use oatpier_types::request::RequestGoal;

/// Which endpoint an agent stands beside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointIdentity {
    /// Its name.
    pub endpoint: EndpointName,
    /// Its pool.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The endpoint's working side, by what is asked of it.
#[derive(Clone)]
pub struct EndpointWorks {
    /// For requests to models.
    pub engine: Arc<dyn EndpointClient>,
    /// For calls to a plain service.
    pub service: Arc<dyn EndpointClient>,
}

impl EndpointWorks {
    /// The side that takes a goal.
    #[must_use]
    pub fn of(&self, goal: &RequestGoal) -> &Arc<dyn EndpointClient> {
        match goal {
            RequestGoal::Model { .. } => &self.engine,
            RequestGoal::Service { .. } => &self.service,
        }
    }
}
