//! The claimer of a partition.
//!
//! The claimer is idle until an entry asks for a key or the local entry assigns it the partition.
//! Then it takes over the partition: it reads the head, writes it back with itself as owner and the
//! next epoch, and only then lists the closed segments, since after that write no other claimer can
//! close one. It owns the partition until one of its writes finds a head that it did not write.
//!
//! A grant is safe for this reason: the claim's record is in the head, by a compare-and-swap on the
//! revision of a head whose whole history this claimer has loaded. A second claimer can't have
//! appended a claim of the same key, since its write would have changed the revision. A write
//! without an answer grants nothing until a read finds it (see `log/writing.rs`).
//!
//! Obligations of an entry: it sends its query again, with the same request id, on
//! [`ClaimAnswer::Moved`] or when no answer arrives. For each request that asked for a key and will
//! not run, also after "unavailable", it sends a [`ClaimRelease`] until [`ClaimAction::Recorded`],
//! and ignores a later grant.

mod outcome;
mod store;
mod takeover;
mod writing;

use std::collections::VecDeque;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, RequestId};
use oatpier_types::names::DaemonName;

use crate::event::{CallNumber, ClaimAction, ClaimActions, ClaimEvent, ClaimSettings};
use crate::message::{ClaimAnswer, ClaimDenial, ClaimFinish, ClaimQuery, ClaimRelease, KeyHash};
use crate::partition::PartitionId;
use crate::segment::{KnownHead, PartitionHead, SegmentInfo};
use crate::table::{KeyPhase, KeyTable};
use store::PendingCall;

/// The key and request of a query that is not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct QueryId {
    key: KeyHash,
    request: RequestId,
}

#[derive(Debug, Clone, Copy)]
struct WaitingQuery {
    query: ClaimQuery,
    since: ClockTime,
}

/// A record that is queued for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum QueuedRecord {
    Claim(ClaimQuery),
    Release { claim: u64, release: ClaimRelease },
    Finish { claim: u64, finish: ClaimFinish },
}

/// The outcome of a request, as reported by its entry.
#[derive(Debug, Clone, Copy)]
enum RequestOutcome {
    Release(ClaimRelease),
    Finish(ClaimFinish),
}

/// The ownership state of a claimer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogStage {
    Idle,
    TakingOver,
    Owning,
}

/// The claimer after this one, and until when queries are redirected to it.
#[derive(Debug, Clone)]
struct SuccessorHint {
    owner: Option<DaemonName>,
    until: ClockTime,
}

/// Counters of a claimer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClaimCounters {
    /// Calls to the store that write or remove.
    pub writes: u64,
    /// Calls to the store that read or list.
    pub reads: u64,
    /// Bytes of the values written.
    pub bytes_written: u64,
    /// Claims granted.
    pub granted: u64,
    /// Claims denied.
    pub denied: u64,
    /// Claims answered "unavailable".
    pub unavailable: u64,
    /// Takeovers started.
    pub takeovers: u64,
    /// Times that another claimer was found to own the partition.
    pub losses: u64,
}

/// The claimer of a partition.
#[derive(Debug)]
pub struct ClaimLog {
    partition: PartitionId,
    daemon: DaemonName,
    boot: BootId,
    settings: ClaimSettings,
    stage: LogStage,
    successor: Option<SuccessorHint>,
    known: KnownHead,
    /// When the partition's clock had the value in the known head.
    clock_anchor: ClockTime,
    table: KeyTable,
    segments: VecDeque<SegmentInfo>,
    expired_segments: VecDeque<String>,
    waiting_queries: IndexMap<QueryId, WaitingQuery>,
    early_outcomes: Vec<RequestOutcome>,
    queued_records: Vec<QueuedRecord>,
    /// When the oldest deferred release or finish was queued.
    deferred_since: Option<ClockTime>,
    next_write: ClockTime,
    calls: u64,
    pending_call: Option<PendingCall>,
    removal: Option<(CallNumber, ClockTime)>,
    next_removal: ClockTime,
    /// Until this time the store counts as unavailable, and new keys are rejected.
    unavailable_until: ClockTime,
    counters: ClaimCounters,
}

impl ClaimLog {
    /// Creates a claimer that does not own its partition yet.
    #[must_use]
    pub fn new(
        partition: PartitionId,
        owner: DaemonName,
        boot: BootId,
        settings: ClaimSettings,
    ) -> Self {
        let head = PartitionHead::first(owner.clone(), boot);
        Self {
            partition,
            daemon: owner,
            boot,
            settings,
            stage: LogStage::Idle,
            successor: None,
            known: KnownHead {
                head,
                revision: None,
            },
            clock_anchor: ClockTime::ZERO,
            table: KeyTable::default(),
            segments: VecDeque::new(),
            expired_segments: VecDeque::new(),
            waiting_queries: IndexMap::new(),
            early_outcomes: Vec::new(),
            queued_records: Vec::new(),
            deferred_since: None,
            next_write: ClockTime::ZERO,
            calls: 0,
            pending_call: None,
            removal: None,
            next_removal: ClockTime::ZERO,
            unavailable_until: ClockTime::ZERO,
            counters: ClaimCounters::default(),
        }
    }

    /// Applies one event and returns the resulting actions.
    pub fn step(&mut self, event: ClaimEvent, now: ClockTime) -> ClaimActions {
        let mut actions = ClaimActions::new();
        // This has to come first: a claimer that was paused must not grant a query that its entry
        // gave up long ago.
        self.expire_queries(now, &mut actions);
        match event {
            ClaimEvent::OwnershipAssigned => self.take_over(now, &mut actions),
            ClaimEvent::OwnershipRevoked => self.lose_ownership(None, now, &mut actions),
            ClaimEvent::Queried(query) => self.handle_query(query, now, &mut actions),
            ClaimEvent::Released(release) => {
                self.handle_outcome(RequestOutcome::Release(release), now, &mut actions);
            }
            ClaimEvent::Finished(finish) => {
                self.handle_outcome(RequestOutcome::Finish(finish), now, &mut actions);
            }
            ClaimEvent::StoreAnswered { call, answer } => {
                self.handle_store_answer(call, answer, now, &mut actions);
            }
            ClaimEvent::StoreLost { call } => self.handle_lost_answer(call, now, &mut actions),
            ClaimEvent::Timer => {}
        }
        self.write_if_due(now, &mut actions);
        self.remove_if_due(now, &mut actions);
        actions
    }

    /// Returns when the next [`ClaimEvent::Timer`] is due; [`ClockTime::NEVER`] if none is needed.
    #[must_use]
    pub fn next_timer(&self) -> ClockTime {
        let oldest_query = self
            .waiting_queries
            .values()
            .map(|waiting| waiting.since)
            .min();
        let query_due =
            oldest_query.map_or(ClockTime::NEVER, |at| at + self.settings.answer_timeout);
        self.pending_call_due()
            .min(query_due)
            .min(self.write_due())
            .min(self.removal_due())
    }

    /// Returns whether this claimer owns its partition, according to the last head that it saw.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.stage == LogStage::Owning
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> ClaimCounters {
        self.counters
    }

    /// Returns the claims of the partition that were loaded or added.
    #[must_use]
    pub fn table(&self) -> &KeyTable {
        &self.table
    }

    fn handle_query(&mut self, query: ClaimQuery, now: ClockTime, actions: &mut ClaimActions) {
        let id = QueryId {
            key: query.key,
            request: query.request,
        };
        if let Some(moved) = self.moved_answer(now) {
            self.answer(id, moved, actions);
            return;
        }
        if self.stage == LogStage::Owning {
            self.decide(query, now, actions);
            return;
        }
        if self.is_store_unavailable(now) || self.waiting_queries.len() >= self.settings.max_waiting
        {
            self.answer_unavailable(id, actions);
            return;
        }
        self.await_answer(query, now);
        self.take_over(now, actions);
    }

    fn moved_answer(&self, now: ClockTime) -> Option<ClaimAnswer> {
        let successor = self.successor.as_ref()?;
        if self.stage != LogStage::Idle || now >= successor.until {
            return None;
        }
        let owner = successor.owner.clone();
        Some(ClaimAnswer::Moved { owner })
    }

    /// Decides on a query by the loaded table.
    fn decide(&mut self, query: ClaimQuery, now: ClockTime, actions: &mut ClaimActions) {
        let id = QueryId {
            key: query.key,
            request: query.request,
        };
        let own = self.table.get_own(query.key, query.request).copied();
        let is_own = own.is_some_and(|entry| entry.fingerprint == query.fingerprint);
        match self.table.get(query.key).copied() {
            Some(entry) if is_own && entry.phase == KeyPhase::Held => {
                self.answer(id, ClaimAnswer::Granted, actions);
            }
            _ if self.table.is_given_up(query.request) => {
                self.answer(id, ClaimAnswer::Denied(ClaimDenial::GivenUp), actions);
            }
            Some(entry) if is_own && matches!(entry.phase, KeyPhase::Pending { .. }) => {
                self.resume_pending(query);
                self.await_answer(query, now);
            }
            Some(entry) => {
                let denial = entry.denial(&query);
                self.answer(id, ClaimAnswer::Denied(denial), actions);
            }
            None => self.claim(query, now, actions),
        }
    }

    fn claim(&mut self, query: ClaimQuery, now: ClockTime, actions: &mut ClaimActions) {
        let id = QueryId {
            key: query.key,
            request: query.request,
        };
        if self.is_store_unavailable(now) || self.queued_records.len() >= self.settings.max_waiting
        {
            self.answer_unavailable(id, actions);
            return;
        }
        self.table.insert_pending(&query);
        self.queued_records.push(QueuedRecord::Claim(query));
        self.await_answer(query, now);
    }

    fn resume_pending(&mut self, query: ClaimQuery) {
        if let Some(entry) = self.table.get_own(query.key, query.request) {
            entry.phase = KeyPhase::Pending { abandoned: false };
        }
    }

    fn await_answer(&mut self, query: ClaimQuery, now: ClockTime) {
        let id = QueryId {
            key: query.key,
            request: query.request,
        };
        let waiting = WaitingQuery { query, since: now };
        self.waiting_queries.entry(id).or_insert(waiting);
    }

    fn answer(&mut self, id: QueryId, answer: ClaimAnswer, actions: &mut ClaimActions) {
        self.waiting_queries.shift_remove(&id);
        match answer {
            ClaimAnswer::Granted => self.counters.granted += 1,
            ClaimAnswer::Denied(_) => self.counters.denied += 1,
            ClaimAnswer::Unavailable { .. } => self.counters.unavailable += 1,
            ClaimAnswer::Moved { .. } => {}
        }
        actions.push(ClaimAction::Answer {
            key: id.key,
            request: id.request,
            answer,
        });
    }

    fn answer_unavailable(&mut self, id: QueryId, actions: &mut ClaimActions) {
        let retry_after = self.settings.retry_interval;
        self.answer(id, ClaimAnswer::Unavailable { retry_after }, actions);
    }

    fn is_store_unavailable(&self, now: ClockTime) -> bool {
        now < self.unavailable_until
    }

    /// Answers queries that waited too long with "unavailable".
    fn expire_queries(&mut self, now: ClockTime, actions: &mut ClaimActions) {
        let timeout = self.settings.answer_timeout;
        let overdue: Vec<QueryId> = self
            .waiting_queries
            .iter()
            .filter(|(_, waiting)| waiting.since + timeout <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.abandon(id.key, id.request);
            self.answer_unavailable(id, actions);
        }
    }

    /// Abandons a pending claim. Returns true if no record of it can be in the store.
    ///
    /// The record may be in a write whose result is unknown. The key then stays pending, and is
    /// released in the log once the write is found. If it were dropped here, another request could
    /// claim the key while the record of this one would block it after the next takeover.
    fn abandon(&mut self, key: KeyHash, request: RequestId) -> bool {
        let before = self.queued_records.len();
        self.queued_records.retain(|queued| {
            !matches!(queued, QueuedRecord::Claim(query) if query.key == key && query.request == request)
        });
        if self.queued_records.len() < before {
            self.table.remove(key, request);
            return true;
        }
        match self.table.get_own(key, request) {
            Some(entry) if matches!(entry.phase, KeyPhase::Pending { .. }) => {
                entry.phase = KeyPhase::Pending { abandoned: true };
                false
            }
            _ => true,
        }
    }
}
