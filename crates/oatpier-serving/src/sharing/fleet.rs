//! Use of all engines of a service by workspaces, as a gateway knows it.

use std::collections::HashMap;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{PoolName, WorkspaceName};

use super::ledger::share_level;
use super::weights::ShareWeights;
use super::{ShareStanding, WorkspaceTag};
use crate::directory::EndpointDirectory;
use crate::workspace::WorkspaceTable;

/// Sum of the reported uses of a service's engines by workspace, in microseconds per second.
type ServiceUses = HashMap<WorkspaceTag, u64>;

/// A workspace that has used more than its share of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareExcess {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Engine time that it has used, in microseconds per second.
    pub use_us_per_s: u64,
    /// Its share of the engine time that all workspaces have used, in microseconds per second.
    pub share_us_per_s: f64,
}

/// Use of all engines by workspaces.
///
/// The sums are refreshed about once a second, not with each request or update: the cost is that of one pass over the
/// engines. In a fleet of many hundred engines the updates of some have expired. What counts is the proportion between
/// workspaces, for which those of the other engines suffice.
#[derive(Debug, Default)]
pub struct FleetUse {
    weights: ShareWeights,
    services: HashMap<PoolName, ServiceUses>,
}

impl FleetUse {
    /// Applies the workspaces of a configuration. What they have used is kept.
    pub fn set_workspaces(&mut self, table: Option<&WorkspaceTable>) {
        self.weights = table.map(ShareWeights::from).unwrap_or_default();
    }

    /// Drops the use of services that are no longer configured.
    pub fn retain_services(&mut self, is_configured: impl Fn(&PoolName) -> bool) {
        self.services.retain(|service, _| is_configured(service));
    }

    /// Adds up the latest updates of the engines of a service.
    pub fn refresh(&mut self, directory: &EndpointDirectory, service: &PoolName, now: ClockTime) {
        let uses = self.services.entry(service.clone()).or_default();
        uses.clear();
        for row in directory.service(service) {
            for used in row.workspace_uses(now) {
                *uses.entry(used.workspace).or_default() += u64::from(used.use_us_per_s);
            }
        }
    }

    /// Returns the standing of a workspace.
    #[must_use]
    pub fn standing(&self, service: &PoolName, name: &WorkspaceName) -> ShareStanding {
        let workspace = WorkspaceTag::from(name);
        ShareStanding {
            workspace,
            weight: self.weights.weight(workspace),
            use_us_per_s: u32::try_from(self.use_us_per_s(service, workspace)).unwrap_or(u32::MAX),
        }
    }

    /// Returns the engine time that a workspace has used of all services, in microseconds per second.
    #[must_use]
    pub fn total_use_us_per_s(&self, name: &WorkspaceName) -> u64 {
        let workspace = WorkspaceTag::from(name);
        let services = self.services.values();
        services.filter_map(|uses| uses.get(&workspace)).sum()
    }

    /// Returns those of the workspaces that have used more than their share of a service, relative to all that have
    /// used it.
    #[must_use]
    pub fn excesses<'a>(
        &self,
        service: &PoolName,
        names: impl Iterator<Item = &'a WorkspaceName>,
    ) -> Vec<ShareExcess> {
        let used = names.filter_map(|name| {
            let workspace = WorkspaceTag::from(name);
            let used = self.use_us_per_s(service, workspace);
            (used > 0).then(|| (name, used, f64::from(self.weights.weight(workspace))))
        });
        let used: Vec<(&WorkspaceName, u64, f64)> = used.collect();
        let total_weight: f64 = used.iter().map(|(_, _, weight)| weight).sum();
        let total_use: f64 = used.iter().map(|(_, used, _)| to_float(*used)).sum();
        let excesses = used.iter().filter_map(|(name, used, weight)| {
            let share = total_use * weight / total_weight;
            (share_level(to_float(*used) / share) > 0).then(|| ShareExcess {
                workspace: (*name).clone(),
                use_us_per_s: *used,
                share_us_per_s: share,
            })
        });
        excesses.collect()
    }

    fn use_us_per_s(&self, service: &PoolName, workspace: WorkspaceTag) -> u64 {
        let uses = self.services.get(service);
        uses.and_then(|uses| uses.get(&workspace))
            .copied()
            .unwrap_or(0)
    }
}

fn to_float(use_us_per_s: u64) -> f64 {
    f64::from(u32::try_from(use_us_per_s).unwrap_or(u32::MAX))
}
