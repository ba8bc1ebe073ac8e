//! The per-process budget of calls to the store.
//!
//! The store handles a few hundred writes and about two thousand reads per second for the whole
//! fleet, and that capacity grows more slowly than the fleet. Each process derives its share from
//! the number of processes, without coordination. When calls get scarce, kinds of calls are limited
//! in the order of [`CallKind`]: a kind further down the list needs more tokens left in the bucket.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The purpose of a call, in order of priority, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallKind {
    /// Reads or watches the configuration and planned stops. Without it no change takes effect.
    ConfigWatch,
    /// Takes or renews the planner's lease, or writes the plan.
    PlannerLease,
    /// Reads the plan.
    PlanRead,
    /// Writes an agent's epoch and its intents. Without them, engines that ignore order numbers
    /// make no moves.
    EpochIntent,
    /// Claims an idempotency key.
    KeyClaim,
    /// Reads or writes what operators look at: statuses and history.
    StatusHistory,
}

impl CallKind {
    /// All kinds in order of priority, highest first.
    pub const ALL: [Self; 6] = [
        Self::ConfigWatch,
        Self::PlannerLease,
        Self::PlanRead,
        Self::EpochIntent,
        Self::KeyClaim,
        Self::StatusHistory,
    ];

    /// Returns the fraction of a full bucket that stays reserved for kinds of higher priority.
    #[must_use]
    pub fn reserve(self) -> f64 {
        match self {
            Self::ConfigWatch => 0.0,
            Self::PlannerLease => 0.1,
            Self::PlanRead => 0.2,
            Self::EpochIntent => 0.3,
            Self::KeyClaim => 0.5,
            Self::StatusHistory => 0.7,
        }
    }
}

/// Whether a call reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallMode {
    /// A read, or a watch for as long as it waits.
    Read,
    /// A write.
    Write,
}

/// The average number of calls that one process may make per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallRates {
    /// Reads per second.
    pub reads: f64,
    /// Writes per second.
    pub writes: f64,
}

/// The capacity of the store and its division among processes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreShare {
    /// The total capacity of the store.
    pub store: CallRates,
    /// The fraction of that capacity that the system may use.
    pub used: f64,
    /// The fraction of the usable capacity that goes to entries; agents get the rest.
    pub entries_fraction: f64,
    /// The number of known entries.
    pub entries: u32,
    /// The number of known agents.
    pub agents: u32,
}

impl Default for StoreShare {
    fn default() -> Self {
        Self {
            store: CallRates {
                reads: 2_000.0,
                writes: 300.0,
            },
            used: 0.6,
            entries_fraction: 0.6,
            entries: 1,
            agents: 1,
        }
    }
}

impl StoreShare {
    /// Returns the rates for one entry.
    #[must_use]
    pub fn entry(&self) -> CallRates {
        self.share_of_one(self.entries_fraction, self.entries)
    }

    /// Returns the rates for one agent.
    #[must_use]
    pub fn agent(&self) -> CallRates {
        self.share_of_one(1.0 - self.entries_fraction, self.agents)
    }

    fn share_of_one(&self, fraction: f64, count: u32) -> CallRates {
        let share = self.used * fraction / f64::from(count.max(1));
        CallRates {
            reads: self.store.reads * share,
            writes: self.store.writes * share,
        }
    }
}

/// The number of calls that an idle process may make at once (bucket size).
const BURST_CALLS: f64 = 10.0;

/// Bounds of the time over which the first calls after an outage are spread. Within them it is the
/// time in which each process's share comes to one call, so that all first calls together stay
/// within the budget.
const RECOVERY_SPREAD_MIN: Duration = Duration::from_secs(2);
const RECOVERY_SPREAD_MAX: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    rate: f64,
    refilled_at: ClockTime,
    blocked_until: ClockTime,
}

impl TokenBucket {
    fn new(rate: f64, now: ClockTime) -> Self {
        Self {
            tokens: BURST_CALLS,
            rate,
            refilled_at: now,
            blocked_until: now,
        }
    }

    fn refill(&mut self, now: ClockTime) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(BURST_CALLS);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn block_randomly(&mut self, generator: &mut ChaCha8Rng, now: ClockTime) {
        let seconds = 1.0 / self.rate.max(f64::MIN_POSITIVE);
        let spread = Duration::try_from_secs_f64(seconds).unwrap_or(RECOVERY_SPREAD_MAX);
        let spread = spread.clamp(RECOVERY_SPREAD_MIN, RECOVERY_SPREAD_MAX);
        self.blocked_until = now + spread.mul_f64(generator.random_range(0.0..1.0));
    }

    /// Returns when `needed` tokens will be available.
    fn refill_time(&self, needed: f64) -> ClockTime {
        let seconds = (needed - self.tokens) / self.rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX);
        self.refilled_at + wait + Duration::from_millis(1)
    }
}

/// Counters of calls of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCount {
    /// Calls that were allowed.
    pub made: u64,
    /// Calls that were delayed or dropped.
    pub held_back: u64,
}

/// The store call budget of one process.
#[derive(Debug, Clone)]
pub struct StoreBudget {
    reads: TokenBucket,
    writes: TokenBucket,
    counts: [CallCount; CallKind::ALL.len()],
    is_down: bool,
    generator: ChaCha8Rng,
}

impl StoreBudget {
    /// Creates a budget with `rates`.
    #[must_use]
    pub fn new(rates: CallRates, generator: ChaCha8Rng, now: ClockTime) -> Self {
        Self {
            reads: TokenBucket::new(rates.reads, now),
            writes: TokenBucket::new(rates.writes, now),
            counts: [CallCount::default(); CallKind::ALL.len()],
            is_down: false,
            generator,
        }
    }

    /// Changes the rates, for example when the number of known processes changes.
    pub fn set_rates(&mut self, rates: CallRates, now: ClockTime) {
        self.reads.refill(now);
        self.writes.refill(now);
        self.reads.rate = rates.reads;
        self.writes.rate = rates.writes;
    }

    /// Takes a token for one call.
    ///
    /// # Errors
    ///
    /// Returns the time at which to ask again, if the call is not allowed now.
    pub fn take(
        &mut self,
        kind: CallKind,
        mode: CallMode,
        now: ClockTime,
    ) -> Result<(), ClockTime> {
        let bucket = match mode {
            CallMode::Read => &mut self.reads,
            CallMode::Write => &mut self.writes,
        };
        bucket.refill(now);
        let is_blocked = now < bucket.blocked_until && kind > CallKind::PlannerLease;
        let needed = 1.0 + kind.reserve() * (BURST_CALLS - 1.0);
        let count = &mut self.counts[kind as usize];
        if is_blocked || bucket.tokens < needed {
            count.held_back += 1;
            return Err(bucket.refill_time(needed).max(bucket.blocked_until));
        }
        bucket.tokens -= 1.0;
        count.made += 1;
        Ok(())
    }

    /// Records that a call failed because the store is unavailable.
    pub fn store_failed(&mut self) {
        self.is_down = true;
    }

    /// Records that the store answered a call.
    ///
    /// After an outage every process has something to write, and all these writes at once would
    /// overload the store again. Each process therefore waits a random time. Calls for the
    /// configuration and for the planner's lease are exempt, as only a few processes make them.
    pub fn store_answered(&mut self, now: ClockTime) {
        if !self.is_down {
            return;
        }
        self.is_down = false;
        self.reads.block_randomly(&mut self.generator, now);
        self.writes.block_randomly(&mut self.generator, now);
    }

    /// Returns how many calls of a kind were allowed and held back.
    #[must_use]
    pub fn count(&self, kind: CallKind) -> CallCount {
        self.counts[kind as usize]
    }
}
