//! Metrics of workspaces, with a limit on the number of series.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use oatpier_types::names::WorkspaceName;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
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
    }
}
