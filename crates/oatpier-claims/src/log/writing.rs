//! Appending to the log.
//!
//! A write takes along all that came while the one before it was on its way, so the claims of one
//! write grow with the load and the writes a second do not.
//!
//! A write without an answer may have taken effect, or may yet, as long as the head has the
//! revision that it expects. The claimer reads the head: it finds its own write (then the claims
//! are granted), another claimer's (then the partition is lost), or the former head. In the last
//! case it sends the same write again: whichever of the two comes first, the other fails.

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Revision;
use oatpier_types::verdict::RunVerdict;

use super::store::{CallKind, HeadPurpose, HeadWrite};
use super::{AskId, ClaimLog, LogIntent, LogStage};
use crate::event::{ClaimAction, ClaimActions, SegmentValue};
use crate::message::{ClaimAnswer, ClaimAsk, ClaimRelease};
use crate::segment::{
    ClosedSegment, KnownHead, LAYOUT, LogRecord, SegmentInfo, decode_head, encode, segment_key,
};

impl ClaimLog {
    /// When the next write is due; never while a call is on its way.
    pub(super) fn write_due(&self) -> ClockTime {
        if self.stage != LogStage::Owning || self.flight.is_some() || self.intents.is_empty() {
            return ClockTime::NEVER;
        }
        let has_claim = self
            .intents
            .iter()
            .any(|intent| matches!(intent, LogIntent::Claim(_)));
        let wanted = match self.lazy_since {
            Some(since) if !has_claim => since + self.settings.lazy_interval,
            _ => ClockTime::ZERO,
        };
        wanted.max(self.next_write).max(self.away_until)
    }

    pub(super) fn write_if_due(&mut self, now: ClockTime, actions: &mut ClaimActions) {
        self.chase_flight(now, actions);
        if now < self.write_due() {
            return;
        }
        self.next_write = now + self.settings.write_interval;
        if encode(&self.known.head.records).len() < self.settings.head_bytes {
            self.append(now, actions);
        } else {
            self.close_segment(now, actions);
        }
    }

    fn close_segment(&mut self, now: ClockTime, actions: &mut ClaimActions) {
        let head = &self.known.head;
        let segment = ClosedSegment {
            layout: LAYOUT,
            base: head.base,
            clock_ms: self.clock_ms(now),
            records: head.records.clone(),
        };
        let info = SegmentInfo {
            key: segment_key(self.partition, head.base, head.epoch),
            end: head.end(),
            clock_ms: segment.clock_ms,
        };
        let closed = CallKind::CloseSegment(Box::new((info, segment)));
        self.issue(closed, now, actions);
    }

    /// The copy is in the store: the next head leaves its records out.
    pub(super) fn segment_closed(
        &mut self,
        info: SegmentInfo,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        self.segments.push_back(info);
        self.known.head.base = self.known.head.end();
        self.known.head.records.clear();
        self.append(now, actions);
    }

    fn append(&mut self, now: ClockTime, actions: &mut ClaimActions) {
        let batch = std::mem::take(&mut self.intents);
        self.lazy_since = None;
        let mut head = self.known.head.clone();
        head.write += 1;
        head.clock_ms = self.clock_ms(now);
        head.floor = self.expired_floor(head.clock_ms);
        head.records.extend(batch.iter().map(record_of));
        let write = HeadWrite {
            purpose: HeadPurpose::Append,
            head,
            expected: self.known.revision,
            batch,
            made_at: now,
        };
        self.issue(CallKind::WriteHead(Box::new(write)), now, actions);
    }

    pub(super) fn head_written(
        &mut self,
        write: HeadWrite,
        revision: Revision,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        self.away_until = ClockTime::ZERO;
        let known = KnownHead {
            head: write.head,
            revision: Some(revision),
        };
        if write.purpose == HeadPurpose::TakeOver {
            self.head_taken(known, write.made_at, now, actions);
            return;
        }
        self.known = known;
        self.clock_anchor = write.made_at;
        let first = self.known.head.end() - write.batch.len() as u64;
        for (position, intent) in (first..).zip(write.batch) {
            self.intent_written(intent, position, now, actions);
        }
        self.drop_expired();
    }

    fn intent_written(
        &mut self,
        intent: LogIntent,
        position: u64,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        let (key, request, verdict) = match intent {
            LogIntent::Claim(ask) => return self.claim_written(ask, position, now, actions),
            LogIntent::Release { release, .. } => {
                (release.key, release.request, RunVerdict::NotRun)
            }
            LogIntent::Finish { finish, .. } => (finish.key, finish.request, finish.verdict),
        };
        // "May have run" was followed by a release. Its entry says the last word until it is
        // recorded, so the end of the first one must not be taken for it.
        if self.is_unwritten(ClaimRelease { key, request }) {
            return;
        }
        actions.push(ClaimAction::Recorded {
            key,
            request,
            verdict,
        });
    }

    fn claim_written(
        &mut self,
        ask: ClaimAsk,
        position: u64,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        let ClaimAsk { key, request, .. } = ask;
        if self.table.hold(key, position) {
            self.answer(AskId { key, request }, ClaimAnswer::Granted, actions);
        } else {
            self.release_taken(ClaimRelease { key, request }, now);
        }
    }

    /// Looks what became of a write without a clear answer.
    pub(super) fn head_checked(
        &mut self,
        write: Box<HeadWrite>,
        found: Option<&SegmentValue>,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        let found_revision = found.map(|value| value.revision);
        if found_revision == write.expected {
            self.issue(CallKind::WriteHead(write), now, actions);
            return;
        }
        let is_takeover = write.purpose == HeadPurpose::TakeOver;
        let head = found.and_then(|value| decode_head(value).ok());
        match (head, found_revision) {
            (Some(head), Some(revision)) if head.is_write(&write.head) => {
                self.head_written(*write, revision, now, actions);
            }
            // An append that this very claimer sent before it gave the partition up came late.
            (Some(head), _) if is_takeover && head.boot == self.boot => {
                self.issue(CallKind::ReadHead, now, actions);
            }
            (head, _) => self.lose(head.as_ref().map(|head| &head.owner), now, actions),
        }
    }

    /// Turns back all claims that are in no write: none of them is in the store, or ever will be.
    pub(super) fn turn_back_claims(&mut self, actions: &mut ClaimActions) {
        let (claims, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.intents)
            .into_iter()
            .partition(|intent| matches!(intent, LogIntent::Claim(_)));
        self.intents = others;
        for intent in claims {
            if let LogIntent::Claim(ClaimAsk { key, request, .. }) = intent {
                self.table.remove(key, request);
                let id = AskId { key, request };
                if self.asks.contains_key(&id) {
                    self.answer_unavailable(id, actions);
                }
            }
        }
    }

    /// The partition's clock now.
    fn clock_ms(&self, now: ClockTime) -> u64 {
        let passed = now.since(self.clock_anchor).as_millis();
        self.known.head.clock_ms + u64::try_from(passed).unwrap_or(0)
    }

    /// The first position that is still kept at this time of the partition's clock.
    fn expired_floor(&self, clock_ms: u64) -> u64 {
        let retention = u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX);
        self.segments
            .iter()
            .take_while(|info| info.clock_ms.saturating_add(retention) <= clock_ms)
            .map(|info| info.end)
            .fold(self.known.head.floor, u64::max)
    }

    /// Forgets what the head in the store no longer keeps. Not before: a successor that finds a
    /// floor below a removed segment can't load the partition.
    fn drop_expired(&mut self) {
        let floor = self.known.head.floor;
        self.table.drop_below(floor);
        while let Some(info) = self.segments.front()
            && info.end <= floor
        {
            self.doomed
                .extend(self.segments.pop_front().map(|info| info.key));
        }
    }
}

fn record_of(intent: &LogIntent) -> LogRecord {
    match *intent {
        LogIntent::Claim(ask) => LogRecord::Claim {
            key: ask.key,
            fingerprint: ask.fingerprint,
            request: ask.request,
        },
        LogIntent::Release { claim, .. } => LogRecord::Release { claim },
        LogIntent::Finish { claim, finish } => LogRecord::Finish {
            claim,
            ran: finish.verdict == RunVerdict::Ran,
        },
    }
}
