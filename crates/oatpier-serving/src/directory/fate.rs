//! What became of an endpoint that cut a request off.

use std::time::Duration;

use oatpier_policy::index::EndpointIndex;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::{EndpointDirectory, EndpointRow};
use crate::crashes::CrashSite;
use crate::crashes::cuts::EndpointFate;

/// A sidecar's word that its engine answers may be this old when it comes: it reads the engine's report several
/// times a second, and relays pass the word on within a tenth of a second. A later one is from after the cut.
const WORD_AGE: Duration = Duration::from_millis(400);

impl EndpointDirectory {
    /// The start that a request was sent to, while the endpoint stays. Endpoints that leave end by themselves, and
    /// so may those that the registry no longer lists: their ends are nobody's doing.
    #[must_use]
    pub fn staying_start(
        &self,
        name: &EndpointName,
        index: Option<EndpointIndex>,
        now: ClockTime,
    ) -> Option<(CrashSite, EndpointIndex)> {
        let row = self.row(name)?;
        let is_sent_there = index.is_none_or(|index| index == row.index);
        if !is_sent_there || !row.is_open(now) {
            return None;
        }
        let site = CrashSite::new(row.record.name.clone(), row.record.start);
        Some((site, row.index))
    }

    /// What became of a start of an endpoint since it cut a request off at `since`.
    #[must_use]
    pub fn fate(
        &self,
        name: &EndpointName,
        index: EndpointIndex,
        since: ClockTime,
        now: ClockTime,
    ) -> EndpointFate {
        let Some(row) = self.row(name) else {
            return EndpointFate::Ended;
        };
        let is_refused = row.refused_at.is_some_and(|at| at >= since);
        if row.index != index || row.gone || is_refused || row.has_fallen_silent(now) {
            return EndpointFate::Ended;
        }
        let has_served = row.served_at.is_some_and(|at| at > since);
        if has_served || row.has_answered_sidecar(since + WORD_AGE, now) {
            return EndpointFate::Alive;
        }
        EndpointFate::Unknown
    }
}

impl EndpointRow {
    /// Whether its sidecar, on the same VM, can't reach it.
    fn has_fallen_silent(&self, now: ClockTime) -> bool {
        self.pulse(now).is_some_and(|pulse| !pulse.answers)
    }

    fn has_answered_sidecar(&self, after: ClockTime, now: ClockTime) -> bool {
        let kept = self.pulse.as_ref();
        let is_later = kept.is_some_and(|kept| kept.whole_at >= after);
        is_later && self.pulse(now).is_some_and(|pulse| pulse.answers)
    }
}
