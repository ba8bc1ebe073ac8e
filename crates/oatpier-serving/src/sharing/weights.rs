//! What the configuration grants each workspace relative to others.
//!
//! The rate of a workspace's quota is the only statement of the configuration about how much it is entitled to. It is
//! the weight where the quotas have one unit. A workspace without a quota gets the median of the others, and all are
//! equal where the quotas have several units or none has one.

use std::collections::HashMap;
use std::mem::Discriminant;
use std::time::Duration;

use super::WorkspaceTag;
use crate::workspace::WorkspaceTable;
use crate::workspace::quota::{QuotaRule, QuotaUnit};

/// Weight of a workspace where the configuration grants nothing.
const EQUAL_WEIGHT: u32 = 1_000;

/// Weights of the workspaces of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareWeights {
    granted: HashMap<WorkspaceTag, u32>,
    /// Weight of a workspace without a quota.
    ungranted: u32,
}

impl Default for ShareWeights {
    fn default() -> Self {
        Self {
            granted: HashMap::new(),
            ungranted: EQUAL_WEIGHT,
        }
    }
}

impl From<&WorkspaceTable> for ShareWeights {
    fn from(table: &WorkspaceTable) -> Self {
        let limited = || table.rules().filter_map(|rule| Some((rule, rule.quota?)));
        let unit =
            |quota: &QuotaRule| -> Discriminant<QuotaUnit> { std::mem::discriminant(&quota.unit) };
        let first_unit = limited().next().map(|(_, quota)| unit(&quota));
        let has_one_unit = limited().all(|(_, quota)| Some(unit(&quota)) == first_unit);
        if first_unit.is_none() || !has_one_unit {
            return Self::default();
        }
        let granted = limited();
        let granted = granted.map(|(rule, quota)| (WorkspaceTag::from(&rule.name), weight(&quota)));
        let granted: HashMap<WorkspaceTag, u32> = granted.collect();
        let mut sorted: Vec<u32> = granted.values().copied().collect();
        sorted.sort_unstable();
        Self {
            ungranted: sorted[sorted.len() / 2],
            granted,
        }
    }
}

impl ShareWeights {
    /// Returns the weight of a workspace.
    #[must_use]
    pub fn weight(&self, workspace: WorkspaceTag) -> u32 {
        let granted = self.granted.get(&workspace);
        granted.copied().unwrap_or(self.ungranted)
    }
}

/// Returns a quota's rate in thousandths of a unit per second. Rates beyond four million units per second, more than a
/// fleet serves, have the same weight.
fn weight(quota: &QuotaRule) -> u32 {
    let rate = quota.rate.min(f64::from(u32::MAX));
    let thousandths = Duration::from_secs_f64(rate).as_millis();
    u32::try_from(thousandths).unwrap_or(u32::MAX).max(1)
}
