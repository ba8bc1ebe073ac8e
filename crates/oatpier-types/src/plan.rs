//! Which endpoint holds which model.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::engine::{EngineRole, WeightsKey};
use crate::ids::{Generation, Term};
use crate::names::EndpointName;

/// What one endpoint is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointPlan {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// All weights that it is to have ready, base models before their adapters.
    pub weights: SmallVec<[WeightsKey; 8]>,
    /// The role that it is to have.
    pub role: EngineRole,
}

/// The plan of the whole fleet: one value in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlacementPlan {
    /// The planner lease that it was made under.
    pub term: Term,
    /// Counts up by one with each plan of any term.
    pub sequence: u64,
    /// The configuration that it was made for.
    pub generation: Generation,
    /// One row for each engine endpoint, sorted by endpoint.
    pub endpoints: Vec<EndpointPlan>,
}
