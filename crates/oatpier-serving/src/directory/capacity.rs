//! The latest updates of an engine's capacity and of its use.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, ModelName, PoolName};

use super::{EndpointDirectory, EndpointRow};
use crate::capacity::EnginePace;
use crate::capacity::host::{HostHint, HostPace};
use crate::engine::StartTime;
use crate::message::{PaceStatus, ShareStatus};
use crate::sharing::WorkspaceUse;

/// Time after which an update no longer counts. Covers several lost updates.
const UPDATE_TTL: Duration = Duration::from_secs(6);

/// Smallest number of tokens that a prompt is assumed to need. A prefill time of zero counts as unknown.
const MIN_PREFILL_TOKENS: f64 = 1.0;

/// Time for which a service counts as disturbed after an endpoint reported a disturbance of its VM. Disturbances last for
/// tenths of a second and recur every few seconds.
const DISTURBED_FOR: Duration = Duration::from_mins(1);

/// An update and the time of its arrival.
#[derive(Debug)]
struct KeptUpdate<T> {
    update: T,
    at: ClockTime,
}

impl<T> KeptUpdate<T> {
    fn current(&self, now: ClockTime) -> Option<&T> {
        (now.since(self.at) < UPDATE_TTL).then_some(&self.update)
    }
}

/// Capacity of an engine and its use, as last reported.
#[derive(Debug, Default)]
pub(super) struct CapacityState {
    pace: Option<KeptUpdate<PaceStatus>>,
    shares: Option<KeptUpdate<ShareStatus>>,
    /// How long work took on its VM at its last response.
    host: Option<HostHint>,
}

impl CapacityState {
    pub(super) fn store_pace(&mut self, update: &PaceStatus, now: ClockTime) {
        let known = self.pace.as_ref().map(|kept| kept.update.number);
        if known.is_none_or(|known| update.number.supersedes(known)) {
            self.pace = Some(KeptUpdate {
                update: *update,
                at: now,
            });
        }
    }

    pub(super) fn store_shares(&mut self, update: ShareStatus, now: ClockTime) {
        let known = self.shares.as_ref().map(|kept| kept.update.number);
        if known.is_none_or(|known| update.number.supersedes(known)) {
            self.shares = Some(KeptUpdate { update, at: now });
        }
    }

    /// Returns the pace of the incarnation that started at `start`.
    pub(super) fn pace(&self, start: Option<StartTime>, now: ClockTime) -> Option<&EnginePace> {
        let update = self.pace.as_ref()?.current(now)?;
        let is_other = update.start.is_some() && start.is_some() && update.start != start;
        (!is_other).then_some(&update.pace)
    }

    pub(super) fn shares(&self, now: ClockTime) -> &[WorkspaceUse] {
        let update = self.shares.as_ref().and_then(|kept| kept.current(now));
        update.map_or(&[], |update| &update.uses)
    }
}

impl EndpointDirectory {
    /// Records how long work takes on the VM of an endpoint, as a response reported it.
    pub fn apply_host_pace(&mut self, name: &EndpointName, pace: HostPace, now: ClockTime) {
        if let Some(row) = self.rows.get_mut(name) {
            row.capacity.host = Some(HostHint { pace, at: now });
            if pace.is_disturbed() {
                self.disturbed_at.insert(row.record.service.clone(), now);
            }
        }
    }

    /// Returns whether an endpoint of a service has lately reported that its VM is disturbed.
    #[must_use]
    pub fn is_disturbed(&self, service: &PoolName, now: ClockTime) -> bool {
        let at = self.disturbed_at.get(service);
        at.is_some_and(|at| now.since(*at) < DISTURBED_FOR)
    }

    /// Returns the time that an engine needs to prefill a number of tokens, in milliseconds: at the pace that its
    /// sidecar reports, or else as estimated by this gateway.
    #[must_use]
    pub fn prefill_ms(
        &self,
        row: &EndpointRow,
        model: &ModelName,
        tokens: f64,
        now: ClockTime,
    ) -> f64 {
        let pace = row.pace(now);
        let reported = pace.and_then(|pace| pace.prefill_ms(tokens.max(MIN_PREFILL_TOKENS)));
        reported.unwrap_or_else(|| self.estimator.prefill_ms(model, tokens))
    }
}

impl EndpointRow {
    /// Returns the pace of its present incarnation, if its sidecar has reported one lately.
    #[must_use]
    pub fn pace(&self, now: ClockTime) -> Option<&EnginePace> {
        self.capacity.pace(self.record.start, now)
    }

    /// Returns its recent use by workspaces, as far as its sidecar reports it.
    #[must_use]
    pub fn workspace_uses(&self, now: ClockTime) -> &[WorkspaceUse] {
        self.capacity.shares(now)
    }

    /// Returns the expected time of work on its VM, relative to the usual one; 1 if unknown.
    #[must_use]
    pub fn work_factor(&self, now: ClockTime) -> f64 {
        self.capacity.host.map_or(1.0, |hint| hint.factor(now))
    }
}
