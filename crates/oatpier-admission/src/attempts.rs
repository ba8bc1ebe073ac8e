//! Which attempts came to this agent, and what became of them.
//!
//! A refusal or a cancel that says "not run" stays true only if no copy of the attempt that is
//! still on its way runs later. So whatever is over stays on record: a late copy of an attempt
//! that was refused or cancelled is refused, and one of an attempt that ran is answered with its
//! verdict. A cancel of an attempt that has not come yet leaves such a record too, a tombstone.
//!
//! Records must be dropped at some point, and no span of time is long enough: a copy can lie in
//! a socket's buffer for as long as a process or a VM is paused. So dropping a record rests on
//! order instead of time. Each attempt carries a ticket, the `(boot, sequence)` of the newest
//! queue report of this agent that its entry had seen when it made the attempt, and a cancel carries the
//! ticket of its attempt. Dropping a record raises a floor to the record's ticket, and an arrival
//! whose ticket is not above the floor is refused unless it is on record. Any copy of the dropped
//! attempt carries that very ticket, so it is refused for ever. The price is that an entry which
//! has heard nothing of the agent for a record's life (a minute) is refused once; that answer
//! brings it a fresh queue report. A ticket with a number that was not given out yet is refused as well.
//!
//! A restarted agent has an empty ledger and another boot. It refuses attempts that name another
//! boot: they were made for the former process, which may have told their cancels "not run". That
//! refusal may say "not run", since an entry sends an attempt over one connection, which ends with
//! the process that it led to, and never sends it twice.
//!
//! What a cancel is told: [`RunVerdict::NotRun`] only if the attempt was never started and the
//! record or the floor keeps it from starting. If the record may have been dropped after a start
//! (its ticket is not above the floor of started attempts), or the attempt was meant for another
//! boot, that is not known, and the answer is [`RunVerdict::MayHaveRun`].

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{AttemptId, BootId};
use oatpier_types::verdict::RunVerdict;

use crate::event::{AdmissionLimits, AdmissionTicket};

/// Where an attempt on record stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptStage {
    Waiting,
    Started,
    Over(RunVerdict),
}

#[derive(Debug, Clone, Copy)]
struct AttemptRecord {
    stage: AttemptStage,
    ticket: u64,
}

/// What the ledger says to an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalJudgement {
    /// It is new, and now on record as waiting.
    New,
    /// It was given up before, or can't be told from one that was. It has not run.
    GivenUp,
    /// It is a copy of an attempt that came before, with the verdict on that one.
    Copy(RunVerdict),
}

/// What the ledger says to a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelJudgement {
    /// It was waiting and is now over: take it from the queue.
    Unqueued,
    /// It is at the endpoint: cancel it there.
    Started,
    /// It is over, will never start, or nothing is known: the verdict on it.
    Settled(RunVerdict),
}

/// Which attempts came to this agent, and what became of them.
#[derive(Debug)]
pub struct AttemptLedger {
    boot: BootId,
    records: HashMap<AttemptId, AttemptRecord>,
    over: VecDeque<(ClockTime, AttemptId)>,
    bound: usize,
    life: Duration,
    floor: u64,
    started_floor: u64,
}

impl AttemptLedger {
    /// The empty ledger of an agent that has just started.
    #[must_use]
    pub fn new(boot: BootId, limits: &AdmissionLimits) -> Self {
        Self {
            boot,
            records: HashMap::new(),
            over: VecDeque::new(),
            bound: limits.records,
            life: limits.record_life,
            floor: 0,
            started_floor: 0,
        }
    }

    /// Judges an arrival, and records it if it is new. `reports` is the number of the last queue report
    /// that was given out.
    pub fn arrive(
        &mut self,
        attempt: AttemptId,
        ticket: AdmissionTicket,
        reports: u64,
    ) -> ArrivalJudgement {
        if ticket.boot != self.boot {
            return ArrivalJudgement::GivenUp;
        }
        if let Some(record) = self.records.get(&attempt) {
            return judge_copy(record.stage);
        }
        if ticket.sequence <= self.started_floor {
            return ArrivalJudgement::Copy(RunVerdict::MayHaveRun);
        }
        if ticket.sequence <= self.floor || ticket.sequence > reports {
            return ArrivalJudgement::GivenUp;
        }
        self.insert(attempt, AttemptStage::Waiting, ticket.sequence);
        ArrivalJudgement::New
    }

    /// Records that the endpoint gets the attempt next. Called before its first byte is sent.
    pub fn start(&mut self, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&attempt) {
            record.stage = AttemptStage::Started;
        }
    }

    /// Records that a waiting attempt was refused, or that a started one is over.
    pub fn settle(&mut self, attempt: AttemptId, verdict: RunVerdict, now: ClockTime) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if matches!(record.stage, AttemptStage::Over(_)) {
            return;
        }
        record.stage = AttemptStage::Over(verdict);
        self.bury(attempt, now);
    }

    /// Judges a cancel; leaves a tombstone if the attempt has not come yet.
    pub fn cancel(
        &mut self,
        attempt: AttemptId,
        ticket: AdmissionTicket,
        reports: u64,
        now: ClockTime,
    ) -> CancelJudgement {
        match self.records.get(&attempt).map(|record| record.stage) {
            Some(AttemptStage::Over(verdict)) => CancelJudgement::Settled(verdict),
            Some(AttemptStage::Started) => CancelJudgement::Started,
            Some(AttemptStage::Waiting) => {
                self.settle(attempt, RunVerdict::NotRun, now);
                CancelJudgement::Unqueued
            }
            None => CancelJudgement::Settled(self.cancel_unknown(attempt, ticket, reports, now)),
        }
    }

    /// Drops records that are older than their life.
    pub fn expire(&mut self, now: ClockTime) {
        while self
            .over
            .front()
            .is_some_and(|(at, _)| *at + self.life <= now)
        {
            self.drop_oldest();
        }
    }

    /// When the next record expires.
    #[must_use]
    pub fn next_expiry(&self) -> ClockTime {
        self.over
            .front()
            .map_or(ClockTime::NEVER, |(at, _)| *at + self.life)
    }

    /// The records of attempts that are over.
    #[must_use]
    pub fn settled(&self) -> usize {
        self.over.len()
    }

    fn cancel_unknown(
        &mut self,
        attempt: AttemptId,
        ticket: AdmissionTicket,
        reports: u64,
        now: ClockTime,
    ) -> RunVerdict {
        let unprovable = ticket.boot != self.boot
            || ticket.sequence <= self.started_floor
            || ticket.sequence > reports;
        if unprovable {
            return RunVerdict::MayHaveRun;
        }
        if ticket.sequence > self.floor {
            self.insert(
                attempt,
                AttemptStage::Over(RunVerdict::NotRun),
                ticket.sequence,
            );
            self.bury(attempt, now);
        }
        RunVerdict::NotRun
    }

    fn insert(&mut self, attempt: AttemptId, stage: AttemptStage, ticket: u64) {
        self.records
            .insert(attempt, AttemptRecord { stage, ticket });
    }

    fn bury(&mut self, attempt: AttemptId, now: ClockTime) {
        self.over.push_back((now, attempt));
        if self.over.len() > self.bound {
            self.drop_oldest();
        }
    }

    /// Without the floors, a copy that comes after its record was dropped would run although its
    /// entry was told "not run", or run a second time. Every copy carries the dropped ticket, so
    /// refusing what is not above it is enough.
    fn drop_oldest(&mut self) {
        let Some((_, attempt)) = self.over.pop_front() else {
            return;
        };
        let Some(record) = self.records.remove(&attempt) else {
            return;
        };
        self.floor = self.floor.max(record.ticket);
        if record.stage != AttemptStage::Over(RunVerdict::NotRun) {
            self.started_floor = self.started_floor.max(record.ticket);
        }
    }
}

fn judge_copy(stage: AttemptStage) -> ArrivalJudgement {
    match stage {
        AttemptStage::Over(RunVerdict::NotRun) => ArrivalJudgement::GivenUp,
        AttemptStage::Over(verdict) => ArrivalJudgement::Copy(verdict),
        // The first copy may still run: "not run" would let the entry try it elsewhere as well.
        AttemptStage::Waiting | AttemptStage::Started => {
            ArrivalJudgement::Copy(RunVerdict::MayHaveRun)
        }
    }
}
