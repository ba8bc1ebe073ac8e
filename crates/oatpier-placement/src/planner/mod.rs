//! Which endpoint is to hold which weights.
//!
//! [`PlacementPlanner`] is the product's planner. [`StaticPlanner`] and [`GreedyPlanner`] stand
//! beside it to be compared with in benches.

mod baselines;
mod board;
mod emptying;
mod figures;
mod forecast;
mod placement;
mod seek;
mod versions;

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{EngineRole, HeldWeights, WeightsKey};
use oatpier_types::ids::{Generation, Term};
use oatpier_types::names::{EndpointName, PoolName, ZoneName};
use oatpier_types::plan::PlacementPlan;
use smallvec::SmallVec;

use crate::demand::DemandSummary;

pub use baselines::{GreedyPlanner, StaticPlanner};
pub use forecast::{MemoryShortage, StopForecast, check_reachable};
pub use placement::PlacementPlanner;

/// What the planner knows of one engine endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its pool.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it serves, as far as membership knows.
    pub alive: bool,
    /// Whether it is leaving, or a planned stop names it.
    pub leaving: bool,
    /// What it holds.
    pub held: SmallVec<[HeldWeights; 8]>,
    /// Its role.
    pub role: EngineRole,
    /// Time to read one prompt token, in nanoseconds; 0: not known.
    pub prompt_token_ns: u32,
    /// Time of one generation step, in microseconds; 0: not known.
    pub step_us: u32,
}

/// All that a plan depends on.
#[derive(Clone, Copy)]
pub struct PlannerInput<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// Its generation.
    pub generation: Generation,
    /// The planner lease.
    pub term: Term,
    /// Demand of the whole fleet.
    pub demand: &'a DemandSummary,
    /// All engine endpoints that are known, sorted by name.
    pub endpoints: &'a [EndpointView],
    /// The plan in force, of whatever term.
    pub previous: Option<&'a PlacementPlan>,
}

/// What the plan could not do, or why it does more than demand asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanNote {
    /// No live endpoint has memory for these weights.
    Unplaced {
        /// Which.
        weights: WeightsKey,
        /// What they need, with their base model where it is not there, in MiB.
        needed_mib: u64,
        /// The most that is free on one endpoint of their pool, in MiB.
        largest_free_mib: u64,
    },
    /// A change of version waits for another replica.
    VersionWaits(WeightsKey),
    /// Endpoints that carry more than they should, and no memory was found to relieve them.
    Overloaded(EndpointName),
}

/// A plan, and what is to be said of it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanOutcome {
    /// The plan.
    pub plan: PlacementPlan,
    /// Loads that it asks for beyond the plan in force.
    pub loads: u32,
    /// Unloads that it asks for beyond the plan in force.
    pub unloads: u32,
    /// Endpoints that are to hold anything.
    pub endpoints_used: u32,
    /// Notes.
    pub notes: Vec<PlanNote>,
}

/// Makes plans.
pub trait FleetPlanner {
    /// The planner's name in reports.
    fn name(&self) -> &'static str;

    /// The next plan. Equal inputs in equal order give equal plans.
    fn plan(&mut self, input: &PlannerInput<'_>, now: ClockTime) -> PlanOutcome;
}

/// How the planner weighs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// The share of an endpoint's time above which it is relieved.
    pub high_load: f64,
    /// The share of an endpoint's time below which all must stay when a replica goes. Well under
    /// `high_load`, so that nothing is moved to and fro.
    pub low_load: f64,
    /// The load that a model without demand is assumed to bring, so that not all quiet models
    /// are packed on one endpoint.
    pub assumed_load: f64,
    /// From this rate on, in requests a second, a model gets a second replica in memory that is
    /// free on endpoints in use.
    pub fill_rate: f64,
    /// From this rate on, in requests a second, a model keeps two replicas when an endpoint is
    /// emptied.
    pub pair_rate: f64,
    /// Over which time a move has to pay.
    pub horizon: Duration,
    /// What a move costs, in seconds of one request's place at an endpoint.
    pub move_cost: f64,
    /// How long a replica stays before it may go again.
    pub dwell: Duration,
    /// The shortest time between two rounds in which endpoints are emptied.
    pub empty_every: Duration,
    /// Loads that may be open beyond what reachability needs, as a multiple of the loads that
    /// the weight store runs at full speed.
    pub open_loads: u32,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            high_load: 0.85,
            low_load: 0.5,
            assumed_load: 0.02,
            fill_rate: 2.5,
            pair_rate: 5.0,
            horizon: Duration::from_mins(5),
            move_cost: 120.0,
            dwell: Duration::from_mins(10),
            empty_every: Duration::from_mins(2),
            open_loads: 1,
        }
    }
}
