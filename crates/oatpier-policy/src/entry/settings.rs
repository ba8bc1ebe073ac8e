//! Settings of an entry's decisions. The defaults are intended to fit most deployments.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::health::HealthSettings;
use crate::limit::LimitSettings;
use crate::machine::MachineSettings;
use crate::prefix::PrefixSettings;
use crate::retry::RetrySettings;
use crate::router::RouterSettings;
use crate::table::TableSettings;

/// All settings of an [`crate::entry::EntryPolicy`].
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct EntrySettings {
    /// The request state machine.
    pub machine: MachineSettings,
    /// Selection of endpoints.
    pub router: RouterSettings,
    /// The endpoint table.
    pub table: TableSettings,
    /// Prefix affinity.
    pub prefix: PrefixSettings,
    /// Health checks, ejection and probes.
    pub health: HealthSettings,
    /// Retry budgets.
    pub retry: RetrySettings,
    /// Admission control.
    pub limit: LimitSettings,
    /// Measurement of attained shares.
    pub attainment: AttainmentSettings,
}

/// Settings of the [`crate::attainment::AttainmentTracker`].
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct AttainmentSettings {
    /// The length of the sliding window.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

impl Default for AttainmentSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_mins(1),
        }
    }
}
