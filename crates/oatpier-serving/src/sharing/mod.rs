//! How workspaces share engines that cannot serve all of their requests.
//!
//! - [`cost`]: the engine time that a request takes.
//! - [`ledger`]: what workspaces have used of one engine, and which of those that wait are beyond their share.
//! - [`fleet`]: what workspaces have used over all engines of a service.
//! - [`weights`]: what the configuration grants each workspace.
//!
//! A sidecar counts the engine time that it grants to workspaces and reports it. Gateways add up the reports and state
//! the sum in their requests for permits, and the sidecar orders waiting requests by it.

pub mod cost;
pub mod fleet;
pub mod ledger;
pub mod weights;

use oatpier_types::names::WorkspaceName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a workspace's name, which identifies the workspace in messages between gateways and sidecars.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceTag(u64);

impl From<&WorkspaceName> for WorkspaceTag {
    fn from(name: &WorkspaceName) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()))
    }
}

/// Standing of a request's workspace over all engines of the service, as known to the gateway that asks for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShareStanding {
    /// The workspace.
    pub workspace: WorkspaceTag,
    /// What the configuration grants the workspace relative to others.
    pub weight: u32,
    /// Engine time that the workspace has used recently over all engines, in microseconds per second.
    pub use_us_per_s: u32,
}

/// Engine time that a workspace has used at one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceUse {
    /// The workspace.
    pub workspace: WorkspaceTag,
    /// Engine time used recently, in microseconds per second.
    pub use_us_per_s: u32,
}
