//! The claimer of one partition.
//!
//! It is idle until somebody asks or its entry assumes the partition. Then it takes the partition
//! over: it reads the head, writes it back under its own name and the next epoch, and only then
//! lists the closed segments, since from that write on no other claimer can close one. From there
//! on it owns the partition until a write of its own meets a head that is not its own.
//!
//! What makes a grant safe: the claim's record is in the head, by a compare-and-swap on the
//! revision of a head whose whole history this claimer has loaded. A second claimer can't have
//! appended a claim of the same key, since its write would have changed the revision. A write
//! without an answer grants nothing until a read finds it (see `log/writing.rs`).
//!
//! What an entry has to do: ask again, with the same request id, on [`ClaimAnswer::Moved`] or when
//! no answer comes; send a [`ClaimRelease`] until [`ClaimAction::Recorded`] for each request that
//! asked and will not run, also after "unavailable", and ignore a grant after that.

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
use crate::message::{ClaimAnswer, ClaimAsk, ClaimDenial, ClaimFinish, ClaimRelease, KeyHash};
use crate::partition::PartitionId;
use crate::segment::{KnownHead, PartitionHead, SegmentInfo};
use crate::table::{KeyPhase, KeyTable};
use store::StoreFlight;

/// An ask that is not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct AskId {
    key: KeyHash,
    request: RequestId,
}

#[derive(Debug, Clone, Copy)]
struct WaitingAsk {
    ask: ClaimAsk,
    since: ClockTime,
}

/// Something that is to be appended to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogIntent {
    Claim(ClaimAsk),
    Release { claim: u64, release: ClaimRelease },
    Finish { claim: u64, finish: ClaimFinish },
}

/// What an entry said of a request's end before the partition was loaded.
#[derive(Debug, Clone, Copy)]
enum OutcomeNote {
    Release(ClaimRelease),
    Finish(ClaimFinish),
}

/// How far the claimer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogStage {
    Idle,
    TakingOver,
    Owning,
}

/// Who is the claimer after this one, and until when askers are sent there.
#[derive(Debug, Clone)]
struct YieldedTo {
    owner: Option<DaemonName>,
    until: ClockTime,
}

/// Figures of a claimer.
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
    /// Take-overs begun.
    pub takeovers: u64,
    /// Times that the partition was found to be another's.
    pub losses: u64,
}

/// The claimer of one partition.
#[derive(Debug)]
pub struct ClaimLog {
    partition: PartitionId,
    daemon: DaemonName,
    boot: BootId,
    settings: ClaimSettings,
    stage: LogStage,
    yielded: Option<YieldedTo>,
    known: KnownHead,
    /// When the partition's clock showed what the known head says.
    clock_anchor: ClockTime,
    table: KeyTable,
    segments: VecDeque<SegmentInfo>,
    doomed: VecDeque<String>,
    asks: IndexMap<AskId, WaitingAsk>,
    notes: Vec<OutcomeNote>,
    intents: Vec<LogIntent>,
    /// Since when a release or a finish waits to be written.
    lazy_since: Option<ClockTime>,
    next_write: ClockTime,
    calls: u64,
    flight: Option<StoreFlight>,
    removal: Option<(CallNumber, ClockTime)>,
    next_removal: ClockTime,
    /// Until then the store is taken to be away, and new keys are turned back.
    away_until: ClockTime,
    counters: ClaimCounters,
}

impl ClaimLog {
    /// A claimer that does not own its partition yet.
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
            yielded: None,
            known: KnownHead {
                head,
                revision: None,
            },
            clock_anchor: ClockTime::ZERO,
            table: KeyTable::default(),
            segments: VecDeque::new(),
            doomed: VecDeque::new(),
            asks: IndexMap::new(),
            notes: Vec::new(),
            intents: Vec::new(),
            lazy_since: None,
            next_write: ClockTime::ZERO,
            calls: 0,
            flight: None,
            removal: None,
            next_removal: ClockTime::ZERO,
            away_until: ClockTime::ZERO,
            counters: ClaimCounters::default(),
        }
    }

    /// Takes one event and says what to do.
    pub fn step(&mut self, event: ClaimEvent, now: ClockTime) -> ClaimActions {
        let mut actions = ClaimActions::new();
        // First of all: a claimer that was paused must not grant what its asker gave up long ago.
        self.time_out(now, &mut actions);
        match event {
            ClaimEvent::Assumed => self.take_over(now, &mut actions),
            ClaimEvent::Resigned => self.lose(None, now, &mut actions),
            ClaimEvent::Asked(ask) => self.asked(ask, now, &mut actions),
            ClaimEvent::Released(release) => {
                self.noted(OutcomeNote::Release(release), now, &mut actions);
            }
            ClaimEvent::Finished(finish) => {
                self.noted(OutcomeNote::Finish(finish), now, &mut actions);
            }
            ClaimEvent::StoreAnswered { call, answer } => {
                self.store_answered(call, answer, now, &mut actions);
            }
            ClaimEvent::StoreLost { call } => self.store_lost(call, now, &mut actions),
            ClaimEvent::Timer => {}
        }
        self.write_if_due(now, &mut actions);
        self.remove_if_due(now, &mut actions);
        actions
    }

    /// When to give the next [`ClaimEvent::Timer`]; [`ClockTime::NEVER`] if none is wanted.
    #[must_use]
    pub fn next_timer(&self) -> ClockTime {
        let oldest_ask = self.asks.values().map(|waiting| waiting.since).min();
        let ask_due = oldest_ask.map_or(ClockTime::NEVER, |at| at + self.settings.answer_within);
        self.flight_due()
            .min(ask_due)
            .min(self.write_due())
            .min(self.removal_due())
    }

    /// Whether it owns its partition, as far as it knows.
    #[must_use]
    pub fn owns(&self) -> bool {
        self.stage == LogStage::Owning
    }

    /// Its figures.
    #[must_use]
    pub fn counters(&self) -> ClaimCounters {
        self.counters
    }

    /// What it remembers of each key.
    #[must_use]
    pub fn table(&self) -> &KeyTable {
        &self.table
    }

    fn asked(&mut self, ask: ClaimAsk, now: ClockTime, actions: &mut ClaimActions) {
        let id = AskId {
            key: ask.key,
            request: ask.request,
        };
        if let Some(moved) = self.moved(now) {
            self.answer(id, moved, actions);
            return;
        }
        if self.stage == LogStage::Owning {
            self.judge(ask, now, actions);
            return;
        }
        if self.is_away(now) || self.asks.len() >= self.settings.waiting {
            self.answer_unavailable(id, actions);
            return;
        }
        self.await_answer(ask, now);
        self.take_over(now, actions);
    }

    fn moved(&self, now: ClockTime) -> Option<ClaimAnswer> {
        let yielded = self.yielded.as_ref()?;
        if self.stage != LogStage::Idle || now >= yielded.until {
            return None;
        }
        let owner = yielded.owner.clone();
        Some(ClaimAnswer::Moved { owner })
    }

    /// Judges an ask by the loaded table.
    fn judge(&mut self, ask: ClaimAsk, now: ClockTime, actions: &mut ClaimActions) {
        let id = AskId {
            key: ask.key,
            request: ask.request,
        };
        let own = self.table.get_own(ask.key, ask.request).copied();
        let is_own = own.is_some_and(|entry| entry.fingerprint == ask.fingerprint);
        match self.table.get(ask.key).copied() {
            Some(entry) if is_own && entry.phase == KeyPhase::Held => {
                self.answer(id, ClaimAnswer::Granted, actions);
            }
            _ if self.table.gave_up(ask.request) => {
                self.answer(id, ClaimAnswer::Denied(ClaimDenial::GivenUp), actions);
            }
            Some(entry) if is_own && matches!(entry.phase, KeyPhase::Pending { .. }) => {
                self.want_again(ask);
                self.await_answer(ask, now);
            }
            Some(entry) => {
                let denial = entry.denial(&ask);
                self.answer(id, ClaimAnswer::Denied(denial), actions);
            }
            None => self.claim(ask, now, actions),
        }
    }

    fn claim(&mut self, ask: ClaimAsk, now: ClockTime, actions: &mut ClaimActions) {
        let id = AskId {
            key: ask.key,
            request: ask.request,
        };
        if self.is_away(now) || self.intents.len() >= self.settings.waiting {
            self.answer_unavailable(id, actions);
            return;
        }
        self.table.insert_pending(&ask);
        self.intents.push(LogIntent::Claim(ask));
        self.await_answer(ask, now);
    }

    fn want_again(&mut self, ask: ClaimAsk) {
        if let Some(entry) = self.table.get_own(ask.key, ask.request) {
            entry.phase = KeyPhase::Pending { abandoned: false };
        }
    }

    fn await_answer(&mut self, ask: ClaimAsk, now: ClockTime) {
        let id = AskId {
            key: ask.key,
            request: ask.request,
        };
        let waiting = WaitingAsk { ask, since: now };
        self.asks.entry(id).or_insert(waiting);
    }

    fn answer(&mut self, id: AskId, answer: ClaimAnswer, actions: &mut ClaimActions) {
        self.asks.shift_remove(&id);
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

    fn answer_unavailable(&mut self, id: AskId, actions: &mut ClaimActions) {
        let retry_after = self.settings.retry_interval;
        self.answer(id, ClaimAnswer::Unavailable { retry_after }, actions);
    }

    fn is_away(&self, now: ClockTime) -> bool {
        now < self.away_until
    }

    /// Turns back asks that waited too long.
    fn time_out(&mut self, now: ClockTime, actions: &mut ClaimActions) {
        let within = self.settings.answer_within;
        let late: Vec<AskId> = self
            .asks
            .iter()
            .filter(|(_, waiting)| waiting.since + within <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.abandon(id.key, id.request);
            self.answer_unavailable(id, actions);
        }
    }

    /// Takes back a pending claim. True if nothing of it can be in the store.
    ///
    /// Its record may be in a write whose answer is not known. Then the key stays pending, and is
    /// released in the log once the write is found: forgetting it here would let another request
    /// claim the key while the record of this one blocks it after the next take-over.
    fn abandon(&mut self, key: KeyHash, request: RequestId) -> bool {
        let before = self.intents.len();
        self.intents.retain(|intent| {
            !matches!(intent, LogIntent::Claim(ask) if ask.key == key && ask.request == request)
        });
        if self.intents.len() < before {
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
