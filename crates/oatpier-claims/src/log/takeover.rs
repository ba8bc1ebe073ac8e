//! Takeover of a partition by its new claimer.

use oatpier_types::clock::ClockTime;
use oatpier_types::names::DaemonName;

use super::store::{CallKind, HeadPurpose, HeadWrite};
use super::{ClaimLog, LogStage, QueryId, SuccessorHint};
use crate::event::{ClaimActions, SegmentValue};
use crate::message::ClaimAnswer;
use crate::segment::{
    KnownHead, PartitionHead, SegmentError, SegmentInfo, decode_head, decode_segment,
};
use crate::table::KeyTable;

impl ClaimLog {
    /// Starts a takeover, unless one is in progress or complete.
    pub(super) fn take_over(&mut self, now: ClockTime, actions: &mut ClaimActions) {
        if self.stage != LogStage::Idle {
            return;
        }
        self.counters.takeovers += 1;
        self.stage = LogStage::TakingOver;
        self.issue_call(CallKind::ReadHead, now, actions);
    }

    /// Writes the head that was read back with this claimer as its owner. Once this write takes
    /// effect, no write of a previous claimer can.
    pub(super) fn handle_head_read(
        &mut self,
        found: Option<&SegmentValue>,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        let Ok(head) = self.build_own_head(found) else {
            self.unavailable_until = now + self.settings.retry_interval;
            self.abort_takeover(actions);
            return;
        };
        let write = HeadWrite {
            purpose: HeadPurpose::TakeOver,
            head,
            expected: found.map(|value| value.revision),
            batch: Vec::new(),
            made_at: now,
        };
        self.issue_call(CallKind::WriteHead(Box::new(write)), now, actions);
    }

    fn build_own_head(&self, found: Option<&SegmentValue>) -> Result<PartitionHead, SegmentError> {
        let first = PartitionHead::first(self.daemon.clone(), self.boot);
        let Some(value) = found else {
            return Ok(first);
        };
        let previous = decode_head(value)?;
        Ok(PartitionHead {
            epoch: previous.epoch + 1,
            owner: first.owner,
            boot: first.boot,
            write: 0,
            ..previous
        })
    }

    /// Lists the closed segments. This must not happen before this claimer owns the head: until
    /// then the previous claimer may close another segment, and an earlier list would miss its
    /// claims.
    pub(super) fn handle_head_acquired(
        &mut self,
        known: KnownHead,
        made_at: ClockTime,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        self.known = known;
        self.clock_anchor = made_at;
        if self.known.head.base == self.known.head.floor {
            self.handle_segments_listed(&[], now, actions);
        } else {
            self.issue_call(CallKind::ListSegments, now, actions);
        }
    }

    pub(super) fn handle_segments_listed(
        &mut self,
        values: &[SegmentValue],
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        if self.load(values).is_err() {
            self.unavailable_until = now + self.settings.retry_interval;
            self.abort_takeover(actions);
            return;
        }
        self.stage = LogStage::Owning;
        self.successor = None;
        let early_outcomes = std::mem::take(&mut self.early_outcomes);
        for outcome in early_outcomes {
            self.apply_outcome(outcome, now, actions);
        }
        let waiting_queries: Vec<_> = self
            .waiting_queries
            .values()
            .map(|waiting| waiting.query)
            .collect();
        for query in waiting_queries {
            self.decide(query, now, actions);
        }
    }

    fn load(&mut self, values: &[SegmentValue]) -> Result<(), SegmentError> {
        let segments = values
            .iter()
            .map(decode_segment)
            .collect::<Result<Vec<_>, _>>()?;
        let mut infos: Vec<SegmentInfo> = values
            .iter()
            .zip(&segments)
            .map(|(value, segment)| SegmentInfo {
                key: value.key.clone(),
                end: segment.base + segment.records.len() as u64,
                clock_ms: segment.clock_ms,
            })
            .collect();
        infos.sort_by_key(|info| info.end);
        self.table = KeyTable::load(&self.known.head, segments)?;
        self.segments = infos.into();
        self.expired_segments.clear();
        Ok(())
    }

    /// Aborts a takeover; the next query starts another.
    pub(super) fn abort_takeover(&mut self, actions: &mut ClaimActions) {
        self.stage = LogStage::Idle;
        self.early_outcomes.clear();
        let waiting: Vec<QueryId> = self.waiting_queries.keys().copied().collect();
        for id in waiting {
            self.answer_unavailable(id, actions);
        }
    }

    /// Gives up ownership of the partition, or the attempt to get it. No waiting query is left in
    /// doubt: its entry asks the new claimer, which has loaded every write that took effect.
    pub(super) fn lose_ownership(
        &mut self,
        owner: Option<&DaemonName>,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        self.stage = LogStage::Idle;
        self.pending_call = None;
        self.removal = None;
        self.table = KeyTable::default();
        self.segments.clear();
        self.expired_segments.clear();
        self.queued_records.clear();
        self.early_outcomes.clear();
        self.deferred_since = None;
        self.counters.losses += 1;
        self.successor = Some(SuccessorHint {
            owner: owner.cloned(),
            until: now + self.settings.redirect_interval,
        });
        let waiting: Vec<QueryId> = self.waiting_queries.keys().copied().collect();
        for id in waiting {
            let owner = owner.cloned();
            self.answer(id, ClaimAnswer::Moved { owner }, actions);
        }
    }
}
