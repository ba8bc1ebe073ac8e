//! Shares of workspaces: the standing that permit requests state, and reports of workspaces beyond their share.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_serving::sharing::ShareStanding;
use oatpier_serving::sharing::fleet::{FleetUse, ShareExcess};
use oatpier_serving::site::SiteConfig;
use oatpier_serving::workspace::WorkspaceTable;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{PoolName, WorkspaceName};

use super::core::{CoreState, GatewayCore};
use super::permits::PermitVerdict;
use super::placement::RequestContext;
use crate::decisions::{DecisionLine, LinePriority};

/// Minimum time between two log lines about the same workspace.
const EXCESS_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Use of engines by workspaces, and what was logged about it.
#[derive(Debug, Default)]
pub(super) struct ShareState {
    pub(super) fleet_use: FleetUse,
    /// When each workspace was last logged to be beyond its share.
    logged_at: HashMap<WorkspaceName, ClockTime>,
}

impl ShareState {
    /// Applies the workspaces of a configuration.
    pub(super) fn apply_config(&mut self, config: &SiteConfig) {
        self.fleet_use.set_workspaces(config.workspaces.as_ref());
        self.fleet_use.retain_services(|name| {
            let mut services = config.services.iter();
            services.any(|service| service.name == *name)
        });
    }

    /// Returns whether a line about a workspace may be logged now.
    fn may_log(&mut self, workspace: &WorkspaceName, now: ClockTime) -> bool {
        let logged_at = self.logged_at.get(workspace);
        if logged_at.is_some_and(|at| now.since(*at) < EXCESS_LOG_INTERVAL) {
            return false;
        }
        self.logged_at.insert(workspace.clone(), now);
        true
    }
}

impl GatewayCore {
    /// Returns the standing of a request's workspace, or `None` where callers have no workspace.
    #[must_use]
    pub fn share_standing(&self, context: &RequestContext) -> Option<ShareStanding> {
        let workspace = context.identity.workspace_name()?;
        let state = self.lock();
        let fleet_use = &state.shares.fleet_use;
        Some(fleet_use.standing(&context.service, workspace))
    }

    /// Counts a request of a workspace that asked for a permit at `asked_at`.
    pub(super) fn count_permit_wait(
        &self,
        context: &RequestContext,
        verdict: &PermitVerdict,
        asked_at: ClockTime,
    ) {
        let outcome = match verdict {
            PermitVerdict::NotNeeded => return,
            PermitVerdict::Granted(_) => "granted",
            PermitVerdict::Withdrawn => "withdrawn",
        };
        if let Some(workspace) = context.identity.workspace_name() {
            let waited = self.clock.now().since(asked_at);
            let metrics = &self.metrics.workspaces;
            metrics.count_permit_wait(workspace, outcome, waited);
        }
    }

    /// Adds up the use of engines by workspaces, sets its metrics, and logs the workspaces beyond their share while
    /// requests wait for permits.
    pub fn refresh_shares(&self) {
        let Some(config) = self.config() else {
            return;
        };
        let Some(table) = &config.workspaces else {
            return;
        };
        let now = self.clock.now();
        let mut state = self.lock();
        for service in &config.services {
            let CoreState {
                shares, directory, ..
            } = &mut *state;
            shares.fleet_use.refresh(directory, &service.name, now);
            self.log_excesses(&mut state, table, &service.name, now);
        }
        let metrics = &self.metrics.workspaces;
        let uses = table.rules().map(|rule| {
            let used = state.shares.fleet_use.total_use_us_per_s(&rule.name);
            (&rule.name, used)
        });
        metrics.set_engine_use(uses);
    }

    fn log_excesses(
        &self,
        state: &mut CoreState,
        table: &WorkspaceTable,
        service: &PoolName,
        now: ClockTime,
    ) {
        let rows = state.directory.service(service);
        let waiting = rows.filter_map(|row| Some(row.status(now)?.permits_waiting));
        let waiting: u32 = waiting.sum();
        if waiting == 0 {
            return;
        }
        let names = table.rules().map(|rule| &rule.name);
        for excess in state.shares.fleet_use.excesses(service, names) {
            if state.shares.may_log(&excess.workspace, now) {
                self.log.write(excess_line(service, &excess, waiting));
            }
        }
    }
}

fn excess_line(service: &PoolName, excess: &ShareExcess, waiting: u32) -> DecisionLine {
    DecisionLine::new(LinePriority::Notable, "share exceeded")
        .with("service", service.as_str())
        .with("workspace", excess.workspace.as_str())
        .with("use_ms_per_s", excess.use_us_per_s / 1_000)
        .with("share_ms_per_s", excess.share_us_per_s.round() / 1e3)
        .with("waiting", waiting)
}
