//! Requests that end the endpoints that run them.
//!
//! The failure: an engine ends with a request that it begins to run, and with it the streams of a dozen other
//! callers. The request's caller comes back under a new id, at any gateway, and takes the next engine down. So
//! what is held against an endpoint must also be held against what it ran.
//!
//! - [`changes`]: what is to be written to the store.
//! - [`cuts`]: attempts that were cut off, until it is known whether their endpoint ended.
//! - [`book`]: which requests were at endpoints that ended, and which are not sent any more.
//!
//! An endpoint runs dozens of requests, and its end puts all of them under suspicion. One that was at a third end
//! without a whole answer between is barred; a whole answer anywhere clears it. What gateways know of it lies in
//! the platform's store, so it outlives all of them.

pub mod book;
pub mod changes;
pub mod cuts;

use std::fmt;
use std::sync::Arc;

use oatpier_types::names::{ClassName, EndpointName, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::engine::StartTime;
use crate::fingerprint::RequestFingerprint;

/// One start of an endpoint that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct CrashSite {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Which start of it, in milliseconds of the time of day; an endpoint may start again under its name.
    pub started_ms: Option<u64>,
}

impl CrashSite {
    /// A start of an endpoint.
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

/// Whose request it is, for operators, and for keeping one workspace's requests from pushing out another's.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestOrigin {
    /// The host that its caller names.
    pub host: Arc<str>,
    /// The workspace that holds its key; none where nobody had to say.
    pub workspace: Option<WorkspaceName>,
    /// Its class of work.
    pub route: ClassName,
}

impl RequestOrigin {
    /// Whose it is: the workspace, or where callers need no keys the host.
    #[must_use]
    pub fn owner(&self) -> &str {
        let workspace = self.workspace.as_ref();
        workspace.map_or(&*self.host, WorkspaceName::as_str)
    }
}

/// A request was at an endpoint when that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Whose it is.
    pub origin: RequestOrigin,
    /// What ended.
    pub site: CrashSite,
    /// When, in milliseconds since 1970 by the time of day of the gateway that saw it. For operators: VMs' times
    /// of day differ and jump, so nothing is decided by it.
    pub seen_ms: u64,
}
