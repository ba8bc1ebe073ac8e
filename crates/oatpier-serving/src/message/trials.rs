//! Messages between gateways about trials of prompt parts that may crash endpoints.

use serde::{Deserialize, Serialize};

use crate::crashes::prompt_parts::trials::PartTrial;

/// Request of a gateway for a trial.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TrialAsk {
    /// Random identifier of the request.
    pub id: u64,
    /// The trial.
    pub trial: PartTrial,
}

/// Answer to a [`TrialAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TrialAnswer {
    /// Identifier of the request.
    pub id: u64,
    /// Whether the request with the parts may be sent.
    pub is_granted: bool,
}
