//! What the duties of an agent tell each other.
//!
//! | ring | from | to | when it is full |
//! | --- | --- | --- | --- |
//! | `news` | membership, orders | work | the sender waits: no later message repeats it |
//! | `plan` | membership | orders | the sender waits: no later message repeats a configuration |
//! | `asks` | work | orders | the message is dropped: whoever asks for a release asks again, and counts of a drain are sent again |
//! | `status` | work | membership | the message is dropped: the next one makes it good |
//! | `calls` | work | membership | the call is answered "unavailable": entries push again |
//!
//! Each ring counts how often it was full. No duty that waits is waited for by its receiver, so
//! no two can wait for each other: work never waits, and nothing waits for membership.

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

/// Counts the words on drains, so that a count of attempts can be matched with them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct DrainRound(pub u64);

/// Weights that are to go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainingWeights {
    /// Which.
    pub weights: WeightsKey,
    /// Whether the engine would run new attempts on them although another version is ready: an
    /// engine takes the version that was loaded last, and a request names none.
    pub preferred: bool,
}

/// All weights of the endpoint, as callers may use them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WeightsNews {
    /// All that callers may get.
    pub ready: Vec<WeightsKey>,
    /// All that are being loaded.
    pub loading: Vec<LoadingWeights>,
    /// Ready weights that take no new attempts, since they are to go.
    pub draining: Vec<DrainingWeights>,
    /// Which word on drains this is.
    pub round: DrainRound,
}

/// News for the work duty.
#[derive(Debug, Clone)]
pub enum AgentNews {
    /// A configuration is in force.
    Config {
        /// Its generation.
        generation: Generation,
        /// Its content.
        config: Arc<FleetConfig>,
    },
    /// The weights in the endpoint changed.
    Weights(Box<WeightsNews>),
    /// The agent is to leave.
    Leave,
}

/// Attempts that still run on weights that are to go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainCount {
    /// The weights.
    pub weights: WeightsKey,
    /// Attempts that began before the drain and run.
    pub running: u32,
}

/// What the orders duty hears from membership.
#[derive(Debug, Clone)]
pub enum PlanNews {
    /// A configuration is in force.
    Config(Arc<FleetConfig>),
    /// An entry answered: fresh word on plan and replicas.
    View(Box<PlacementView>),
    /// No entry answers, and the store has this row.
    Row(Box<PlanRow>),
    /// No entry answers: what is known of replicas is of no use any more.
    Silent,
}

/// What the orders duty hears from the work duty.
#[derive(Debug)]
pub enum AsksNews {
    /// Another agent asks for a release.
    Release {
        /// What it asks.
        ask: ReleaseRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<ReleaseAnswer>,
    },
    /// What still runs on the draining weights.
    Drains {
        /// The word on drains that the counts are for.
        round: DrainRound,
        /// A count for each.
        counts: Vec<DrainCount>,
    },
}

/// A membership call that came to the agent.
#[derive(Debug)]
pub struct MembershipCall {
    /// The call.
    pub call: FleetCall,
    /// Where the answer goes.
    pub reply: oneshot::Sender<FleetAnswer>,
}

/// What the membership duty hears from the other duties.
#[derive(Debug, Clone)]
pub enum StatusNews {
    /// The work duty's whole word on the endpoint.
    Status(Box<EndpointStatus>),
    /// The weights that the orders duty holds or wants.
    Weights(Vec<WeightsKey>),
}
