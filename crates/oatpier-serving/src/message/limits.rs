//! What gateways tell each other of limits, and of endpoints that leave.

use std::time::Duration;

use oatpier_types::names::{EndpointName, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::engine::StartTime;
use crate::notice::RequestRate;
use crate::quota::PartIndex;
use crate::quota::holder::{PartAnswer, UnitsWanted};
use crate::quota::turns::TurnAnswer;

/// A gateway asks a holder for units. Never repeated: what is lost on the way is asked for anew, elsewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuotaAsk {
    /// Tells asks apart; drawn at random.
    pub id: u64,
    /// Which part of the limit.
    pub part: PartIndex,
    /// Whose limit.
    pub workspace: WorkspaceName,
    /// How much.
    pub wanted: UnitsWanted,
}

/// A holder's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuotaAnswer {
    /// The ask that it answers.
    pub id: u64,
    /// What it says.
    pub answer: PartAnswer,
}

/// A gateway asks a holder for a turn. Never repeated: a turn whose answer is lost is lost.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TurnAsk {
    /// Tells asks apart; drawn at random.
    pub id: u64,
    /// Which part of the limit.
    pub part: PartIndex,
    /// How far ahead the turn may be, in milliseconds.
    pub most_wait_ms: u32,
    /// The endpoint, and its limit as the asker knows it.
    pub limit: LimitWord,
}

/// A holder's answer to an ask for a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TurnReply {
    /// The ask that it answers.
    pub id: u64,
    /// What it says.
    pub answer: TurnAnswer,
}

/// An endpoint that leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeavingWord {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Which start of it, if it tells.
    pub start: Option<StartTime>,
}

/// What an endpoint's answer said of its limit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LimitWord {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Which start of it, if it tells.
    pub start: Option<StartTime>,
    /// The limit; none if the answer named none.
    pub rate: Option<RequestRate>,
    /// How long ago the request was sent that it answered, in milliseconds.
    pub sent_ago_ms: u32,
}

impl LimitWord {
    /// How long ago the request was sent.
    #[must_use]
    pub fn sent_ago(&self) -> Duration {
        Duration::from_millis(u64::from(self.sent_ago_ms))
    }
}
