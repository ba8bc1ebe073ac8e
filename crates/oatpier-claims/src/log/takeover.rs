//! Becoming the claimer of the partition.

use oatpier_types::clock::ClockTime;
use oatpier_types::names::DaemonName;

use super::store::{CallKind, HeadPurpose, HeadWrite};
use super::{AskId, ClaimLog, LogStage, YieldedTo};
use crate::event::{ClaimActions, SegmentValue};
use crate::message::ClaimAnswer;
use crate::segment::{
    KnownHead, PartitionHead, SegmentError, SegmentInfo, decode_head, decode_segment,
};
use crate::table::KeyTable;

impl ClaimLog {
    /// Begins a take-over, unless one is under way or done.
    pub(super) fn take_over(&mut self, now: ClockTime, actions: &mut ClaimActions) {
        if self.stage != LogStage::Idle {
            return;
        }
        self.counters.takeovers += 1;
        self.stage = LogStage::TakingOver;
        self.issue(CallKind::ReadHead, now, actions);
    }

    /// Writes the head that was found back under this claimer's name. From the moment that this
    /// takes effect, no write of a former claimer can.
    pub(super) fn head_read(
        &mut self,
        found: Option<&SegmentValue>,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        let Ok(head) = self.own_head(found) else {
            self.away_until = now + self.settings.retry_interval;
            self.stop_takeover(actions);
            return;
        };
        let write = HeadWrite {
            purpose: HeadPurpose::TakeOver,
            head,
            expected: found.map(|value| value.revision),
            batch: Vec::new(),
            made_at: now,
        };
        self.issue(CallKind::WriteHead(Box::new(write)), now, actions);
    }

    fn own_head(&self, found: Option<&SegmentValue>) -> Result<PartitionHead, SegmentError> {
        let first = PartitionHead::first(self.daemon.clone(), self.boot);
        let Some(value) = found else {
            return Ok(first);
        };
        let former = decode_head(value)?;
        Ok(PartitionHead {
            epoch: former.epoch + 1,
            owner: first.owner,
            boot: first.boot,
            write: 0,
            ..former
        })
    }

    /// Lists the closed segments. Not before the head is this claimer's: until then the former
    /// one may close another, and a list that was read before would miss its claims.
    pub(super) fn head_taken(
        &mut self,
        known: KnownHead,
        made_at: ClockTime,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        self.known = known;
        self.clock_anchor = made_at;
        if self.known.head.base == self.known.head.floor {
            self.segments_listed(&[], now, actions);
        } else {
            self.issue(CallKind::ListSegments, now, actions);
        }
    }

    pub(super) fn segments_listed(
        &mut self,
        values: &[SegmentValue],
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        if self.load(values).is_err() {
            self.away_until = now + self.settings.retry_interval;
            self.stop_takeover(actions);
            return;
        }
        self.stage = LogStage::Owning;
        self.yielded = None;
        let notes = std::mem::take(&mut self.notes);
        for note in notes {
            self.settle(note, now, actions);
        }
        let asks: Vec<_> = self.asks.values().map(|waiting| waiting.ask).collect();
        for ask in asks {
            self.judge(ask, now, actions);
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
        self.doomed.clear();
        Ok(())
    }

    /// Gives a take-over up; the next ask begins another.
    pub(super) fn stop_takeover(&mut self, actions: &mut ClaimActions) {
        self.stage = LogStage::Idle;
        self.notes.clear();
        let waiting: Vec<AskId> = self.asks.keys().copied().collect();
        for id in waiting {
            self.answer_unavailable(id, actions);
        }
    }

    /// Stops owning the partition, or trying to. Nothing that waits is in doubt for its asker: it
    /// asks the new claimer, which has loaded whatever took effect.
    pub(super) fn lose(
        &mut self,
        owner: Option<&DaemonName>,
        now: ClockTime,
        actions: &mut ClaimActions,
    ) {
        self.stage = LogStage::Idle;
        self.flight = None;
        self.removal = None;
        self.table = KeyTable::default();
        self.segments.clear();
        self.doomed.clear();
        self.intents.clear();
        self.notes.clear();
        self.lazy_since = None;
        self.counters.losses += 1;
        self.yielded = Some(YieldedTo {
            owner: owner.cloned(),
            until: now + self.settings.yield_interval,
        });
        let waiting: Vec<AskId> = self.asks.keys().copied().collect();
        for id in waiting {
            let owner = owner.cloned();
            self.answer(id, ClaimAnswer::Moved { owner }, actions);
        }
    }
}
