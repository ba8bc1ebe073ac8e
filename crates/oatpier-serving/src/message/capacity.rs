//! Messages about the capacity of engines and its use.
//!
//! They are separate from the status updates, which sidecars and gateways of earlier versions would otherwise fail to
//! decode: those versions skip datagrams of unknown kinds. They are sent about once a second.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{MessageNumber, PermitAsk};
use crate::capacity::EnginePace;
use crate::engine::StartTime;
use crate::sharing::{ShareStanding, WorkspaceUse};

/// Pace of an engine as reported by its sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PaceStatus {
    /// Sequence number among the sidecar's pace updates.
    pub number: MessageNumber,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Start time of the engine's incarnation that was observed, if it reports one.
    pub start: Option<StartTime>,
    /// The pace.
    pub pace: EnginePace,
}

/// Use of an engine by workspaces as reported by its sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShareStatus {
    /// Sequence number among the sidecar's share updates.
    pub number: MessageNumber,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// The workspaces with the largest use.
    pub uses: Vec<WorkspaceUse>,
}

/// Request of a gateway for a permit, with what the engine will do for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RatedPermitAsk {
    /// The request for a permit.
    pub ask: PermitAsk,
    /// Number of prompt tokens that the engine has to prefill, as far as known.
    pub prefill_tokens: u32,
    /// Expected number of output tokens.
    pub output_tokens: u32,
    /// Standing of the request's workspace; `None` where callers have no workspace.
    pub share: Option<ShareStanding>,
    /// Whether endpoints of the service have lately reported that their VMs are disturbed. The sidecar then observes the
    /// pace of its engine.
    pub is_disturbed: bool,
}
