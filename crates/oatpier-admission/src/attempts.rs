//! Records of the attempts that arrived at this agent, and their verdicts.
//!
//! A refusal or a cancel that is answered with "not run" stays true only if no copy of the attempt
//! that is still in transit runs later. Finished attempts are therefore kept on record. A late copy
//! of an attempt that was refused or cancelled is refused, and a late copy of one that ran is
//! answered with its verdict. A cancel of an attempt that has not arrived yet leaves such a record
//! too, a tombstone.
//!
//! Records must be dropped eventually, and no retention time is long enough: a copy can stay in a
//! socket's buffer for as long as a process or a VM is paused. Dropping a record therefore depends
//! on order instead of time. Each attempt carries a ticket: the `(boot, sequence)` of the newest
//! queue report of this agent that its entry had received when it made the attempt. A cancel
//! carries the ticket of its attempt. Dropping a record raises a floor to the record's ticket, and
//! an arrival whose ticket is not above the floor is refused unless it is on record. Any copy of
//! the dropped attempt carries that same ticket, so it is always refused. The cost is that an entry
//! which has received nothing from the agent for the retention time of a record (one minute) is
//! refused once; that answer carries a new queue report. A ticket with a sequence number that has
//! not been issued yet is refused as well.
//!
//! A restarted agent has an empty ledger and a new boot id. It refuses attempts that name another
//! boot: they were made for the previous process, which may have answered their cancels with "not
//! run". That refusal may say "not run", since an entry sends an attempt over one connection, which
//! ends with the process that it was connected to, and never sends it twice.
//!
//! A cancel is answered with [`RunVerdict::NotRun`] only if the attempt was never started and the
//! record or the floor prevents it from starting. If the record may have been dropped after a start
//! (the ticket is not above the floor of started attempts), or the attempt was made for another
//! boot, this is unknown and the answer is [`RunVerdict::MayHaveRun`].

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{AttemptId, BootId};
use oatpier_types::verdict::RunVerdict;

use crate::event::{AdmissionLimits, AdmissionTicket};

/// The state of an attempt on record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptStage {
    Waiting,
    Started,
    Finished(RunVerdict),
}

#[derive(Debug, Clone, Copy)]
struct AttemptRecord {
    stage: AttemptStage,
    ticket: u64,
}

/// The ledger's decision on an arriving attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// The attempt is new, and now on record as waiting.
    New,
    /// The attempt was given up before, or can't be distinguished from one that was. It has not
    /// run.
    GivenUp,
    /// The attempt is a copy of an earlier one, which has this verdict.
    Copy(RunVerdict),
}

/// The ledger's decision on a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelDecision {
    /// The attempt was waiting and is now finished: the caller must remove it from the queue.
    WasQueued,
    /// The attempt is running at the endpoint and has to be cancelled there.
    Started,
    /// The attempt has finished, will never start, or is unknown; this is its verdict.
    Settled(RunVerdict),
}

/// The attempts that arrived at this agent, and their verdicts.
#[derive(Debug)]
pub struct AttemptLedger {
    boot: BootId,
    records: HashMap<AttemptId, AttemptRecord>,
    finished: VecDeque<(ClockTime, AttemptId)>,
    bound: usize,
    ttl: Duration,
    floor: u64,
    started_floor: u64,
}

impl AttemptLedger {
    /// Creates the empty ledger of an agent that has just started.
    #[must_use]
    pub fn new(boot: BootId, limits: &AdmissionLimits) -> Self {
        Self {
            boot,
            records: HashMap::new(),
            finished: VecDeque::new(),
            bound: limits.records,
            ttl: limits.record_ttl,
            floor: 0,
            started_floor: 0,
        }
    }

    /// Decides on an arriving attempt, and records it if it is new. `reports` is the sequence
    /// number of the last queue report that was issued.
    pub fn arrive(
        &mut self,
        attempt: AttemptId,
        ticket: AdmissionTicket,
        reports: u64,
    ) -> ArrivalDecision {
        if ticket.boot != self.boot {
            return ArrivalDecision::GivenUp;
        }
        if let Some(record) = self.records.get(&attempt) {
            return decide_copy(record.stage);
        }
        if ticket.sequence <= self.started_floor {
            return ArrivalDecision::Copy(RunVerdict::MayHaveRun);
        }
        if ticket.sequence <= self.floor || ticket.sequence > reports {
            return ArrivalDecision::GivenUp;
        }
        self.insert(attempt, AttemptStage::Waiting, ticket.sequence);
        ArrivalDecision::New
    }

    /// Records that the attempt is about to be sent to the endpoint. Must be called before its
    /// first byte is sent.
    pub fn start(&mut self, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&attempt) {
            record.stage = AttemptStage::Started;
        }
    }

    /// Records that a waiting attempt was refused, or that a started one has finished.
    pub fn settle(&mut self, attempt: AttemptId, verdict: RunVerdict, now: ClockTime) {
        let Some(record) = self.records.get_mut(&attempt) else {
            return;
        };
        if matches!(record.stage, AttemptStage::Finished(_)) {
            return;
        }
        record.stage = AttemptStage::Finished(verdict);
        self.push_finished(attempt, now);
    }

    /// Decides on a cancel, and leaves a tombstone if the attempt has not arrived yet.
    pub fn cancel(
        &mut self,
        attempt: AttemptId,
        ticket: AdmissionTicket,
        reports: u64,
        now: ClockTime,
    ) -> CancelDecision {
        match self.records.get(&attempt).map(|record| record.stage) {
            Some(AttemptStage::Finished(verdict)) => CancelDecision::Settled(verdict),
            Some(AttemptStage::Started) => CancelDecision::Started,
            Some(AttemptStage::Waiting) => {
                self.settle(attempt, RunVerdict::NotRun, now);
                CancelDecision::WasQueued
            }
            None => CancelDecision::Settled(self.cancel_unknown(attempt, ticket, reports, now)),
        }
    }

    /// Drops records that are older than their retention time.
    pub fn expire(&mut self, now: ClockTime) {
        while self
            .finished
            .front()
            .is_some_and(|(at, _)| *at + self.ttl <= now)
        {
            self.drop_oldest();
        }
    }

    /// Returns when the next record expires.
    #[must_use]
    pub fn next_expiry(&self) -> ClockTime {
        self.finished
            .front()
            .map_or(ClockTime::NEVER, |(at, _)| *at + self.ttl)
    }

    /// Returns the number of records of finished attempts.
    #[must_use]
    pub fn settled(&self) -> usize {
        self.finished.len()
    }

    fn cancel_unknown(
        &mut self,
        attempt: AttemptId,
        ticket: AdmissionTicket,
        reports: u64,
        now: ClockTime,
    ) -> RunVerdict {
        let is_unknown = ticket.boot != self.boot
            || ticket.sequence <= self.started_floor
            || ticket.sequence > reports;
        if is_unknown {
            return RunVerdict::MayHaveRun;
        }
        if ticket.sequence > self.floor {
            self.insert(
                attempt,
                AttemptStage::Finished(RunVerdict::NotRun),
                ticket.sequence,
            );
            self.push_finished(attempt, now);
        }
        RunVerdict::NotRun
    }

    fn insert(&mut self, attempt: AttemptId, stage: AttemptStage, ticket: u64) {
        self.records
            .insert(attempt, AttemptRecord { stage, ticket });
    }

    fn push_finished(&mut self, attempt: AttemptId, now: ClockTime) {
        self.finished.push_back((now, attempt));
        if self.finished.len() > self.bound {
            self.drop_oldest();
        }
    }

    /// Drops the oldest record and raises the floors. Without the floors, a copy that arrives after
    /// its record was dropped would run although its entry was answered "not run", or would run a
    /// second time. Every copy carries the ticket of the dropped record, so refusing tickets that
    /// are not above it is enough.
    fn drop_oldest(&mut self) {
        let Some((_, attempt)) = self.finished.pop_front() else {
            return;
        };
        let Some(record) = self.records.remove(&attempt) else {
            return;
        };
        self.floor = self.floor.max(record.ticket);
        if record.stage != AttemptStage::Finished(RunVerdict::NotRun) {
            self.started_floor = self.started_floor.max(record.ticket);
        }
    }
}

fn decide_copy(stage: AttemptStage) -> ArrivalDecision {
    match stage {
        AttemptStage::Finished(RunVerdict::NotRun) => ArrivalDecision::GivenUp,
        AttemptStage::Finished(verdict) => ArrivalDecision::Copy(verdict),
        // The first copy may still run. "Not run" would let the entry try the request elsewhere as
        // well.
        AttemptStage::Waiting | AttemptStage::Started => {
            ArrivalDecision::Copy(RunVerdict::MayHaveRun)
        }
    }
}
