//! What endpoints said of themselves in their answers.

use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use smallvec::SmallVec;

use super::row::NamedLimit;
use super::{EndpointDirectory, EndpointRow};
use crate::notice::{EndpointNotice, NoticeChange, NoticeValue, RequestRate};
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
        row.take_rate(heard.notice.rate, heard.sent_at, now)
            .into_iter()
            .collect()
    }

    /// Endpoints that name a limit.
    #[must_use]
    pub fn limited(&self) -> usize {
        self.rows.values().filter(|row| row.limit.is_some()).count()
    }
}

impl EndpointRow {
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
                self.limit = Some(NamedLimit {
                    rate: kept,
                    since: known.map_or(now, |known| known.since),
                    named_at: now,
                });
                let is_new = known.is_none_or(|known| known.rate != kept);
                is_new.then_some(NoticeChange::RateNamed(kept))
            }
        }
    }
}
