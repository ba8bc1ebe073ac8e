//! Metrics of workspaces, with a limit on the number of series.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use oatpier_types::names::WorkspaceName;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Labels of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct WorkspaceLabels {
    /// The workspace, or `other` for all workspaces without series of their own.
    pub workspace: String,
    /// The outcome of the requests or units.
    pub outcome: &'static str,
}

/// Label of a workspace alone.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct WorkspaceLabel {
    /// The workspace, or `other` for all workspaces without series of their own.
    pub workspace: String,
}

/// Maximum number of workspaces with series of their own. Further ones are counted together: a series takes some
/// hundred bytes in each gateway and in each system that collects metrics.
const MAX_NAMED_WORKSPACES: usize = 200;

/// The label of workspaces without series of their own.
const OTHER_WORKSPACES: &str = "other";

/// Workspaces that have series of their own: the first ones that occurred.
#[derive(Debug, Clone, Default)]
struct NamedWorkspaces(Arc<Mutex<HashSet<WorkspaceName>>>);

impl NamedWorkspaces {
    fn label(&self, workspace: &WorkspaceName) -> String {
        let mut named = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if named.contains(workspace) {
            return workspace.as_str().to_owned();
        }
        if named.len() >= MAX_NAMED_WORKSPACES {
            return OTHER_WORKSPACES.to_owned();
        }
        named.insert(workspace.clone());
        workspace.as_str().to_owned()
    }
}

/// Requests and used units of workspaces. Clones share the same values.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceMetrics {
    named: NamedWorkspaces,
    requests: Family<WorkspaceLabels, Counter>,
    units: Family<WorkspaceLabels, Counter>,
    permit_waits: Family<WorkspaceLabels, Counter>,
    permit_wait_ms: Family<WorkspaceLabel, Counter>,
    engine_use: Family<WorkspaceLabel, Gauge>,
}

impl WorkspaceMetrics {
    /// Counts a request of a workspace that was accepted, or refused by its limit.
    pub fn count_request(&self, workspace: &WorkspaceName, outcome: &'static str) {
        let labels = self.labels(workspace, outcome);
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts units of a workspace's limit that the parts held here granted or refused.
    pub fn count_units(&self, workspace: &WorkspaceName, outcome: &'static str, units: u64) {
        let labels = self.labels(workspace, outcome);
        self.units.get_or_create(&labels).inc_by(units);
    }

    /// Counts a request that waited for a permit, by the outcome, and the time that it waited.
    pub fn count_permit_wait(
        &self,
        workspace: &WorkspaceName,
        outcome: &'static str,
        waited: Duration,
    ) {
        let labels = self.labels(workspace, outcome);
        self.permit_waits.get_or_create(&labels).inc();
        let label = self.label(workspace);
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        self.permit_wait_ms.get_or_create(&label).inc_by(waited_ms);
    }

    /// Sets the engine time that workspaces have used recently over all engines, in microseconds per second.
    pub fn set_engine_use<'a>(&self, uses: impl Iterator<Item = (&'a WorkspaceName, u64)>) {
        let mut sums: HashMap<WorkspaceLabel, u64> = HashMap::new();
        for (workspace, used) in uses {
            *sums.entry(self.label(workspace)).or_default() += used;
        }
        for (label, used) in sums {
            let used_ms = i64::try_from(used / 1_000).unwrap_or(i64::MAX);
            self.engine_use.get_or_create(&label).set(used_ms);
        }
    }

    fn label(&self, workspace: &WorkspaceName) -> WorkspaceLabel {
        WorkspaceLabel {
            workspace: self.named.label(workspace),
        }
    }

    fn labels(&self, workspace: &WorkspaceName, outcome: &'static str) -> WorkspaceLabels {
        WorkspaceLabels {
            workspace: self.named.label(workspace),
            outcome,
        }
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "workspace_requests",
            "Requests by workspace: taken, or refused by its limit",
            self.requests.clone(),
        );
        registry.register(
            "workspace_units",
            "Units of workspaces' limits that were handed out or refused by the parts held here",
            self.units.clone(),
        );
        registry.register(
            "workspace_permit_waits",
            "Requests that asked for a permit, by workspace: granted, or withdrawn",
            self.permit_waits.clone(),
        );
        registry.register(
            "workspace_permit_wait_ms",
            "Milliseconds that these requests waited, by workspace",
            self.permit_wait_ms.clone(),
        );
        registry.register(
            "workspace_engine_use_ms",
            "Engine time that workspaces have used lately over all engines, in milliseconds per second",
            self.engine_use.clone(),
        );
    }
}
