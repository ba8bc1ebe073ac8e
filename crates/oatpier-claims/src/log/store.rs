//! Calls of the claimer to the store and their results. At most one call is in flight at a time,
//! besides removals, which nothing depends on.

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Revision;

use super::{ClaimLog, QueuedRecord};
use crate::event::{CallNumber, ClaimAction, ClaimActions, ExpectedSegment, StoreAnswer};
use crate::segment::{ClosedSegment, PartitionHead, SegmentInfo, encode, head_key, segment_prefix};

/// The purpose of a write of the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeadPurpose {
    TakeOver,
    Append,
}

/// A write of the head, with the records that it appends.
#[derive(Debug, Clone)]
pub(super) struct HeadWrite {
    pub purpose: HeadPurpose,
    pub head: PartitionHead,
    pub expected: Option<Revision>,
    /// The appended records.
    pub batch: Vec<QueuedRecord>,
    pub made_at: ClockTime,
}

/// The purpose of a call.
#[derive(Debug, Clone)]
pub(super) enum CallKind {
    /// Reads the head: the first step of a takeover.
    ReadHead,
    /// Writes the head.
    WriteHead(Box<HeadWrite>),
    /// Reads the head after a write of it without a definite result.
    CheckHead(Box<HeadWrite>),
    /// Lists the closed segments: the last step of a takeover.
    ListSegments,
    /// Copies the records of the head to a closed segment.
    CloseSegment(Box<(SegmentInfo, ClosedSegment)>),
}

/// The call that is in flight or waits for its retry.
#[derive(Debug, Clone)]
pub(super) struct PendingCall {
    pub call: CallNumber,
    /// When its answer counts as lost or, if `awaits_retry`, when it is sent again.
    pub due: ClockTime,
    pub awaits_retry: bool,
    pub kind: CallKind,
}

impl ClaimLog {
    pub(super) fn issue_call(
        &mut self,
        kind: CallKind,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        let call = self.next_call();
        actions.push(self.action_of(call, &kind));
        self.pending_call = Some(PendingCall {
            call,
            due: now + self.settings.call_timeout,
            awaits_retry: false,
            kind,
        });
    }

    fn action_of(&mut self, call: CallNumber, kind: &CallKind) -> ClaimAction {
        let key = head_key(self.partition);
        match kind {
            CallKind::ReadHead | CallKind::CheckHead(_) => {
                self.counters.reads += 1;
                ClaimAction::ReadSegment { call, key }
            }
            CallKind::ListSegments => {
                self.counters.reads += 1;
                let prefix = segment_prefix(self.partition);
                ClaimAction::ListSegments { call, prefix }
            }
            CallKind::WriteHead(write) => {
                let expected = write
                    .expected
                    .map_or(ExpectedSegment::Absent, ExpectedSegment::At);
                self.write_action(call, key, encode(&write.head), expected)
            }
            CallKind::CloseSegment(closed) => {
                let (info, segment) = &**closed;
                let value = encode(segment);
                self.write_action(call, info.key.clone(), value, ExpectedSegment::Absent)
            }
        }
    }

    fn write_action(
        &mut self,
        call: CallNumber,
        key: String,
        value: Vec<u8>,
        expected: ExpectedSegment,
    ) -> ClaimAction {
        self.counters.writes += 1;
        self.counters.bytes_written += value.len() as u64;
        ClaimAction::WriteSegment {
            call,
            key,
            value,
            expected,
        }
    }

    pub(super) fn handle_store_answer(
        &mut self,
        call: CallNumber,
        answer: StoreAnswer,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        if self.removal.is_some_and(|(removal, _)| removal == call) {
            self.handle_removal_answer(&answer, now);
            return;
        }
        let Some(kind) = self.take_pending_call(call) else {
            return;
        };
        if answer == StoreAnswer::Unavailable {
            self.unavailable_until = now + self.settings.retry_interval;
            self.handle_failed_call(kind, now, actions);
            return;
        }
        match (kind, answer) {
            (CallKind::ReadHead, StoreAnswer::Read(found)) => {
                self.handle_head_read(found.as_ref(), now, actions);
            }
            (CallKind::WriteHead(write), StoreAnswer::Written(revision)) => {
                self.handle_head_written(*write, revision, now, actions);
            }
            (CallKind::CheckHead(write), StoreAnswer::Read(found)) => {
                self.handle_head_checked(write, found.as_ref(), now, actions);
            }
            (CallKind::ListSegments, StoreAnswer::Listed(values)) => {
                self.handle_segments_listed(&values, now, actions);
            }
            // Only this claimer writes this key in this epoch. A conflict is therefore with its own
            // earlier write of the same content.
            (CallKind::CloseSegment(closed), StoreAnswer::Written(_) | StoreAnswer::Conflict) => {
                self.handle_segment_closed(closed.0, now, actions);
            }
            // The conflict may be with this claimer's own earlier write, whose answer was lost.
            (CallKind::WriteHead(write), _) => {
                self.issue_call(CallKind::CheckHead(write), now, actions);
            }
            (kind, _) => self.handle_failed_call(kind, now, actions),
        }
    }

    /// Handles a lost answer. A write may have taken effect, or may still do so; only a read can
    /// tell.
    pub(super) fn handle_lost_answer(
        &mut self,
        call: CallNumber,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        if self.removal.is_some_and(|(removal, _)| removal == call) {
            self.handle_removal_answer(&StoreAnswer::Unavailable, now);
            return;
        }
        let Some(kind) = self.take_pending_call(call) else {
            return;
        };
        self.unavailable_until = now + self.settings.retry_interval;
        match kind {
            CallKind::WriteHead(write) => self.issue_call(CallKind::CheckHead(write), now, actions),
            kind => self.handle_failed_call(kind, now, actions),
        }
    }

    /// Handles a call that had no effect, or whose effect does not matter.
    fn handle_failed_call(&mut self, kind: CallKind, now: ClockTime, actions: &mut ClaimActions) {
        match kind {
            CallKind::ReadHead | CallKind::ListSegments => self.abort_takeover(actions),
            CallKind::CloseSegment(_) => self.reject_queued_claims(actions),
            CallKind::CheckHead(write) => {
                self.schedule_retry(CallKind::CheckHead(write), now);
                self.reject_queued_claims(actions);
            }
            CallKind::WriteHead(write) => match write.purpose {
                HeadPurpose::TakeOver => self.abort_takeover(actions),
                HeadPurpose::Append => {
                    let later = std::mem::take(&mut self.queued_records);
                    self.queued_records = write.batch;
                    self.queued_records.extend(later);
                    self.reject_queued_claims(actions);
                }
            },
        }
    }

    /// Schedules a retry of a call after the retry interval.
    fn schedule_retry(&mut self, kind: CallKind, now: ClockTime) {
        self.pending_call = Some(PendingCall {
            call: self.next_call(),
            due: now + self.settings.retry_interval,
            awaits_retry: true,
            kind,
        });
    }

    fn take_pending_call(&mut self, call: CallNumber) -> Option<CallKind> {
        let pending_call = self
            .pending_call
            .take_if(|pending_call| pending_call.call == call && !pending_call.awaits_retry)?;
        Some(pending_call.kind)
    }

    /// Sends a call again whose retry is due, or treats the answer of an overdue call as lost.
    pub(super) fn check_pending_call(&mut self, now: ClockTime, actions: &mut ClaimActions) {
        let Some(pending_call) = self
            .pending_call
            .as_ref()
            .filter(|pending_call| pending_call.due <= now)
        else {
            return;
        };
        let (call, awaits_retry) = (pending_call.call, pending_call.awaits_retry);
        if !awaits_retry {
            self.handle_lost_answer(call, now, actions);
        } else if let Some(pending_call) = self.pending_call.take() {
            self.issue_call(pending_call.kind, now, actions);
        }
    }

    pub(super) fn pending_call_due(&self) -> ClockTime {
        self.pending_call
            .as_ref()
            .map_or(ClockTime::NEVER, |pending_call| pending_call.due)
    }

    /// Returns the records of a write whose effect is not known yet.
    pub(super) fn in_flight_batch(&self) -> impl Iterator<Item = &QueuedRecord> {
        let write = match self
            .pending_call
            .as_ref()
            .map(|pending_call| &pending_call.kind)
        {
            Some(CallKind::WriteHead(write) | CallKind::CheckHead(write)) => Some(write),
            _ => None,
        };
        write.into_iter().flat_map(|write| &write.batch)
    }

    fn next_call(&mut self) -> CallNumber {
        self.calls += 1;
        CallNumber(self.calls)
    }

    pub(super) fn removal_due(&self) -> ClockTime {
        match self.removal {
            Some((_, since)) => since + self.settings.call_timeout,
            None if self.expired_segments.is_empty() => ClockTime::NEVER,
            None => self.next_removal,
        }
    }

    /// Removes closed segments that the head in the store no longer refers to, one at a time.
    pub(super) fn remove_if_due(&mut self, now: ClockTime, actions: &mut ClaimActions) {
        if now < self.removal_due() {
            return;
        }
        let Some(key) = self.expired_segments.front().cloned() else {
            self.removal = None;
            return;
        };
        let call = self.next_call();
        self.counters.writes += 1;
        self.removal = Some((call, now));
        actions.push(ClaimAction::DeleteSegment { call, key });
    }

    fn handle_removal_answer(&mut self, answer: &StoreAnswer, now: ClockTime) {
        self.removal = None;
        if *answer == StoreAnswer::Unavailable {
            self.next_removal = now + self.settings.retry_interval;
        } else {
            self.expired_segments.pop_front();
            self.next_removal = now;
        }
    }
}
