//! The claimer's calls to the store and what comes of them. One call is on its way at a time,
//! beside removals, which nothing depends on.

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Revision;

use super::{ClaimLog, LogIntent};
use crate::event::{CallNumber, ClaimAction, ClaimActions, ExpectedSegment, StoreAnswer};
use crate::segment::{ClosedSegment, PartitionHead, SegmentInfo, encode, head_key, segment_prefix};

/// Why the head is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeadPurpose {
    TakeOver,
    Append,
}

/// A write of the head.
#[derive(Debug, Clone)]
pub(super) struct HeadWrite {
    pub purpose: HeadPurpose,
    pub head: PartitionHead,
    pub expected: Option<Revision>,
    /// What its last records say.
    pub batch: Vec<LogIntent>,
    pub made_at: ClockTime,
}

/// What a call is for.
#[derive(Debug, Clone)]
pub(super) enum CallKind {
    /// The first step of a take-over.
    ReadHead,
    /// A write of the head.
    WriteHead(Box<HeadWrite>),
    /// A read of the head, after a write of it without a clear answer.
    CheckHead(Box<HeadWrite>),
    /// The last step of a take-over.
    ListSegments,
    /// A copy of the head's records to a closed segment.
    CloseSegment(Box<(SegmentInfo, ClosedSegment)>),
}

/// The call that is on its way, or that is to be made again.
#[derive(Debug, Clone)]
pub(super) struct StoreFlight {
    pub call: CallNumber,
    /// When it is given up for lost, or, if `resting`, made again.
    pub due: ClockTime,
    pub resting: bool,
    pub kind: CallKind,
}

impl ClaimLog {
    pub(super) fn issue(&mut self, kind: CallKind, now: ClockTime, actions: &mut ClaimActions) {
        let call = self.next_call();
        actions.push(self.action_of(call, &kind));
        self.flight = Some(StoreFlight {
            call,
            due: now + self.settings.call_timeout,
            resting: false,
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

    pub(super) fn store_answered(
        &mut self,
        call: CallNumber,
        answer: StoreAnswer,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        if self.removal.is_some_and(|(removal, _)| removal == call) {
            self.removal_answered(&answer, now);
            return;
        }
        let Some(kind) = self.take_flight(call) else {
            return;
        };
        if answer == StoreAnswer::Unavailable {
            self.away_until = now + self.settings.retry_interval;
            self.call_refused(kind, now, actions);
            return;
        }
        match (kind, answer) {
            (CallKind::ReadHead, StoreAnswer::Read(found)) => {
                self.head_read(found.as_ref(), now, actions);
            }
            (CallKind::WriteHead(write), StoreAnswer::Written(revision)) => {
                self.head_written(*write, revision, now, actions);
            }
            (CallKind::CheckHead(write), StoreAnswer::Read(found)) => {
                self.head_checked(write, found.as_ref(), now, actions);
            }
            (CallKind::ListSegments, StoreAnswer::Listed(values)) => {
                self.segments_listed(&values, now, actions);
            }
            // Only this claimer, in this epoch, writes this key: a conflict is with its own
            // earlier try, of the same content.
            (CallKind::CloseSegment(closed), StoreAnswer::Written(_) | StoreAnswer::Conflict) => {
                self.segment_closed(closed.0, now, actions);
            }
            // A conflict may be with the claimer's own earlier try, whose answer was lost.
            (CallKind::WriteHead(write), _) => {
                self.issue(CallKind::CheckHead(write), now, actions);
            }
            (kind, _) => self.call_refused(kind, now, actions),
        }
    }

    /// No answer: a write may have taken effect, or may yet. Only a read tells.
    pub(super) fn store_lost(
        &mut self,
        call: CallNumber,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        if self.removal.is_some_and(|(removal, _)| removal == call) {
            self.removal_answered(&StoreAnswer::Unavailable, now);
            return;
        }
        let Some(kind) = self.take_flight(call) else {
            return;
        };
        self.away_until = now + self.settings.retry_interval;
        match kind {
            CallKind::WriteHead(write) => self.issue(CallKind::CheckHead(write), now, actions),
            kind => self.call_refused(kind, now, actions),
        }
    }

    /// A call without effect, or whose effect does not matter.
    fn call_refused(&mut self, kind: CallKind, now: ClockTime, actions: &mut ClaimActions) {
        match kind {
            CallKind::ReadHead | CallKind::ListSegments => self.stop_takeover(actions),
            CallKind::CloseSegment(_) => self.turn_back_claims(actions),
            CallKind::CheckHead(write) => {
                self.rest(CallKind::CheckHead(write), now);
                self.turn_back_claims(actions);
            }
            CallKind::WriteHead(write) => match write.purpose {
                HeadPurpose::TakeOver => self.stop_takeover(actions),
                HeadPurpose::Append => {
                    let later = std::mem::take(&mut self.intents);
                    self.intents = write.batch;
                    self.intents.extend(later);
                    self.turn_back_claims(actions);
                }
            },
        }
    }

    /// Makes a call again after a while.
    fn rest(&mut self, kind: CallKind, now: ClockTime) {
        self.flight = Some(StoreFlight {
            call: self.next_call(),
            due: now + self.settings.retry_interval,
            resting: true,
            kind,
        });
    }

    fn take_flight(&mut self, call: CallNumber) -> Option<CallKind> {
        let flight = self
            .flight
            .take_if(|flight| flight.call == call && !flight.resting)?;
        Some(flight.kind)
    }

    /// Makes a resting call again, or gives one without an answer up for lost.
    pub(super) fn chase_flight(&mut self, now: ClockTime, actions: &mut ClaimActions) {
        let Some(flight) = self.flight.as_ref().filter(|flight| flight.due <= now) else {
            return;
        };
        let (call, resting) = (flight.call, flight.resting);
        if !resting {
            self.store_lost(call, now, actions);
        } else if let Some(flight) = self.flight.take() {
            self.issue(flight.kind, now, actions);
        }
    }

    pub(super) fn flight_due(&self) -> ClockTime {
        self.flight
            .as_ref()
            .map_or(ClockTime::NEVER, |flight| flight.due)
    }

    /// What is in a write whose effect is not known yet.
    pub(super) fn flying_batch(&self) -> impl Iterator<Item = &LogIntent> {
        let write = match self.flight.as_ref().map(|flight| &flight.kind) {
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
            None if self.doomed.is_empty() => ClockTime::NEVER,
            None => self.next_removal,
        }
    }

    /// Removes closed segments that the head in the store no longer needs, one at a time.
    pub(super) fn remove_if_due(&mut self, now: ClockTime, actions: &mut ClaimActions) {
        if now < self.removal_due() {
            return;
        }
        let Some(key) = self.doomed.front().cloned() else {
            self.removal = None;
            return;
        };
        let call = self.next_call();
        self.counters.writes += 1;
        self.removal = Some((call, now));
        actions.push(ClaimAction::DeleteSegment { call, key });
    }

    fn removal_answered(&mut self, answer: &StoreAnswer, now: ClockTime) {
        self.removal = None;
        if *answer == StoreAnswer::Unavailable {
            self.next_removal = now + self.settings.retry_interval;
        } else {
            self.doomed.pop_front();
            self.next_removal = now;
        }
    }
}
