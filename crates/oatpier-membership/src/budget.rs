//! How many calls to the store a process makes.
//!
//! The store takes a few hundred writes and about two thousand reads a second from the whole
//! fleet, and that grows more slowly than the fleet. Each process has its share, worked out from
//! the count of processes, without a word between them. When calls get scarce, kinds of calls
//! give way in the order of [`CallKind`]: a kind further down needs more tokens left.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Why a call is made, the most needed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallKind {
    /// Reading or watching the configuration and planned stops. Without it nothing changes.
    ConfigWatch,
    /// Taking or renewing the planner's lease; writing the plan.
    PlannerLease,
    /// Reading the plan.
    PlanRead,
    /// An agent's epoch and its intents. Without them engines that ignore order numbers make no
    /// moves.
    EpochIntent,
    /// A claim on an idempotency key.
    KeyClaim,
    /// What operators look at: statuses and history.
    StatusHistory,
}

impl CallKind {
    /// All kinds, the most needed first.
    pub const ALL: [Self; 6] = [
        Self::ConfigWatch,
        Self::PlannerLease,
        Self::PlanRead,
        Self::EpochIntent,
        Self::KeyClaim,
        Self::StatusHistory,
    ];

    /// The part of a full bucket that must be left over for kinds before this one.
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

/// Calls that one process may make in a second, on average.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallRates {
    /// Reads a second.
    pub reads: f64,
    /// Writes a second.
    pub writes: f64,
}

/// What the store takes and how it is shared out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreShare {
    /// What the store takes from all.
    pub store: CallRates,
    /// The part of it that the system may use.
    pub used: f64,
    /// The part of that which entries get; agents get the rest.
    pub entries_part: f64,
    /// Entries, as far as is known.
    pub entries: u32,
    /// Agents, as far as is known.
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
            entries_part: 0.6,
            entries: 1,
            agents: 1,
        }
    }
}

impl StoreShare {
    /// What one entry may use.
    #[must_use]
    pub fn entry(&self) -> CallRates {
        self.of_one(self.entries_part, self.entries)
    }

    /// What one agent may use.
    #[must_use]
    pub fn agent(&self) -> CallRates {
        self.of_one(1.0 - self.entries_part, self.agents)
    }

    fn of_one(&self, part: f64, count: u32) -> CallRates {
        let share = self.used * part / f64::from(count.max(1));
        CallRates {
            reads: self.store.reads * share,
            writes: self.store.writes * share,
        }
    }
}

/// Calls a process can make at once after it was quiet.
const BURST_CALLS: f64 = 10.0;

/// The first calls after an outage are spread over the time in which each process's share comes
/// to one call, so that all first calls together stay within the budget; within these bounds.
const SPREAD_LEAST: Duration = Duration::from_secs(2);
const SPREAD_MOST: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    rate: f64,
    at: ClockTime,
    closed_until: ClockTime,
}

impl TokenBucket {
    fn new(rate: f64, now: ClockTime) -> Self {
        Self {
            tokens: BURST_CALLS,
            rate,
            at: now,
            closed_until: now,
        }
    }

    fn refill(&mut self, now: ClockTime) {
        let gained = now.since(self.at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(BURST_CALLS);
        self.at = self.at.max(now);
    }

    fn close_for_a_while(&mut self, generator: &mut ChaCha8Rng, now: ClockTime) {
        let seconds = 1.0 / self.rate.max(f64::MIN_POSITIVE);
        let spread = Duration::try_from_secs_f64(seconds).unwrap_or(SPREAD_MOST);
        let spread = spread.clamp(SPREAD_LEAST, SPREAD_MOST);
        self.closed_until = now + spread.mul_f64(generator.random_range(0.0..1.0));
    }

    /// When `wanted` tokens will be there.
    fn filled_at(&self, wanted: f64) -> ClockTime {
        let seconds = (wanted - self.tokens) / self.rate.max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX);
        self.at + wait + Duration::from_millis(1)
    }
}

/// Counts of calls of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCount {
    /// Calls that were let through.
    pub made: u64,
    /// Calls that had to wait or were given up.
    pub held_back: u64,
}

/// The budget of one process.
#[derive(Debug, Clone)]
pub struct StoreBudget {
    reads: TokenBucket,
    writes: TokenBucket,
    counts: [CallCount; CallKind::ALL.len()],
    down: bool,
    generator: ChaCha8Rng,
}

impl StoreBudget {
    /// A budget at `rates`.
    #[must_use]
    pub fn new(rates: CallRates, generator: ChaCha8Rng, now: ClockTime) -> Self {
        Self {
            reads: TokenBucket::new(rates.reads, now),
            writes: TokenBucket::new(rates.writes, now),
            counts: [CallCount::default(); CallKind::ALL.len()],
            down: false,
            generator,
        }
    }

    /// Sets other rates, when more or fewer processes are known.
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
    /// When to ask again, if the call must not be made now.
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
        let closed = now < bucket.closed_until && kind > CallKind::PlannerLease;
        let wanted = 1.0 + kind.reserve() * (BURST_CALLS - 1.0);
        let count = &mut self.counts[kind as usize];
        if closed || bucket.tokens < wanted {
            count.held_back += 1;
            return Err(bucket.filled_at(wanted).max(bucket.closed_until));
        }
        bucket.tokens -= 1.0;
        count.made += 1;
        Ok(())
    }

    /// A call failed because the store is not there.
    pub fn store_failed(&mut self) {
        self.down = true;
    }

    /// A call was answered. After an outage every process has something to write, which all at
    /// once would take the store down again. Each waits a random time; the configuration and the
    /// planner's lease, which only a few processes call for, don't.
    pub fn store_answered(&mut self, now: ClockTime) {
        if !self.down {
            return;
        }
        self.down = false;
        self.reads.close_for_a_while(&mut self.generator, now);
        self.writes.close_for_a_while(&mut self.generator, now);
    }

    /// How many calls of a kind were made and held back.
    #[must_use]
    pub fn count(&self, kind: CallKind) -> CallCount {
        self.counts[kind as usize]
    }
}
