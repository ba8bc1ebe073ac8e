//! Metrics of workspaces, with a bound on the series that they take.

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
    /// The workspace, or `other` for all that have no series of their own.
    pub workspace: String,
    /// What became of its requests or units.
    pub outcome: &'static str,
}

/// Workspaces with series of their own. Further ones are counted together: a series takes some hundred bytes in
/// each gateway and in whatever collects them.
const MOST_WORKSPACES: usize = 200;

/// The label of workspaces without series of their own.
const OTHER_WORKSPACES: &str = "other";

/// Workspaces that have series of their own, the first that were met.
#[derive(Debug, Clone, Default)]
struct NamedWorkspaces(Arc<Mutex<HashSet<WorkspaceName>>>);

impl NamedWorkspaces {
    fn label(&self, workspace: &WorkspaceName) -> String {
        let mut named = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if named.contains(workspace) {
            return workspace.as_str().to_owned();
        }
        if named.len() >= MOST_WORKSPACES {
            return OTHER_WORKSPACES.to_owned();
        }
        named.insert(workspace.clone());
        workspace.as_str().to_owned()
    }
}

/// What workspaces ask for and use. Cloning shares it.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceMetrics {
    named: NamedWorkspaces,
    requests: Family<WorkspaceLabels, Counter>,
    units: Family<WorkspaceLabels, Counter>,
}

impl WorkspaceMetrics {
    /// Counts a workspace's request that came in, or was turned away by its limit.
    pub fn asked(&self, workspace: &WorkspaceName, outcome: &'static str) {
        let labels = self.labels(workspace, outcome);
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts units of a workspace's limit that were handed out or refused here.
    pub fn used(&self, workspace: &WorkspaceName, outcome: &'static str, units: u64) {
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
