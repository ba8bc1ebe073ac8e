//! Whether an endpoint that broke off a request has terminated or is still running.

use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::{EndpointDirectory, EndpointRow};
use crate::crashes::CrashSite;
use crate::crashes::broken_attempts::EndpointOutcome;

impl EndpointDirectory {
    /// Returns the incarnation that a request was sent to, unless it is leaving.
    ///
    /// Endpoints that leave terminate by themselves, and so may those that the registry no longer lists, so
    /// their termination is not attributed to a request.
    #[must_use]
    pub fn staying_incarnation(
        &self,
        name: &EndpointName,
        index: Option<EndpointIndex>,
        now: ClockTime,
    ) -> Option<(CrashSite, EndpointIndex)> {
        let row = self.row(name)?;
        let is_same_incarnation = index.is_none_or(|index| index == row.index);
        if !is_same_incarnation || !row.is_open(now) {
            return None;
        }
        let site = CrashSite::new(row.record.name.clone(), row.record.start);
        Some((site, row.index))
    }

    /// Returns whether an incarnation of an endpoint has terminated since it broke off a request at
    /// `since`.
    #[must_use]
    pub fn liveness(
        &self,
        name: &EndpointName,
        index: EndpointIndex,
        since: ClockTime,
        now: ClockTime,
    ) -> EndpointOutcome {
        let Some(row) = self.row(name) else {
            return EndpointOutcome::Ended;
        };
        let is_refused = row.refused_at.is_some_and(|at| at >= since);
        if row.index != index || row.is_gone || is_refused || row.is_unresponsive(now) {
            return EndpointOutcome::Ended;
        }
        let has_served = row.served_at.is_some_and(|at| at > since);
        if has_served || row.has_responded_to_sidecar(since, now) {
            return EndpointOutcome::Alive;
        }
        EndpointOutcome::Unknown
    }
}

impl EndpointRow {
    /// Returns whether the engine's sidecar, on the same VM, gets no answer from it.
    fn is_unresponsive(&self, now: ClockTime) -> bool {
        self.status(now).is_some_and(|status| !status.answers)
    }

    /// Returns whether an update that was made after `since` says that the engine responds. One that arrives later
    /// than the maximum transit time after `since` was made after it.
    fn has_responded_to_sidecar(&self, since: ClockTime, now: ClockTime) -> bool {
        let kept = self.status.as_ref();
        let is_later = kept.is_some_and(|kept| kept.at >= since + kept.lifetime.max_transit);
        is_later && self.status(now).is_some_and(|status| status.answers)
    }
}
