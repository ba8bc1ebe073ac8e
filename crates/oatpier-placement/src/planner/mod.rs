//! Planning of which endpoint holds which weights.
//!
//! [`PlacementPlanner`] is the planner used in production. [`StaticPlanner`] and
//! [`GreedyPlanner`] are baselines for benchmarks.

mod baselines;
mod emptying;
mod forecast;
mod layout;
mod placement;
mod pool_profile;
mod slot_search;
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

/// The planner's view of one engine endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Pool of the endpoint.
    pub pool: PoolName,
    /// Availability zone of the endpoint.
    pub zone: ZoneName,
    /// Whether membership reports it as serving.
    pub alive: bool,
    /// Whether it is leaving, or a planned stop includes it.
    pub leaving: bool,
    /// Weights that it holds.
    pub held: SmallVec<[HeldWeights; 8]>,
    /// Role of its engine.
    pub role: EngineRole,
    /// Time to process one prompt token, in nanoseconds; 0 if unknown.
    pub prompt_token_ns: u32,
    /// Time of one generation step, in microseconds; 0 if unknown.
    pub step_us: u32,
}

/// Input of a planning step.
#[derive(Clone, Copy)]
pub struct PlannerInput<'a> {
    /// The current configuration.
    pub config: &'a FleetConfig,
    /// Generation of the configuration.
    pub generation: Generation,
    /// Term of the planner lease.
    pub term: Term,
    /// Demand of the whole fleet.
    pub demand: &'a DemandSummary,
    /// All known engine endpoints, sorted by name.
    pub endpoints: &'a [EndpointView],
    /// The current plan, of any term.
    pub previous: Option<&'a PlacementPlan>,
}

/// A requirement that the plan does not meet yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanNote {
    /// No live endpoint has memory for these weights.
    Unplaced {
        /// The weights.
        weights: WeightsKey,
        /// Memory that the weights need, including their base model if they are an adapter, in MiB.
        needed_mib: u64,
        /// Largest free memory of any endpoint in their pool, in MiB.
        largest_free_mib: u64,
    },
    /// A version change waits for another replica.
    VersionWaits(WeightsKey),
    /// The endpoint is above the high load, and no slot was found for a replica that reduces it.
    Overloaded(EndpointName),
}

/// A plan with its statistics and notes.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanOutcome {
    /// The plan.
    pub plan: PlacementPlan,
    /// Number of loads that it adds to the current plan.
    pub loads: u32,
    /// Number of unloads that it adds to the current plan.
    pub unloads: u32,
    /// Number of endpoints that hold any weights.
    pub endpoints_used: u32,
    /// Requirements that the plan does not meet.
    pub notes: Vec<PlanNote>,
}

/// A placement planner.
pub trait FleetPlanner {
    /// Returns the planner's name in reports.
    fn name(&self) -> &'static str;

    /// Returns the next plan. The same sequence of inputs gives the same sequence of plans.
    fn plan(&mut self, input: &PlannerInput<'_>, now: ClockTime) -> PlanOutcome;
}

/// Thresholds and costs of the planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// Load of an endpoint above which replicas are added elsewhere, as a fraction of its capacity.
    pub high_load: f64,
    /// Load below which an endpoint may be emptied, and up to which its weights may be placed on other
    /// endpoints. Well below `high_load`, so that weights do not move back and forth.
    pub low_load: f64,
    /// Minimum load that is assumed for each model, so that models without demand are not all placed
    /// on one endpoint.
    pub assumed_load: f64,
    /// Rate in requests per second from which a model gets a second replica, if an endpoint in use
    /// has free memory for it.
    pub add_second_rate: f64,
    /// Rate in requests per second from which a model keeps two replicas when an endpoint is emptied.
    pub keep_second_rate: f64,
    /// Time within which the gain of a move must exceed its cost.
    pub horizon: Duration,
    /// Cost of a move, in seconds of one request slot of an endpoint.
    pub move_cost: f64,
    /// Minimum time that an added replica stays.
    pub dwell: Duration,
    /// Minimum time between two rounds in which endpoints are emptied.
    pub emptying_interval: Duration,
    /// Maximum number of pending loads beyond those that reachability needs, as a multiple of the
    /// loads that the weight store runs concurrently at full speed.
    pub pending_load_factor: u32,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            high_load: 0.85,
            low_load: 0.5,
            assumed_load: 0.02,
            add_second_rate: 2.5,
            keep_second_rate: 5.0,
            horizon: Duration::from_mins(5),
            move_cost: 120.0,
            dwell: Duration::from_mins(10),
            emptying_interval: Duration::from_mins(2),
            pending_load_factor: 1,
        }
    }
}
