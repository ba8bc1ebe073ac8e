//! What endpoints said of themselves in their answers.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use smallvec::SmallVec;

use super::rest::RestState;
use super::row::NamedLimit;
use super::{EndpointDirectory, EndpointRow};
use crate::message::{LeavingWord, LimitWord};
use crate::notice::{EndpointNotice, NoticeChange, NoticeValue, RequestRate, RestSpan};
use crate::quota::PartIndex;
use crate::quota::holders::HolderBook;
use crate::quota::turns::{HeldTurn, TurnAnswer, TurnEstimates, TurnStep};
use crate::reading::SentPrompt;

/// A notice, and the request that it came with.
#[derive(Debug, Clone, Copy)]
pub struct HeardNotice<'a> {
    /// What the answer said.
    pub notice: EndpointNotice,
    /// The request that was answered.
    pub sent: &'a SentPrompt,
    /// When it was sent.
    pub sent_at: ClockTime,
    /// Whether the endpoint took it, and did not turn it away.
    pub was_taken: bool,
}

impl EndpointDirectory {
    /// Takes what an answer said of its endpoint; gives back what is believed anew. An answer of an earlier start says
    /// nothing of the present one.
    pub fn take_notice(
        &mut self,
        name: &EndpointName,
        heard: &HeardNotice<'_>,
        now: ClockTime,
    ) -> SmallVec<[NoticeChange; 2]> {
        if !self.is_present_start(name, heard.sent) {
            return SmallVec::new();
        }
        let Some(row) = self.rows.get_mut(name) else {
            return SmallVec::new();
        };
        let notice = heard.notice;
        let changes = [
            row.take_rate(notice.rate, heard.sent_at, now),
            row.take_leaving(notice.leaving),
            row.take_rest(notice.rest, now),
        ];
        if heard.was_taken {
            row.note_taken(heard.sent_at);
        }
        changes.into_iter().flatten().collect()
    }

    /// Takes what another gateway's answer said of a limit.
    pub fn take_limit_word(&mut self, word: &LimitWord, now: ClockTime) -> Option<NoticeChange> {
        let row = self.rows.get_mut(&word.endpoint)?;
        if row.is_other_start(word.start) {
            return None;
        }
        let named = word.rate.map_or(NoticeValue::Absent, NoticeValue::Given);
        row.take_rate(named, now - word.sent_ago(), now)
    }

    /// Takes another gateway's word that an endpoint leaves.
    pub fn take_leaving_word(&mut self, word: &LeavingWord) -> Option<NoticeChange> {
        let row = self.rows.get_mut(&word.endpoint)?;
        if row.is_other_start(word.start) {
            return None;
        }
        row.take_leaving(NoticeValue::Given(true))
    }

    /// What this gateway knows of an endpoint's limit, for the others: what the answer to a request that was sent at
    /// `sent_at` said, or the last one that named a limit.
    #[must_use]
    pub fn limit_word(
        &self,
        name: &EndpointName,
        sent_at: Option<ClockTime>,
        now: ClockTime,
    ) -> Option<LimitWord> {
        let row = self.row(name)?;
        let sent_at = sent_at.or(row.limit.map(|limit| limit.sent_at))?;
        Some(LimitWord {
            endpoint: name.clone(),
            start: row.record.start,
            rate: row.limit.map(|limit| limit.rate),
            sent_ago_ms: u32::try_from(now.since(sent_at).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// What a request does next to get its turn at an endpoint; none where that names no limit.
    pub fn turn_step(
        &mut self,
        name: &EndpointName,
        holders: &HolderBook,
        most_wait: Duration,
        now: ClockTime,
    ) -> Option<TurnStep> {
        let limit = self.rows.get_mut(name)?.limit.as_mut()?;
        Some(limit.turns.step(holders, most_wait, now))
    }

    /// Takes a holder's answer to an ask for a turn; gives back the turn, if there is one.
    pub fn take_turn_answer(
        &mut self,
        name: &EndpointName,
        holders: &mut HolderBook,
        part: PartIndex,
        answer: TurnAnswer,
        now: ClockTime,
    ) -> Option<HeldTurn> {
        let limit = self.rows.get_mut(name)?.limit.as_mut()?;
        limit
            .turns
            .take_answer(holders, part, answer, limit.rate, now)
    }

    /// A request is sent to an endpoint, which may have asked for rest before.
    pub fn note_try(&mut self, name: &EndpointName, now: ClockTime) {
        let row = self.rows.get_mut(name);
        if let Some(rest) = row.and_then(|row| row.rest.as_mut()) {
            rest.note_sent(now);
        }
    }

    /// Whether an endpoint may be sent a request that has this turn.
    #[must_use]
    pub fn may_send(&self, name: &EndpointName, turn: Option<HeldTurn>, now: ClockTime) -> bool {
        self.row(name).is_some_and(|row| {
            let has_turn = turn.is_some_and(|turn| turn.is_valid(now));
            row.is_open(now) && row.is_rested(now) && (row.limit.is_none() || has_turn)
        })
    }

    /// Endpoints whose answers said that they leave.
    #[must_use]
    pub fn said_leaving(&self) -> usize {
        self.rows.values().filter(|row| row.says_leaving).count()
    }

    /// Endpoints that want no requests from this gateway now.
    #[must_use]
    pub fn resting(&self, now: ClockTime) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| !row.rest_left(now).is_zero()).count()
    }

    /// Endpoints that name a limit.
    #[must_use]
    pub fn limited(&self) -> usize {
        self.rows.values().filter(|row| row.limit.is_some()).count()
    }
}

impl EndpointRow {
    /// A start that leaves stays leaving, whatever a later answer, the registry or its sidecar says.
    fn take_leaving(&mut self, leaving: NoticeValue<bool>) -> Option<NoticeChange> {
        match leaving {
            NoticeValue::Given(true) => {
                self.record.draining = true;
                let is_known = std::mem::replace(&mut self.says_leaving, true);
                (!is_known).then_some(NoticeChange::Leaving)
            }
            NoticeValue::Unusable => Some(NoticeChange::LeavingUnusable),
            NoticeValue::Given(false) | NoticeValue::Absent => None,
        }
    }

    /// A rest is never shortened: the endpoint holds the gateway to each that it asked for.
    fn take_rest(&mut self, rest: NoticeValue<RestSpan>, now: ClockTime) -> Option<NoticeChange> {
        let span = match rest {
            NoticeValue::Given(span) => span,
            NoticeValue::Unusable => RestSpan::UNREADABLE,
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

    fn note_taken(&mut self, sent_at: ClockTime) {
        let slots = self.record.slots;
        let is_over = self
            .rest
            .as_mut()
            .is_some_and(|rest| rest.note_taken(sent_at, slots));
        if is_over {
            self.rest = None;
        }
    }

    /// A lower limit holds at once. Answers may overtake each other, so a higher one, or none, counts only where the
    /// request was sent after the limit was last named.
    pub(super) fn take_rate(
        &mut self,
        named: NoticeValue<RequestRate>,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> Option<NoticeChange> {
        let is_later = self.limit.is_none_or(|limit| sent_at > limit.named_at);
        match (named, self.limit) {
            (NoticeValue::Unusable, _) => Some(NoticeChange::RateUnusable),
            (NoticeValue::Absent, Some(_)) if is_later => {
                self.limit = None;
                Some(NoticeChange::RateEnded)
            }
            (NoticeValue::Absent, _) => None,
            (NoticeValue::Given(rate), known) => {
                let is_kept = known.is_some_and(|known| rate > known.rate && !is_later);
                let kept = known.filter(|_| is_kept).map_or(rate, |known| known.rate);
                // Turns at a lower rate lie further apart than those that can be had now.
                let is_raised = known.is_some_and(|known| kept > known.rate);
                let turns = known
                    .filter(|_| !is_raised)
                    .map_or(TurnEstimates::default(), |known| known.turns);
                self.limit = Some(NamedLimit {
                    rate: kept,
                    since: known.map_or(now, |known| known.since),
                    named_at: now,
                    sent_at: known.map_or(sent_at, |known| known.sent_at.max(sent_at)),
                    turns,
                });
                let is_new = known.is_none_or(|known| known.rate != kept);
                is_new.then_some(NoticeChange::RateNamed(kept))
            }
        }
    }
}
