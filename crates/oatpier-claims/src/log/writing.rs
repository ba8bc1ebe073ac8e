//! Appends to the log.
//!
//! A write includes all records that were queued while the previous write was in flight. The number
//! of claims per write grows with the load; the number of writes per second does not.
//!
//! A write without an answer may have taken effect, or may still do so as long as the head has the
//! revision that the write expects. The claimer reads the head. If it finds its own write, the
//! claims are granted. If it finds another claimer's write, the partition is lost. If it finds the
//! previous head, it sends the same write again: one of the two takes effect and the other fails.

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Revision;
use oatpier_types::verdict::RunVerdict;

use super::store::{CallKind, HeadPurpose, HeadWrite};
use super::{ClaimLog, LogStage, QueryId, QueuedRecord};
use crate::event::{ClaimAction, ClaimActions, SegmentValue};
use crate::message::{ClaimAnswer, ClaimQuery, ClaimRelease};
use crate::segment::{
    ClosedSegment, KnownHead, LAYOUT, LogRecord, SegmentInfo, decode_head, encode, segment_key,
};

impl ClaimLog {
    /// Returns when the next write is due; never while a call is in flight.
    pub(super) fn write_due(&self) -> ClockTime {
        if self.stage != LogStage::Owning
            || self.pending_call.is_some()
            || self.queued_records.is_empty()
        {
            return ClockTime::NEVER;
        }
        let has_claim = self
            .queued_records
            .iter()
            .any(|queued| matches!(queued, QueuedRecord::Claim(_)));
        let wanted = match self.deferred_since {
            Some(since) if !has_claim => since + self.settings.defer_interval,
            _ => ClockTime::ZERO,
        };
        wanted.max(self.next_write).max(self.unavailable_until)
    }

    pub(super) fn write_if_due(&mut self, now: ClockTime, actions: &mut ClaimActions) {
        self.check_pending_call(now, actions);
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
        self.issue_call(closed, now, actions);
    }

    /// Handles the completed copy of the head's records: the next head omits them.
    pub(super) fn handle_segment_closed(
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
        let batch = std::mem::take(&mut self.queued_records);
        self.deferred_since = None;
        let mut head = self.known.head.clone();
        head.write += 1;
        head.clock_ms = self.clock_ms(now);
        head.floor = self.expired_floor(head.clock_ms);
        head.records.extend(batch.iter().map(to_log_record));
        let write = HeadWrite {
            purpose: HeadPurpose::Append,
            head,
            expected: self.known.revision,
            batch,
            made_at: now,
        };
        self.issue_call(CallKind::WriteHead(Box::new(write)), now, actions);
    }

    pub(super) fn handle_head_written(
        &mut self,
        write: HeadWrite,
        revision: Revision,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        self.unavailable_until = ClockTime::ZERO;
        let known = KnownHead {
            head: write.head,
            revision: Some(revision),
        };
        if write.purpose == HeadPurpose::TakeOver {
            self.handle_head_acquired(known, write.made_at, now, actions);
            return;
        }
        self.known = known;
        self.clock_anchor = write.made_at;
        let first = self.known.head.end() - write.batch.len() as u64;
        for (position, queued) in (first..).zip(write.batch) {
            self.handle_record_written(queued, position, now, actions);
        }
        self.drop_expired();
    }

    fn handle_record_written(
        &mut self,
        queued: QueuedRecord,
        position: u64,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        let (key, request, verdict) = match queued {
            QueuedRecord::Claim(query) => return self.settle_claim(query, position, now, actions),
            QueuedRecord::Release { release, .. } => {
                (release.key, release.request, RunVerdict::NotRun)
            }
            QueuedRecord::Finish { finish, .. } => (finish.key, finish.request, finish.verdict),
        };
        // A release followed the "may have run". Its entry resends the later outcome until that is
        // recorded, so the record of the earlier one must not confirm it.
        if self.is_unwritten(ClaimRelease { key, request }) {
            return;
        }
        actions.push(ClaimAction::Recorded {
            key,
            request,
            verdict,
        });
    }

    fn settle_claim(
        &mut self,
        query: ClaimQuery,
        position: u64,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        let ClaimQuery { key, request, .. } = query;
        if self.table.hold(key, position) {
            self.answer(QueryId { key, request }, ClaimAnswer::Granted, actions);
        } else {
            self.release_key(ClaimRelease { key, request }, now);
        }
    }

    /// Determines the result of a write without a definite answer.
    pub(super) fn handle_head_checked(
        &mut self,
        write: Box<HeadWrite>,
        found: Option<&SegmentValue>,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        let found_revision = found.map(|value| value.revision);
        if found_revision == write.expected {
            self.issue_call(CallKind::WriteHead(write), now, actions);
            return;
        }
        let is_takeover = write.purpose == HeadPurpose::TakeOver;
        let head = found.and_then(|value| decode_head(value).ok());
        match (head, found_revision) {
            (Some(head), Some(revision)) if head.is_write(&write.head) => {
                self.handle_head_written(*write, revision, now, actions);
            }
            // A late append that this same process sent before it lost the partition.
            (Some(head), _) if is_takeover && head.boot == self.boot => {
                self.issue_call(CallKind::ReadHead, now, actions);
            }
            (head, _) => self.lose_ownership(head.as_ref().map(|head| &head.owner), now, actions),
        }
    }

    /// Rejects all claims that are in no write: none of them is in the store, or ever will be.
    pub(super) fn reject_queued_claims(&mut self, actions: &mut ClaimActions) {
        let (claims, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queued_records)
            .into_iter()
            .partition(|queued| matches!(queued, QueuedRecord::Claim(_)));
        self.queued_records = others;
        for queued in claims {
            if let QueuedRecord::Claim(ClaimQuery { key, request, .. }) = queued {
                self.table.remove(key, request);
                let id = QueryId { key, request };
                if self.waiting_queries.contains_key(&id) {
                    self.answer_unavailable(id, actions);
                }
            }
        }
    }

    /// Returns the current time of the partition's clock.
    fn clock_ms(&self, now: ClockTime) -> u64 {
        let passed = now.since(self.clock_anchor).as_millis();
        self.known.head.clock_ms + u64::try_from(passed).unwrap_or(0)
    }

    /// Returns the first position that is retained at this time of the partition's clock.
    fn expired_floor(&self, clock_ms: u64) -> u64 {
        let retention = u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX);
        self.segments
            .iter()
            .take_while(|info| info.clock_ms.saturating_add(retention) <= clock_ms)
            .map(|info| info.end)
            .fold(self.known.head.floor, u64::max)
    }

    /// Drops the records that the head in the store no longer retains. This must not happen
    /// earlier: a successor that finds a floor below a removed segment can't load the partition.
    fn drop_expired(&mut self) {
        let floor = self.known.head.floor;
        self.table.drop_below(floor);
        while let Some(info) = self.segments.front()
            && info.end <= floor
        {
            self.expired_segments
                .extend(self.segments.pop_front().map(|info| info.key));
        }
    }
}

fn to_log_record(queued: &QueuedRecord) -> LogRecord {
    match *queued {
        QueuedRecord::Claim(query) => LogRecord::Claim {
            key: query.key,
            fingerprint: query.fingerprint,
            request: query.request,
        },
        QueuedRecord::Release { claim, .. } => LogRecord::Release { claim },
        QueuedRecord::Finish { claim, finish } => LogRecord::Finish {
            claim,
            ran: finish.verdict == RunVerdict::Ran,
        },
    }
}
