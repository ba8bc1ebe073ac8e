//! What an entry's decisions can be tuned by. The defaults are meant to hold.

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
    /// The lives of requests.
    pub machine: MachineSettings,
    /// The choice of endpoints.
    pub router: RouterSettings,
    /// What is known of endpoints.
    pub table: TableSettings,
    /// Prefix affinity.
    pub prefix: PrefixSettings,
    /// Ejection and probes.
    pub health: HealthSettings,
    /// Retry budgets.
    pub retry: RetrySettings,
    /// The bound on concurrent requests.
    pub limit: LimitSettings,
    /// The sliding window of attained shares.
    pub attainment: AttainmentSettings,
}

/// Settings of the [`crate::attainment::AttainmentLedger`].
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
