//! What the other duties of an agent tell its work duty.

use std::sync::Arc;

use oatpier_admission::event::LoadingWeights;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::Generation;

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
    Weights {
        /// All that callers may get.
        ready: Vec<WeightsKey>,
        /// All that are being loaded.
        loading: Vec<LoadingWeights>,
    },
    /// The agent is to leave.
    Leave,
}
