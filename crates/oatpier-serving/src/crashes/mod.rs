//! Detection of requests that crash the endpoints that run them.
//!
//! An engine may crash while it runs a certain request, which also breaks the streams of a dozen other callers. The
//! caller then sends the same request under a new id to any gateway, and it crashes the next engine. Health records of
//! endpoints cannot prevent this, so crashes are also recorded for the requests that were running.
//!
//! - [`changes`]: changes that are to be written to the store.
//! - [`broken_attempts`]: attempts whose connection broke, tracked until it is known whether their endpoint crashed.
//! - [`prompt_parts`]: parts of prompts that crash endpoints, whatever else their requests contain.
//! - [`suspects`]: requests that were running at crashed endpoints, and which of them are barred.
//!
//! An endpoint runs dozens of requests, and all of them become suspects when it crashes. A request is barred at its
//! third crash without a complete answer in between. A complete answer at any gateway clears it. The records are kept
//! in the platform's store, so that they survive restarts of all gateways.

pub mod broken_attempts;
pub mod changes;
pub mod prompt_parts;
pub mod suspects;

use std::fmt;
use std::sync::Arc;

use oatpier_types::names::{ClassName, EndpointName, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::engine::StartTime;
use crate::fingerprint::RequestFingerprint;

/// Crashed incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct CrashSite {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Start time of the incarnation, in Unix milliseconds. An endpoint may restart under the same name.
    pub started_ms: Option<u64>,
}

impl CrashSite {
    /// Creates the site for an incarnation of an endpoint.
    #[must_use]
    pub fn new(endpoint: EndpointName, start: Option<StartTime>) -> Self {
        Self {
            endpoint,
            started_ms: start.map(|start| start.0),
        }
    }
}

impl fmt::Display for CrashSite {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_ms {
            Some(started) => write!(formatter, "{}@{started}", self.endpoint),
            None => write!(formatter, "{}", self.endpoint),
        }
    }
}

/// Origin of a request. It is shown to operators, and limits evictions to suspects of the same owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestOrigin {
    /// Host that the caller addressed.
    pub host: Arc<str>,
    /// Workspace that owns the caller's key; `None` if callers need no keys.
    pub workspace: Option<WorkspaceName>,
    /// Class of the request.
    pub route: ClassName,
}

impl RequestOrigin {
    /// Returns the owner of the request: the workspace, or the host if callers need no keys.
    #[must_use]
    pub fn owner(&self) -> &str {
        let workspace = self.workspace.as_ref();
        workspace.map_or(&*self.host, WorkspaceName::as_str)
    }
}

/// Record that a request was running at an endpoint when that crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Origin of the request.
    pub origin: RequestOrigin,
    /// Crashed incarnation of an endpoint.
    pub site: CrashSite,
    /// Time of the crash in Unix milliseconds, by the wall clock of the gateway that detected it. It is only shown to
    /// operators. Wall clocks of VMs differ and may jump, so no decision depends on it.
    pub seen_ms: u64,
}
