//! Finds the next safe step towards the plan's row.
//!
//! The stepper compares the weights that the engine holds with the plan's row, and returns one
//! step at a time:
//!
//! 1. Planned weights that fit are loaded, a base model before its adapters.
//! 2. Weights that are not planned are unloaded, adapters before their base model, and only once
//!    their replacement is ready, or when memory is short.
//! 3. An unload needs a release first (see [`crate::release`]), then a drain, then the order.
//!
//! A version change therefore loads the new version beside the old one, with both charged, then
//! drains the old one and unloads it. Where both do not fit, another holder releases the old
//! version first, and it is unloaded before the new one is loaded.

mod search;

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{OrderAction, WeightsKey};
use oatpier_types::names::EndpointName;
use oatpier_types::plan::EndpointPlan;
use smallvec::SmallVec;

use crate::orders::OrderKeeper;
use crate::release::{ReleaseKeeper, ReleaseRequest};
use search::{StepSearch, is_wanted};

/// Maximum number of orders with an unknown outcome per agent.
const MAX_PENDING_ORDERS: usize = 2;

/// Interval at which an idle agent checks for a next step.
pub const STEP_INTERVAL: Duration = Duration::from_millis(200);

/// Membership's view of other replicas.
pub trait ReplicaView {
    /// Returns other live endpoints that have these weights ready, the preferred one to ask first. May
    /// be stale: the release protocol decides.
    fn ready_elsewhere(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]>;

    /// Returns other versions of these weights that are ready on other live endpoints.
    ///
    /// Any version serves callers. Without this, replicas that all have different old versions would
    /// wait for each other where memory does not hold two versions.
    fn other_versions(&self, _weights: &WeightsKey) -> SmallVec<[WeightsKey; 2]> {
        SmallVec::new()
    }
}

/// The agent's count of running attempts.
pub trait AttemptCount {
    /// Returns the number of attempts that run on these weights.
    fn in_flight(&self, weights: &WeightsKey) -> u32;
}

/// Input for finding a step.
#[derive(Clone, Copy)]
pub struct StepInput<'a> {
    /// The plan's row for this endpoint.
    pub plan: &'a EndpointPlan,
    /// The current configuration.
    pub config: &'a FleetConfig,
    /// Other replicas.
    pub replicas: &'a dyn ReplicaView,
    /// Attempts that run on this endpoint.
    pub attempts: &'a dyn AttemptCount,
}

/// A step towards the plan's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementStep {
    /// The keeper has started an order: execute the keeper's commands.
    Ordered(OrderAction),
    /// Send the request to the agent of another endpoint.
    RequestRelease {
        /// Endpoint of that agent.
        to: EndpointName,
        /// The request.
        request: ReleaseRequest,
    },
    /// Accept no new attempts for these weights, and continue those in flight.
    StartDrain(WeightsKey),
    /// Accept new attempts for these weights again.
    ResumeServing(WeightsKey),
}

/// Reason why there is no step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepWait {
    /// The endpoint matches the plan.
    Done,
    /// An order, a request or a drain is pending.
    Busy,
    /// No order may be sent now.
    NotReady,
    /// This is the last known ready replica of the weights; another has to be loaded elsewhere first.
    LastReplica(WeightsKey),
    /// There is no memory for these weights, and no weights here may be unloaded.
    NoMemory(WeightsKey),
}

/// Stepper that applies the plan's row to one endpoint, one safe step at a time.
#[derive(Debug, Clone, Default)]
pub struct MoveStepper {
    draining: IndexMap<WeightsKey, ClockTime>,
}

impl MoveStepper {
    /// Creates a stepper without draining weights.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether these weights accept new attempts, that is, they are not draining.
    #[must_use]
    pub fn accepts_new(&self, weights: &WeightsKey) -> bool {
        !self.draining.contains_key(weights)
    }

    /// Returns the next step.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no step now.
    pub fn next_step(
        &mut self,
        input: StepInput<'_>,
        keeper: &mut OrderKeeper,
        releases: &mut ReleaseKeeper,
        now: ClockTime,
    ) -> Result<PlacementStep, StepWait> {
        releases.expire(now);
        self.remove_unloaded(keeper, releases, now);
        if keeper.check_ready().is_err() {
            return Err(StepWait::NotReady);
        }
        if let Some(step) = self.resume_wanted(input, keeper, releases, now) {
            return Ok(step);
        }
        if keeper.pending_orders() >= MAX_PENDING_ORDERS {
            return Err(StepWait::Busy);
        }
        let mut search = StepSearch {
            input,
            keeper,
            releases,
            draining: &mut self.draining,
            wait: StepWait::Done,
        };
        match search.find_step(now) {
            Some(step) => Ok(step),
            None => Err(search.wait),
        }
    }

    /// Ends the drains and releases of weights that are unloaded.
    fn remove_unloaded(
        &mut self,
        keeper: &OrderKeeper,
        releases: &mut ReleaseKeeper,
        now: ClockTime,
    ) {
        let is_unloaded = |weights: &WeightsKey| {
            keeper.ledger().state_of(weights).is_none() && !keeper.has_pending_order(weights)
        };
        self.draining.retain(|weights, _| !is_unloaded(weights));
        let ended: Vec<WeightsKey> = releases
            .releasing()
            .filter(|weights| is_unloaded(weights) && !keeper.may_be_unloaded(weights, now))
            .cloned()
            .collect();
        for weights in ended {
            releases.end(&weights);
        }
    }

    /// Resumes weights that were about to be unloaded and are in the plan again.
    ///
    /// Their release ends even if the drain had not started. Otherwise this agent would deny all
    /// requests for these weights forever.
    fn resume_wanted(
        &mut self,
        input: StepInput<'_>,
        keeper: &OrderKeeper,
        releases: &mut ReleaseKeeper,
        now: ClockTime,
    ) -> Option<PlacementStep> {
        let stays = |weights: &WeightsKey| {
            is_wanted(input, keeper, weights, now) && !keeper.may_be_unloaded(weights, now)
        };
        let kept: Vec<WeightsKey> = releases.releasing().filter(|w| stays(w)).cloned().collect();
        for weights in kept {
            releases.end(&weights);
        }
        let wanted = self
            .draining
            .keys()
            .find(|weights| stays(weights))
            .cloned()?;
        self.draining.shift_remove(&wanted);
        Some(PlacementStep::ResumeServing(wanted))
    }
}
