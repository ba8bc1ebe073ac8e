//! From the plan's row to the next safe step.
//!
//! The stepper looks at what the engine holds and what the plan wants, and gives one step at a
//! time:
//!
//! 1. what is wanted and fits is loaded, a base model before its adapters;
//! 2. what is not wanted is unloaded, adapters before their base model, and only once whatever
//!    takes its place is ready, or when memory is short;
//! 3. before an unload: release (see [`crate::release`]), then drain, then the order.
//!
//! A change of version thus is: load the new one beside the old one, both charged; drain the old
//! one; unload it. Where both don't fit, the old one is released by another holder first, and
//! goes before the new one comes.

mod work;

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{OrderAction, WeightsKey};
use oatpier_types::names::EndpointName;
use oatpier_types::plan::EndpointPlan;
use smallvec::SmallVec;

use crate::orders::OrderKeeper;
use crate::release::{ReleaseAsk, ReleaseKeeper};
use work::{StepWork, is_wanted};

/// How many orders an agent brings to their end at once.
const MAX_MOVING: usize = 2;

/// How long an idle agent waits before it looks again.
pub const STEP_EVERY: Duration = Duration::from_millis(200);

/// What membership knows of other replicas.
pub trait ReplicaCount {
    /// Other live endpoints that have these weights ready, the best to ask first. May be stale:
    /// the release decides.
    fn ready_elsewhere(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]>;

    /// Other versions of these weights that are ready on other live endpoints. Callers are served
    /// by any version; without this, replicas that all have different old ones would wait for
    /// each other where memory does not hold two.
    fn other_versions(&self, _weights: &WeightsKey) -> SmallVec<[WeightsKey; 2]> {
        SmallVec::new()
    }
}

/// What the agent knows of its attempts.
pub trait AttemptCount {
    /// Attempts that run on these weights.
    fn in_flight(&self, weights: &WeightsKey) -> u32;
}

/// All that a step depends on.
#[derive(Clone, Copy)]
pub struct StepInput<'a> {
    /// The plan's row for this endpoint.
    pub plan: &'a EndpointPlan,
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// Other replicas.
    pub replicas: &'a dyn ReplicaCount,
    /// Attempts that run here.
    pub attempts: &'a dyn AttemptCount,
}

/// The next step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementStep {
    /// An order was begun with the keeper: go on with its commands.
    Ordered(OrderAction),
    /// Send the ask to the agent of another endpoint.
    AskRelease {
        /// Whose agent.
        to: EndpointName,
        /// The ask.
        ask: ReleaseAsk,
    },
    /// Take no new attempts for these weights; go on with those in flight.
    StartDrain(WeightsKey),
    /// Take new attempts for these weights again.
    ResumeServing(WeightsKey),
}

/// Why there is no step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StepWait {
    /// The endpoint is as planned.
    Done,
    /// An order, an ask or a drain has not ended.
    Busy,
    /// No order may be given now.
    NotReady,
    /// These are the last ready replica that is known; another has to be loaded elsewhere first.
    LastReplica(WeightsKey),
    /// No memory for these, and nothing here may go.
    NoMemory(WeightsKey),
}

/// Carries out the plan's row, one safe step at a time.
#[derive(Debug, Clone, Default)]
pub struct MoveStepper {
    draining: IndexMap<WeightsKey, ClockTime>,
}

impl MoveStepper {
    /// A stepper of an endpoint where nothing drains.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether these weights take new attempts, as far as moves go.
    #[must_use]
    pub fn takes_new(&self, weights: &WeightsKey) -> bool {
        !self.draining.contains_key(weights)
    }

    /// The next step.
    ///
    /// # Errors
    ///
    /// Says why there is none now.
    pub fn next_step(
        &mut self,
        input: StepInput<'_>,
        keeper: &mut OrderKeeper,
        releases: &mut ReleaseKeeper,
        now: ClockTime,
    ) -> Result<PlacementStep, StepWait> {
        releases.expire(now);
        self.forget_gone(keeper, releases, now);
        if keeper.check_ready().is_err() {
            return Err(StepWait::NotReady);
        }
        if let Some(step) = self.resume_wanted(input, keeper, releases, now) {
            return Ok(step);
        }
        if keeper.moving() >= MAX_MOVING {
            return Err(StepWait::Busy);
        }
        let mut work = StepWork {
            input,
            keeper,
            releases,
            draining: &mut self.draining,
            wait: StepWait::Done,
        };
        match work.find_step(now) {
            Some(step) => Ok(step),
            None => Err(work.wait),
        }
    }

    /// Weights that are gone need neither drain nor release any more.
    fn forget_gone(&mut self, keeper: &OrderKeeper, releases: &mut ReleaseKeeper, now: ClockTime) {
        let gone = |weights: &WeightsKey| {
            keeper.ledger().state_of(weights).is_none() && !keeper.is_moving(weights)
        };
        self.draining.retain(|weights, _| !gone(weights));
        let ended: Vec<WeightsKey> = releases
            .releasing()
            .filter(|weights| gone(weights) && !keeper.may_vanish(weights, now))
            .cloned()
            .collect();
        for weights in ended {
            releases.end(&weights);
        }
    }

    /// The plan wants weights again that were about to go. Their release ends, whether or not the
    /// drain had begun: else this agent would refuse all that ask it for good.
    fn resume_wanted(
        &mut self,
        input: StepInput<'_>,
        keeper: &OrderKeeper,
        releases: &mut ReleaseKeeper,
        now: ClockTime,
    ) -> Option<PlacementStep> {
        let stays = |weights: &WeightsKey| {
            is_wanted(input, keeper, weights, now) && !keeper.may_vanish(weights, now)
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
