//! Workspaces: the owners of requests, the keys that authenticate them, and their quotas.
//!
//! - [`keys`]: lookup of the workspace that owns a key.
//! - [`quota`]: limits on what a workspace uses.

pub mod keys;
pub mod quota;

use std::collections::HashSet;
use std::sync::Arc;

use oatpier_types::names::WorkspaceName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use self::keys::{KeyDigest, KeyIndex};
use self::quota::QuotaRule;

/// Reason why a set of workspaces is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum WorkspaceError {
    /// Two workspaces have the same name.
    #[error("two workspaces are named `{0}`; give each its own name")]
    SameName(WorkspaceName),
    /// Two workspaces have the same key, so the owner of a request with that key is ambiguous.
    #[error("`{first}` and `{second}` hold the same key; remove it from one of them")]
    SharedKey {
        /// Workspace that is declared first.
        first: WorkspaceName,
        /// Workspace that is declared later.
        second: WorkspaceName,
    },
}

/// Settings of a workspace.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceRule {
    /// Name of the workspace, as sent to endpoints.
    pub name: WorkspaceName,
    /// Priority of its requests, where 0 is the highest; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Limit on its use; `None` for no limit.
    pub quota: Option<QuotaRule>,
}

/// Workspace as the operator declares it, with its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredWorkspace {
    /// Settings of the workspace.
    pub rule: WorkspaceRule,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// All workspaces of a configuration.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceTable {
    rules: Vec<Arc<WorkspaceRule>>,
    keys: KeyIndex,
}

impl TryFrom<Vec<DeclaredWorkspace>> for WorkspaceTable {
    type Error = WorkspaceError;

    fn try_from(declared: Vec<DeclaredWorkspace>) -> Result<Self, WorkspaceError> {
        let mut table = Self::default();
        let mut names = HashSet::new();
        for workspace in declared {
            if !names.insert(workspace.rule.name.clone()) {
                return Err(WorkspaceError::SameName(workspace.rule.name));
            }
            table.add(workspace)?;
        }
        Ok(table)
    }
}

impl WorkspaceTable {
    fn add(&mut self, workspace: DeclaredWorkspace) -> Result<(), WorkspaceError> {
        let DeclaredWorkspace { rule, keys } = workspace;
        let index = self.rules.len();
        for key in keys {
            let previous = self.keys.insert(key, index);
            if let Some(other) = previous.filter(|previous| *previous != index) {
                return Err(WorkspaceError::SharedKey {
                    first: self.rules[other].name.clone(),
                    second: rule.name,
                });
            }
        }
        self.rules.push(Arc::new(rule));
        Ok(())
    }

    /// Returns the workspace that owns a key.
    #[must_use]
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<WorkspaceRule>> {
        self.rules.get(self.keys.index(key)?)
    }

    /// Iterates over all workspaces in the order of the configuration.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<WorkspaceRule>> {
        self.rules.iter()
    }
}
