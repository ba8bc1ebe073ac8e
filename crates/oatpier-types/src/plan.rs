//! The assignment of models to endpoints.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::engine::{EngineRole, WeightsKey};
use crate::ids::{Generation, Term};
use crate::names::EndpointName;

/// The planned weights and role of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointPlan {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// All weights that the endpoint must have ready, base models before their adapters.
    pub weights: SmallVec<[WeightsKey; 8]>,
    /// The planned role of the endpoint.
    pub role: EngineRole,
}

/// The placement plan of the whole fleet, stored as a single value.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlacementPlan {
    /// The term of the planner lease under which the plan was written.
    pub term: Term,
    /// Increases by one with each plan, across terms.
    pub sequence: u64,
    /// The generation of the configuration that the plan is based on.
    pub generation: Generation,
    /// One entry per engine endpoint, sorted by endpoint name.
    pub endpoints: Vec<EndpointPlan>,
}
