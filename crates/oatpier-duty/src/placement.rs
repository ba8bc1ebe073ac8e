//! What an agent asks entries of the plan, and of who else holds its weights.
//!
//! Agents don't read the plan from the store: thousands of them would use up its rate. Entries
//! follow it and answer with the one row that concerns an endpoint.

use std::net::SocketAddr;

use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::Term;
use oatpier_types::names::{DaemonName, EndpointName, PoolName};
use oatpier_types::plan::EndpointPlan;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Where an entry answers a [`PlacementAsk`] with a [`PlacementView`].
pub const PLACEMENT_PATH: &str = "/peer/placement";

/// Which plan a row is of. A later one has the higher stamp.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlanStamp {
    /// The planner lease that it was made under.
    pub term: Term,
    /// Its place among all plans.
    pub sequence: u64,
}

/// One endpoint's row of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlanRow {
    /// Which plan.
    pub stamp: PlanStamp,
    /// The row.
    pub row: EndpointPlan,
}

/// An agent asks an entry what concerns its endpoint's weights.
///
/// The question names the weights that it is about, so that the answer is as small as the
/// endpoint's memory and does not grow with the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlacementAsk {
    /// The agent.
    pub daemon: DaemonName,
    /// Its endpoint.
    pub endpoint: EndpointName,
    /// The endpoint's pool.
    pub pool: PoolName,
    /// The weights that it holds or is to hold.
    pub weights: Vec<WeightsKey>,
}

/// An agent that holds weights.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderContact {
    /// Its endpoint.
    pub endpoint: EndpointName,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The live endpoints that have weights ready.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightsHolders {
    /// Which weights.
    pub weights: WeightsKey,
    /// A few holders, the best to ask first; never the endpoint that asked.
    pub holders: SmallVec<[HolderContact; 4]>,
}

/// What an entry knows that concerns one endpoint's weights.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlacementView {
    /// The endpoint's row of the plan, if the entry knows a plan with such a row.
    pub plan: Option<PlanRow>,
    /// Holders of the weights that were asked for, and of other versions of the same.
    pub holders: Vec<WeightsHolders>,
    /// Configured weights of the pool of which no version is ready at any live endpoint.
    pub unserved: Vec<WeightsKey>,
    /// The pool's live endpoints, the one that asked included; empty if nothing is unserved.
    pub live: Vec<EndpointName>,
}
