//! The configuration in force: from the store, or from another gateway while the store turns this one away.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_serving::message::ConfigStanding;
use oatpier_serving::site::SiteConfig;
use oatpier_serving::workspace::WorkspaceTable;
use oatpier_serving::workspace::quota::QuotaRule;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::WorkspaceName;

use super::core::{CoreState, GatewayCore};
use crate::decisions::{DecisionLine, LineWeight};

/// From one fetch of a newer configuration to the next. The store is read in a moment as a rule, and then nothing
/// needs to be fetched.
const FETCH_EVERY: Duration = Duration::from_millis(1_500);

impl GatewayCore {
    /// Whether a configuration that is in force everywhere would be known here.
    #[must_use]
    pub fn is_current(&self) -> bool {
        let bound = self.settings.borrow().bounds.config;
        let known_at = self.lock().config_known_at;
        known_at.is_some_and(|at| self.clock.now().since(at) <= bound)
    }

    pub(super) fn take_config(&self, state: &mut CoreState, config: Arc<SiteConfig>) {
        let known = state.config.as_ref().map_or(0, |known| known.version);
        let newer = state.config.is_none() || config.version > known;
        let outcome = if newer { "in force" } else { "older, left out" };
        let line = DecisionLine::new(LineWeight::Notable, "configuration")
            .with("version", config.version)
            .with("known", known)
            .with("routes", config.routes.len())
            .with("outcome", outcome);
        self.log.write(line);
        if newer {
            let version = i64::try_from(config.version).unwrap_or(i64::MAX);
            self.metrics.config_version.set(version);
            state.limits = limits_of(&config);
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
        }
    }

    /// What reports say of the configuration here.
    pub(super) fn config_standing(&self, now: ClockTime) -> ConfigStanding {
        let state = self.lock();
        let age = now.since(state.config_known_at.unwrap_or_default());
        ConfigStanding {
            version: state.config.as_ref().map_or(0, |config| config.version),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Another gateway told which configuration it has. The same one is known to be the store's for as long as that
    /// gateway knows it to be; a newer one is fetched where the store does not answer here.
    pub fn take_config_standing(&self, from: SocketAddr, told: ConfigStanding) {
        let now = self.clock.now();
        let mut state = self.lock();
        let known = state.config.as_ref().map_or(0, |config| config.version);
        if told.version == known {
            let known_at = now - Duration::from_millis(u64::from(told.age_ms));
            state.config_known_at = state.config_known_at.max(Some(known_at));
            return;
        }
        let is_due = |at: ClockTime| now.since(at) >= FETCH_EVERY;
        let reads_late = state.store_read_at.is_none_or(is_due);
        let may_ask = state.config_wanted_at.is_none_or(is_due);
        if told.version > known && reads_late && may_ask {
            state.config_wanted_at = Some(now);
            // A full ring counts what it drops; the next report asks again.
            let _ = self.config_wanted.offer(from);
        }
    }

    /// Takes a configuration that another gateway passed on.
    pub fn take_passed_config(&self, config: Arc<SiteConfig>) {
        let mut state = self.lock();
        self.take_config(&mut state, config);
        drop(state);
        self.changed.notify_waiters();
    }
}

fn limits_of(config: &SiteConfig) -> HashMap<WorkspaceName, QuotaRule> {
    let rules = config.workspaces.iter().flat_map(WorkspaceTable::rules);
    let limited = rules.filter_map(|rule| Some((rule.name.clone(), rule.quota?)));
    limited.collect()
}
