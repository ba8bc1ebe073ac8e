//! The endpoint that an agent serves.

use std::sync::Arc;

use oatpier_ports::endpoint::EndpointClient;
use oatpier_types::names::{EndpointName, PoolName, ZoneName};
use oatpier_types::request::RequestGoal;

/// Identity of the endpoint that an agent serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointIdentity {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Pool of the endpoint.
    pub pool: PoolName,
    /// Availability zone of the endpoint.
    pub zone: ZoneName,
}

/// Clients for calls to the endpoint, by kind of request.
#[derive(Clone)]
pub struct EndpointClients {
    /// For requests to models.
    pub engine: Arc<dyn EndpointClient>,
    /// For calls to a plain service.
    pub service: Arc<dyn EndpointClient>,
}

impl EndpointClients {
    /// Returns the client for requests with this goal.
    #[must_use]
    pub fn for_goal(&self, goal: &RequestGoal) -> &Arc<dyn EndpointClient> {
        match goal {
            RequestGoal::Model { .. } => &self.engine,
            RequestGoal::Service { .. } => &self.service,
        }
    }
}
