//! The configuration in force. It comes from the store, or from another gateway while the store does not answer here.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_serving::message::ConfigStatus;
use oatpier_serving::site::SiteConfig;
use oatpier_serving::workspace::WorkspaceTable;
use oatpier_serving::workspace::quota::QuotaRule;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::WorkspaceName;

use super::core::{CoreState, GatewayCore};
use crate::decisions::{DecisionLine, LinePriority};

/// Minimum time between fetches of a newer configuration. Usually a store read succeeds within this time, and no
/// fetch is needed.
const FETCH_INTERVAL: Duration = Duration::from_millis(1_500);

impl GatewayCore {
    /// Returns whether this gateway would know of a configuration that is in force everywhere.
    #[must_use]
    pub fn is_config_current(&self) -> bool {
        let bound = self.settings.borrow().bounds.config;
        let known_at = self.lock().config_known_at;
        known_at.is_some_and(|at| self.clock.now().since(at) <= bound)
    }

    pub(super) fn apply_config(&self, state: &mut CoreState, config: Arc<SiteConfig>) {
        let known = state.config.as_ref().map_or(0, |known| known.version);
        let is_newer = state.config.is_none() || config.version > known;
        let outcome = if is_newer {
            "in force"
        } else {
            "older, left out"
        };
        let line = DecisionLine::new(LinePriority::Notable, "configuration")
            .with("version", config.version)
            .with("known", known)
            .with("routes", config.routes.len())
            .with("outcome", outcome);
        self.log.write(line);
        if is_newer {
            let version = i64::try_from(config.version).unwrap_or(i64::MAX);
            self.metrics.config_version.set(version);
            state.limits = collect_quota_rules(&config);
            state.shares.apply_config(&config);
            state.origins.apply_config(&config);
            let CoreState {
                limits,
                holder,
                grants,
                ..
            } = &mut *state;
            holder.retain(|workspace| limits.contains_key(workspace));
            grants.retain(|workspace| limits.contains_key(workspace));
            self.shared_config.send_replace(Some(Arc::clone(&config)));
            state.config = Some(config);
            self.update_record_sidecars(state);
        }
    }

    /// Returns the version and age of the configuration, as reports to peers state them.
    pub(super) fn config_status(&self, now: ClockTime) -> ConfigStatus {
        let state = self.lock();
        let age = now.since(state.config_known_at.unwrap_or_default());
        ConfigStatus {
            version: state.config.as_ref().map_or(0, |config| config.version),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Handles another gateway's report of its configuration. An equal version counts as confirmed by the store as
    /// recently as that gateway confirmed it. A newer version is fetched if the store does not answer here.
    pub fn apply_config_status(&self, from: SocketAddr, reported: ConfigStatus) {
        let now = self.clock.now();
        let mut state = self.lock();
        let known = state.config.as_ref().map_or(0, |config| config.version);
        if reported.version == known {
            let known_at = now - Duration::from_millis(u64::from(reported.age_ms));
            state.config_known_at = state.config_known_at.max(Some(known_at));
            return;
        }
        let is_due = |at: ClockTime| now.since(at) >= FETCH_INTERVAL;
        let is_unconfirmed = state.config_known_at.is_none_or(is_due);
        let may_fetch = state.config_requested_at.is_none_or(is_due);
        if reported.version > known && is_unconfirmed && may_fetch {
            state.config_requested_at = Some(now);
            // A full ring counts what it drops; the next report requests the fetch again.
            let _ = self.config_sources.try_send(from);
        }
    }

    /// Applies a configuration that was fetched from another gateway.
    pub fn apply_fetched_config(&self, config: Arc<SiteConfig>) {
        let mut state = self.lock();
        self.apply_config(&mut state, config);
        drop(state);
        self.changed.notify_waiters();
    }
}

fn collect_quota_rules(config: &SiteConfig) -> HashMap<WorkspaceName, QuotaRule> {
    let rules = config.workspaces.iter().flat_map(WorkspaceTable::rules);
    let limited = rules.filter_map(|rule| Some((rule.name.clone(), rule.quota?)));
    limited.collect()
}
