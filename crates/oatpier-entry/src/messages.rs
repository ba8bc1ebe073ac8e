//! Messages exchanged only between entries.

use oatpier_claims::message::{ClaimAnswer, ClaimFinish, ClaimQuery, ClaimRelease};
use oatpier_placement::demand::DemandSummary;
use oatpier_types::names::DaemonName;
use oatpier_types::operator::DaemonGeneration;
use serde::{Deserialize, Serialize};

/// Path for [`ClaimCall`] messages.
pub const CLAIM_PATH: &str = "/entry/claim";
/// Path for [`DemandReport`] messages.
pub const DEMAND_PATH: &str = "/entry/demand";
/// Path that returns the active configuration generations of the agents registered with an entry.
pub const GENERATIONS_PATH: &str = "/entry/generations";

/// Request of an entry to a claimer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimCall {
    /// A request needs a key before it runs.
    #[serde(rename = "Ask")]
    Query(ClaimQuery),
    /// A request did not run and never will.
    Release(ClaimRelease),
    /// A request that held a key has ended.
    Finish(ClaimFinish),
}

/// Response of a claimer to a [`ClaimCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimReply {
    /// Response to a `Query`.
    Answer(ClaimAnswer),
    /// The release or finish is recorded in the store.
    Recorded,
    /// The release or finish is not in the store yet and has to be sent again.
    Pending,
}

/// Demand of one entry's callers.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DemandReport {
    /// The entry.
    pub entry: DaemonName,
    /// Its demand.
    pub summary: DemandSummary,
}

/// Active configuration generations that were reported to one entry directly.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct GenerationRows {
    /// Rows of the entry itself and of the agents registered with it.
    pub rows: Vec<DaemonGeneration>,
}
