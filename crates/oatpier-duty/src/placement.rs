//! Queries from agents to entries about the plan and about other holders of their weights.
//!
//! Agents don't read the plan from the store, because thousands of them would exceed the store's request rate.
//! Entries follow the plan and respond with the single row for an endpoint.

use std::net::SocketAddr;

use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::Term;
use oatpier_types::names::{DaemonName, EndpointName, PoolName};
use oatpier_types::plan::EndpointPlan;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// The path at which an entry responds to a [`PlacementQuery`] with a [`PlacementView`].
pub const PLACEMENT_PATH: &str = "/peer/placement";

/// Identifies the plan of a row. Later plans have higher stamps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlanStamp {
    /// The term of the planner lease under which the plan was made.
    pub term: Term,
    /// The sequence number of the plan among all plans.
    pub sequence: u64,
}

/// One endpoint's row of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlanRow {
    /// The plan that contains the row.
    pub stamp: PlanStamp,
    /// The row.
    pub row: EndpointPlan,
}

/// A query from an agent to an entry about its endpoint's weights.
///
/// The query lists the weights in question, so that the size of the response depends on the endpoint's memory and
/// not on the size of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlacementQuery {
    /// The agent that asks.
    pub daemon: DaemonName,
    /// The agent's endpoint.
    pub endpoint: EndpointName,
    /// The endpoint's pool.
    pub pool: PoolName,
    /// The weights that the endpoint holds or is planned to hold.
    pub weights: Vec<WeightsKey>,
}

/// An agent that holds weights.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderContact {
    /// The agent's endpoint.
    pub endpoint: EndpointName,
    /// The address at which the agent listens.
    pub address: SocketAddr,
}

/// The live endpoints that have weights ready.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightsHolders {
    /// The weights.
    pub weights: WeightsKey,
    /// A few holders, the preferred one first. The querying endpoint is never included.
    pub holders: SmallVec<[HolderContact; 4]>,
}

/// An entry's view of the plan and of the holders of one endpoint's weights.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlacementView {
    /// The endpoint's row of the plan, if the entry knows a plan with such a row.
    pub plan: Option<PlanRow>,
    /// Holders of the queried weights and of other versions of the same weights.
    pub holders: Vec<WeightsHolders>,
    /// Configured weights of the pool for which no version is ready at any live endpoint.
    pub unserved: Vec<WeightsKey>,
    /// The pool's live endpoints, including the querying one; empty if nothing is unserved.
    pub live: Vec<EndpointName>,
}
