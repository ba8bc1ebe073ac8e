//! Workspaces: whose request it is, which keys prove it, and what all of its requests may use together.
//!
//! - [`keys`]: from a caller's key to its workspace.
//! - [`quota`]: what a workspace may use.

pub mod keys;
pub mod quota;

use std::collections::HashSet;
use std::sync::Arc;

use oatpier_types::names::WorkspaceName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use self::keys::{KeyDigest, KeyIndex};
use self::quota::QuotaRule;

/// Why workspaces can't be used together.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum WorkspaceError {
    /// Two workspaces have one name.
    #[error("two workspaces are named `{0}`; give each its own name")]
    SameName(WorkspaceName),
    /// Two workspaces hold one key: whose request it is could not be told.
    #[error("`{first}` and `{second}` hold the same key; take it from one of them")]
    SharedKey {
        /// The workspace that comes first.
        first: WorkspaceName,
        /// The other one.
        second: WorkspaceName,
    },
}

/// A workspace.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceRule {
    /// Its name, as endpoints are told it.
    pub name: WorkspaceName,
    /// The rank of its requests, 0 first; goes before that of the route.
    pub priority: Option<u8>,
    /// What it may use; none without a limit.
    pub quota: Option<QuotaRule>,
}

/// A workspace as the operator declares it, with its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct DeclaredWorkspace {
    /// The workspace.
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
        let place = self.rules.len();
        for key in keys {
            let known = self.keys.insert(key, place);
            if let Some(other) = known.filter(|known| *known != place) {
                return Err(WorkspaceError::SharedKey {
                    first: self.rules[other].name.clone(),
                    second: rule.name,
                });
            }
        }
        self.rules.push(Arc::new(rule));
        Ok(())
    }

    /// The workspace that holds a key.
    #[must_use]
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<WorkspaceRule>> {
        self.rules.get(self.keys.place(key)?)
    }

    /// All workspaces, in the operator's order.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<WorkspaceRule>> {
        self.rules.iter()
    }
}
