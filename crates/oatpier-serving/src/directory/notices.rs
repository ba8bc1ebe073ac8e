//! State that endpoints report about themselves in their responses: rate limits, rest periods and leaving.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use smallvec::SmallVec;

use super::rest::RestState;
use super::row::ReportedLimit;
use super::{EndpointDirectory, EndpointRow};
use crate::message::{LeavingReport, LimitReport};
use crate::notice::{EndpointNotice, NoticeChange, NoticeValue, RequestRate, RestSpan};
use crate::prefill::SentPrompt;
use crate::quota::PartIndex;
use crate::quota::holders::HolderTable;
use crate::quota::turns::{HeldTurn, TurnAnswer, TurnEstimates, TurnStep};

/// A notice and the request whose response carried it.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedNotice<'a> {
    /// The notice in the response.
    pub notice: EndpointNotice,
    /// The request that was answered.
    pub sent: &'a SentPrompt,
    /// When the request was sent.
    pub sent_at: ClockTime,
    /// Whether the endpoint accepted the request rather than refusing it.
    pub was_accepted: bool,
}

impl EndpointDirectory {
    /// Applies the notice in a response and returns the changes that it caused. A response from an earlier
    /// incarnation of the endpoint is ignored.
    pub fn apply_notice(
        &mut self,
        name: &EndpointName,
        received: &ReceivedNotice<'_>,
        now: ClockTime,
    ) -> SmallVec<[NoticeChange; 2]> {
        if !self.is_current_incarnation(name, received.sent) {
            return SmallVec::new();
        }
        let Some(row) = self.rows.get_mut(name) else {
            return SmallVec::new();
        };
        let notice = received.notice;
        let changes = [
            row.apply_rate(notice.rate, received.sent_at, now),
            row.apply_leaving(notice.leaving),
            row.apply_rest(notice.rest, now),
        ];
        if received.was_accepted {
            row.note_accepted(received.sent_at);
        }
        changes.into_iter().flatten().collect()
    }

    /// Applies a rate limit that another gateway has received from the endpoint.
    pub fn apply_limit_report(
        &mut self,
        report: &LimitReport,
        now: ClockTime,
    ) -> Option<NoticeChange> {
        let row = self.rows.get_mut(&report.endpoint)?;
        if row.is_other_incarnation(report.start) {
            return None;
        }
        let reported = report.rate.map_or(NoticeValue::Absent, NoticeValue::Given);
        row.apply_rate(reported, now - report.sent_ago(), now)
    }

    /// Applies a report by another gateway that an endpoint is leaving.
    pub fn apply_leaving_report(&mut self, report: &LeavingReport) -> Option<NoticeChange> {
        let row = self.rows.get_mut(&report.endpoint)?;
        if row.is_other_incarnation(report.start) {
            return None;
        }
        row.apply_leaving(NoticeValue::Given(true))
    }

    /// Returns the message that tells other gateways this gateway's view of an endpoint's rate limit, dated
    /// by the request sent at `sent_at`, or else by the last request whose response carried a limit.
    #[must_use]
    pub fn limit_report(
        &self,
        name: &EndpointName,
        sent_at: Option<ClockTime>,
        now: ClockTime,
    ) -> Option<LimitReport> {
        let row = self.row(name)?;
        let sent_at = sent_at.or(row.limit.map(|limit| limit.sent_at))?;
        Some(LimitReport {
            endpoint: name.clone(),
            start: row.record.start,
            rate: row.limit.map(|limit| limit.rate),
            sent_ago_ms: u32::try_from(now.since(sent_at).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Returns the next step of a request that needs a turn at an endpoint, or `None` if the endpoint
    /// reports no rate limit.
    pub fn next_turn_step(
        &mut self,
        name: &EndpointName,
        holders: &HolderTable,
        most_wait: Duration,
        now: ClockTime,
    ) -> Option<TurnStep> {
        let limit = self.rows.get_mut(name)?.limit.as_mut()?;
        Some(limit.turns.step(holders, most_wait, now))
    }

    /// Applies a holder's response to a turn request and returns the turn if one was granted.
    pub fn apply_turn_answer(
        &mut self,
        name: &EndpointName,
        holders: &mut HolderTable,
        part: PartIndex,
        answer: TurnAnswer,
        now: ClockTime,
    ) -> Option<HeldTurn> {
        let limit = self.rows.get_mut(name)?.limit.as_mut()?;
        limit
            .turns
            .apply_answer(holders, part, answer, limit.rate, now)
    }

    /// Records that a request is sent to an endpoint, which uses up one probe if the endpoint has asked for a
    /// rest period.
    pub fn note_rest_probe(&mut self, name: &EndpointName, now: ClockTime) {
        let row = self.rows.get_mut(name);
        if let Some(rest) = row.and_then(|row| row.rest.as_mut()) {
            rest.note_sent(now);
        }
    }

    /// Returns whether an endpoint may be sent a request that holds this turn.
    #[must_use]
    pub fn may_send(&self, name: &EndpointName, turn: Option<HeldTurn>, now: ClockTime) -> bool {
        self.row(name).is_some_and(|row| {
            let has_turn = turn.is_some_and(|turn| turn.is_valid(now));
            row.is_open(now) && row.allows_request(now) && (row.limit.is_none() || has_turn)
        })
    }

    /// Returns the number of endpoints that have reported that they are leaving.
    #[must_use]
    pub fn leaving_count(&self) -> usize {
        self.rows.values().filter(|row| row.is_leaving).count()
    }

    /// Returns the number of endpoints that are currently in a rest period that they asked this gateway for.
    #[must_use]
    pub fn resting_count(&self, now: ClockTime) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| !row.rest_left(now).is_zero()).count()
    }

    /// Returns the number of endpoints that report a rate limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        self.rows.values().filter(|row| row.limit.is_some()).count()
    }
}

impl EndpointRow {
    /// Applies the leaving flag of a response. An incarnation that has reported leaving stays closed,
    /// whatever later responses, the registry or its sidecar report.
    fn apply_leaving(&mut self, leaving: NoticeValue<bool>) -> Option<NoticeChange> {
        match leaving {
            NoticeValue::Given(true) => {
                self.record.draining = true;
                let is_known = std::mem::replace(&mut self.is_leaving, true);
                (!is_known).then_some(NoticeChange::Leaving)
            }
            NoticeValue::Unusable => Some(NoticeChange::LeavingUnusable),
            NoticeValue::Given(false) | NoticeValue::Absent => None,
        }
    }

    /// Applies a requested rest period. A rest period is never shortened, because the endpoint enforces
    /// every one that it has requested.
    fn apply_rest(&mut self, rest: NoticeValue<RestSpan>, now: ClockTime) -> Option<NoticeChange> {
        let span = match rest {
            NoticeValue::Given(span) => span,
            NoticeValue::Unusable => RestSpan::FALLBACK,
            NoticeValue::Absent => return None,
        };
        let is_longer = span.duration() > self.rest_left(now);
        let until = now + span.duration();
        if !span.duration().is_zero() {
            self.rest = Some(RestState::until(self.rest, until, now));
        }
        match rest {
            NoticeValue::Unusable => Some(NoticeChange::RestUnusable),
            _ => is_longer.then_some(NoticeChange::Rests(span)),
        }
    }

    fn note_accepted(&mut self, sent_at: ClockTime) {
        let slots = self.record.slots;
        let is_over = self
            .rest
            .as_mut()
            .is_some_and(|rest| rest.note_accepted(sent_at, slots));
        if is_over {
            self.rest = None;
        }
    }

    /// Applies a reported rate.
    ///
    /// A lower rate takes effect immediately. Because responses can arrive out of order, a higher rate, or
    /// none, takes effect only if the request was sent after the limit was last reported.
    pub(super) fn apply_rate(
        &mut self,
        reported: NoticeValue<RequestRate>,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> Option<NoticeChange> {
        let is_later = self.limit.is_none_or(|limit| sent_at > limit.reported_at);
        match (reported, self.limit) {
            (NoticeValue::Unusable, _) => Some(NoticeChange::RateUnusable),
            (NoticeValue::Absent, Some(_)) if is_later => {
                self.limit = None;
                Some(NoticeChange::RateEnded)
            }
            (NoticeValue::Absent, _) => None,
            (NoticeValue::Given(rate), known) => {
                let is_kept = known.is_some_and(|known| rate > known.rate && !is_later);
                let kept = known.filter(|_| is_kept).map_or(rate, |known| known.rate);
                // At a lower rate turns are further apart, so the current estimates remain valid only if
                // the rate is not raised.
                let is_raised = known.is_some_and(|known| kept > known.rate);
                let turns = known
                    .filter(|_| !is_raised)
                    .map_or(TurnEstimates::default(), |known| known.turns);
                self.limit = Some(ReportedLimit {
                    rate: kept,
                    since: known.map_or(now, |known| known.since),
                    reported_at: now,
                    sent_at: known.map_or(sent_at, |known| known.sent_at.max(sent_at)),
                    turns,
                });
                let is_new = known.is_none_or(|known| known.rate != kept);
                is_new.then_some(NoticeChange::RateNamed(kept))
            }
        }
    }
}
