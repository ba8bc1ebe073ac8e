//! The messages between entries that nobody else needs to know.

use oatpier_claims::message::{ClaimAnswer, ClaimFinish, ClaimQuery, ClaimRelease};
use oatpier_placement::demand::DemandSummary;
use oatpier_types::names::DaemonName;
use oatpier_types::operator::DaemonGeneration;
use serde::{Deserialize, Serialize};

/// Where an entry takes a [`ClaimCall`].
pub const CLAIM_PATH: &str = "/entry/claim";
/// Where an entry takes a [`DemandWord`].
pub const DEMAND_PATH: &str = "/entry/demand";
/// Where an entry says which configuration is in force at the agents that are registered with it.
pub const GENERATIONS_PATH: &str = "/entry/generations";

/// One entry's word to a claimer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimCall {
    /// A request wants to run under a key.
    Ask(ClaimQuery),
    /// A request did not run and never will.
    Release(ClaimRelease),
    /// A request that held a key is over.
    Finish(ClaimFinish),
}

/// A claimer's answer to a [`ClaimCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ClaimReply {
    /// To an ask.
    Answer(ClaimAnswer),
    /// A release or a finish is in the store.
    Recorded,
    /// It is not in the store yet: it is to be said again.
    Pending,
}

/// The demand that one entry sees.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct DemandWord {
    /// The entry.
    pub entry: DaemonName,
    /// Its demand.
    pub summary: DemandSummary,
}

/// Which configuration is in force where, as one entry hears it itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct GenerationRows {
    /// The entry, and the agents that are registered with it.
    pub rows: Vec<DaemonGeneration>,
}
