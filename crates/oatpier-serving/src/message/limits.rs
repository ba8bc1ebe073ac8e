//! Messages between gateways about limits and about endpoints that are leaving.

use std::time::Duration;

use oatpier_types::names::{EndpointName, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::engine::StartTime;
use crate::notice::RequestRate;
use crate::quota::PartIndex;
use crate::quota::holder::{PartAnswer, UnitsWanted};
use crate::quota::turns::TurnAnswer;

/// Query of a gateway to a holder for units. It is never repeated: if it or its answer is lost, the gateway sends a new
/// query to another holder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuotaAsk {
    /// Random identifier of the query.
    pub id: u64,
    /// Part of the limit.
    pub part: PartIndex,
    /// Workspace whose limit is queried.
    pub workspace: WorkspaceName,
    /// Units that are requested.
    pub wanted: UnitsWanted,
}

/// Answer of a holder to a [`QuotaAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuotaAnswer {
    /// Identifier of the query.
    pub id: u64,
    /// Granted units, or the reason why there are none.
    pub answer: PartAnswer,
}

/// Query of a gateway to a holder for a turn. It is never repeated: a turn whose answer is lost stays unused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TurnAsk {
    /// Random identifier of the query.
    pub id: u64,
    /// Part of the limit.
    pub part: PartIndex,
    /// Maximum time by which the turn may be in the future, in milliseconds.
    pub most_wait_ms: u32,
    /// Endpoint and its limit as known to the sender.
    pub limit: LimitReport,
}

/// Answer of a holder to a [`TurnAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TurnReply {
    /// Identifier of the query.
    pub id: u64,
    /// Granted turn, or the reason why there is none.
    pub answer: TurnAnswer,
}

/// Report that an endpoint is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeavingReport {
    /// Endpoint that is leaving.
    pub endpoint: EndpointName,
    /// Start time of its incarnation, if it reports one.
    pub start: Option<StartTime>,
}

/// Limit that an endpoint stated in a response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LimitReport {
    /// Endpoint that sent the response.
    pub endpoint: EndpointName,
    /// Start time of its incarnation, if it reports one.
    pub start: Option<StartTime>,
    /// Stated limit; `None` if the response stated none.
    pub rate: Option<RequestRate>,
    /// Age of the request that the endpoint responded to, in milliseconds since it was sent.
    pub sent_ago_ms: u32,
}

impl LimitReport {
    /// Returns the time since the request was sent.
    #[must_use]
    pub fn sent_ago(&self) -> Duration {
        Duration::from_millis(u64::from(self.sent_ago_ms))
    }
}
