//! Messages between the duties of an agent.
//!
//! | ring | from | to | when it is full |
//! | --- | --- | --- | --- |
//! | `news` | membership, orders | work | the sender waits: no later message repeats it |
//! | `plan` | membership | orders | the sender waits: no later message repeats a configuration |
//! | `asks` | work | orders | the message is dropped: release requests are retried, and drain counts are sent again |
//! | `status` | work | membership | the message is dropped: the next one replaces it |
//! | `calls` | work | membership | the call is answered "unavailable": entries retry it |
//!
//! Each ring counts how often it was full. The rings can't deadlock: no receiver waits for a duty
//! that waits to send to it. The work duty never waits, and no duty waits for membership.

use std::sync::Arc;

use oatpier_admission::event::LoadingWeights;
use oatpier_duty::messages::{FleetAnswer, FleetCall};
use oatpier_placement::release::{ReleaseAnswer, ReleaseRequest};
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::Generation;
use oatpier_types::status::EndpointStatus;
use tokio::sync::oneshot;

use oatpier_duty::placement::{PlacementView, PlanRow};

/// Number of a drain announcement, which matches counts of attempts with the announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct DrainRound(pub u64);

/// Weights that take no new attempts before they are unloaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainingWeights {
    /// The weights.
    pub weights: WeightsKey,
    /// Whether the engine would run new attempts on them although another version is ready. An
    /// engine uses the version that was loaded last, as requests name no version.
    pub preferred: bool,
}

/// Availability of all weights of the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WeightsUpdate {
    /// Weights that requests may use.
    pub ready: Vec<WeightsKey>,
    /// Weights that are being loaded.
    pub loading: Vec<LoadingWeights>,
    /// Loaded weights that take no new attempts, since they will be unloaded.
    pub draining: Vec<DrainingWeights>,
    /// Round of this drain announcement.
    pub round: DrainRound,
}

/// Update for the work duty.
#[derive(Debug, Clone)]
pub enum WorkUpdate {
    /// A configuration became active.
    Config {
        /// Generation of the configuration.
        generation: Generation,
        /// Content of the configuration.
        config: Arc<FleetConfig>,
    },
    /// The availability of the endpoint's weights changed.
    Weights(Box<WeightsUpdate>),
    /// The agent must drain and stop.
    Leave,
}

/// Number of attempts that still run on draining weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainCount {
    /// The draining weights.
    pub weights: WeightsKey,
    /// Attempts that began before the drain and still run. For preferred weights, later attempts count as
    /// well.
    pub running: u32,
}

/// Update from membership for the orders duty.
#[derive(Debug, Clone)]
pub enum PlanUpdate {
    /// A configuration became active.
    Config(Arc<FleetConfig>),
    /// An entry answered with the current plan and replicas.
    View(Box<PlacementView>),
    /// No entry answers, and the store has this row of the plan.
    Row(Box<PlanRow>),
    /// No entry answers, and the known replicas are too old to use.
    ViewExpired,
}

/// Message from the work duty to the orders duty.
#[derive(Debug)]
pub enum OrdersMessage {
    /// Another agent requests a release.
    Release {
        /// The request.
        request: ReleaseRequest,
        /// Receives the answer.
        reply: oneshot::Sender<ReleaseAnswer>,
    },
    /// Attempts that still run on the draining weights.
    Drains {
        /// Round that the counts belong to.
        round: DrainRound,
        /// One count for each of the draining weights.
        counts: Vec<DrainCount>,
    },
}

/// A membership call that the agent received.
#[derive(Debug)]
pub struct MembershipCall {
    /// The call.
    pub call: FleetCall,
    /// Receives the answer.
    pub reply: oneshot::Sender<FleetAnswer>,
}

/// Update from the other duties for membership.
#[derive(Debug, Clone)]
pub enum StatusUpdate {
    /// Full status of the endpoint, from the work duty.
    Status(Box<EndpointStatus>),
    /// Weights that are loaded or planned, from the orders duty.
    Weights(Vec<WeightsKey>),
}
