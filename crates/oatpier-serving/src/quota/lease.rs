//! Leases that assign the parts of limits to gateways.
//!
//! Each part has an entry in the store, which is written only by compare-and-swap on its revision. A holder renews its
//! entry, and holds the part for [`LEASE_DURATION`] from the moment at which it sent the last renewal that the store
//! acknowledged. Another gateway may take the part over once it has seen the entry unchanged for longer than that. Both
//! measure the time with their own clocks, which must only run at the same rate. Leases of the store are not used,
//! since they may expire while the store is unavailable.
//!
//! This prevents two gateways from granting units of the same part, in which case a workspace could use a third more
//! than its limit for as long as it lasts.
//!
//! The store may be restored from a copy that is some seconds old, and then has a new era. An entry written after the
//! copy was made is lost, or shows an earlier holder. The holder of the part continues by its own clock and writes the
//! entry again. All other gateways restart the time for which they have seen the entry unchanged, so that none of them
//! takes the part meanwhile.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use serde::{Deserialize, Serialize};

use super::holder::PartStart;
use super::holders::PartHolders;
use super::{PARTS, PartIndex};

/// Duration of a lease after its last renewal. It is longer than usual outages of the store. A gateway that is gone for
/// good keeps its part unavailable for as long.
pub const LEASE_DURATION: Duration = Duration::from_secs(30);

/// Interval between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(6);

/// How long an entry must be seen unchanged before the part is taken over. This is the lease duration plus the drift
/// between two clocks during that time.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(33);

/// Additional delay per rank before a gateway claims a free part. The gateway with the best rank claims first, so that
/// usually one write to the store is enough.
const RANK_DELAY: Duration = Duration::from_millis(400);

/// Delay before the first claim, in which gateways discover each other after a start.
const FIRST_CLAIM_DELAY: Duration = Duration::from_millis(1_200);

/// Rank penalty for each part that this gateway holds already.
const HELD_PART_RANKS: usize = 4;

/// Delay before a claim without an answer is repeated.
const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Number of the store's era. It increases each time the store is restored from an older copy. It is 0 if the store
/// reports none.
pub type StoreEra = u64;

/// Content of a part's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartRecord {
    /// Part that the entry describes.
    pub part: PartIndex,
    /// Address at which the holder receives messages; `None` if the last holder released the part.
    pub holder: Option<SocketAddr>,
    /// Boot number of the holder's process that wrote the entry.
    pub boot: u64,
    /// Era of the store in which the entry was written.
    pub era: StoreEra,
}

/// Entry as it was read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartEntry {
    /// Content of the entry.
    pub record: PartRecord,
    /// Revision of the last change of the entry.
    pub revision: u64,
}

/// Write of an entry on the condition that the present entry is the expected one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartClaim {
    /// New content of the entry.
    pub record: PartRecord,
    /// Revision that must be present; 0 if there must be no entry.
    pub expected: u64,
}

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The entry was written.
    Written {
        /// Revision of the new entry.
        revision: u64,
        /// Era of the store in which it was written.
        era: StoreEra,
    },
    /// Another entry is present.
    Refused {
        /// Present entry, if there is one that can be decoded.
        present: Option<PartEntry>,
        /// Era of the store in which the entry was read.
        era: StoreEra,
    },
    /// The result is unknown.
    Failed,
}

/// Change of the parts that this gateway holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// This gateway holds a part from now on.
    Begun(PartBegin),
    /// This gateway no longer holds a part.
    Ended(PartIndex),
}

/// Details of a part that this gateway starts to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartBegin {
    /// Part that is held.
    pub part: PartIndex,
    /// Initial state of the part's token buckets.
    pub start: PartStart,
    /// Time since which no other gateway can have granted units of the part.
    pub free_since: ClockTime,
}

/// Rank of this gateway for claims of free parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimPriority {
    /// Number of gateways with a better rank.
    pub rank: usize,
    /// Whether this gateway may claim and renew parts.
    pub is_eligible: bool,
}

#[derive(Debug, Clone)]
struct PartState {
    entry: Option<PartEntry>,
    /// Time since which the entry has been seen unchanged; `None` before the first read.
    seen_since: Option<ClockTime>,
    /// End of this gateway's lease on the part.
    held_until: Option<ClockTime>,
    renewed_at: ClockTime,
    /// Time at which a claim was sent that has no answer yet.
    claimed_at: Option<ClockTime>,
    /// Whether an entry of the part has ever been seen.
    was_ever_seen: bool,
}

impl PartState {
    fn holds(&self, now: ClockTime) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Returns whether a claim is in flight.
    fn is_claimed(&self, now: ClockTime) -> bool {
        self.claimed_at
            .is_some_and(|at| now.since(at) < CLAIM_RETRY_DELAY)
    }

    fn revision(&self) -> u64 {
        self.entry.as_ref().map_or(0, |entry| entry.revision)
    }

    fn observe(&mut self, entry: Option<PartEntry>, is_new_era: bool, now: ClockTime) {
        if is_new_era || self.entry != entry || self.seen_since.is_none() {
            self.seen_since = Some(now);
        }
        self.was_ever_seen |= entry.is_some();
        self.entry = entry;
    }
}

/// Identity of this gateway as a holder of parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderIdentity {
    /// Address at which it receives messages.
    pub address: SocketAddr,
    /// Boot number, drawn at random at the start of the process.
    pub boot: u64,
    /// Time at which its process started.
    pub started_at: ClockTime,
    /// Whether the whole fleet starts for the first time, so that no gateway can have held a part before.
    pub is_first_start: bool,
}

/// Leases on all parts, as known to one gateway.
#[derive(Debug)]
pub struct PartLeases {
    identity: HolderIdentity,
    /// `None` before the first read.
    era: Option<StoreEra>,
    states: Vec<PartState>,
}

impl PartLeases {
    /// Creates the state before the first read of the store.
    #[must_use]
    pub fn new(identity: HolderIdentity) -> Self {
        let state = PartState {
            entry: None,
            seen_since: None,
            held_until: None,
            renewed_at: ClockTime::ZERO,
            claimed_at: None,
            was_ever_seen: false,
        };
        Self {
            identity,
            era: None,
            states: vec![state; usize::from(PARTS)],
        }
    }

    /// Returns the holders of the parts according to the last entries seen.
    #[must_use]
    pub fn holders(&self) -> PartHolders {
        let mut holders = PartHolders::default();
        for (holder, state) in holders.iter_mut().zip(&self.states) {
            *holder = state.entry.as_ref().and_then(|entry| entry.record.holder);
        }
        holders
    }

    /// Returns whether this gateway holds a part.
    #[must_use]
    pub fn holds(&self, part: PartIndex, now: ClockTime) -> bool {
        self.states[part.place()].holds(now)
    }

    /// Applies the entries of a read of the store, and returns which parts were lost.
    pub fn apply_read(
        &mut self,
        entries: &[PartEntry],
        era: StoreEra,
        now: ClockTime,
    ) -> Vec<LeaseChange> {
        let is_new_era = self.update_era(era);
        let mut changes = Vec::new();
        for part in PartIndex::all() {
            let read_entry = entries.iter().find(|entry| entry.record.part == part);
            let state = &mut self.states[part.place()];
            let is_older = read_entry.map_or(0, |entry| entry.revision) < state.revision();
            // The read may have started before this gateway's last write.
            if is_older && !is_new_era {
                continue;
            }
            state.observe(read_entry.cloned(), is_new_era, now);
            changes.extend(self.end_if_lost(part, now));
        }
        changes
    }

    /// Records the era of the store, and returns whether it changed.
    fn update_era(&mut self, era: StoreEra) -> bool {
        let is_new = self.era.is_some_and(|known| known != era);
        self.era = Some(era);
        // Claims of other gateways may be lost in a new era. A missing entry then no longer proves that a part is free.
        self.identity.is_first_start &= !is_new;
        is_new
    }

    /// Ends the lease if it has expired or the entry shows that another gateway has taken the part.
    fn end_if_lost(&mut self, part: PartIndex, now: ClockTime) -> Option<LeaseChange> {
        let era = self.era;
        let own_address = self.identity.address;
        let state = &mut self.states[part.place()];
        state.held_until?;
        let record = state.entry.as_ref().map(|entry| &entry.record);
        let is_taken = record
            .is_some_and(|record| record.holder != Some(own_address) && Some(record.era) == era);
        if is_taken || !state.holds(now) {
            state.held_until = None;
            return Some(LeaseChange::Ended(part));
        }
        None
    }

    /// Returns the next entry that this gateway should write, if any.
    pub fn next_claim(&mut self, priority: ClaimPriority, now: ClockTime) -> Option<PartClaim> {
        if !priority.is_eligible {
            return None;
        }
        let states = self.states.iter();
        let held = states
            .filter(|state| state.holds(now) || state.is_claimed(now))
            .count();
        let rank = priority.rank + held * HELD_PART_RANKS;
        let rank_delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX).min(64);
        let part = PartIndex::all().find(|part| self.is_due(*part, rank_delay, now))?;
        self.states[part.place()].claimed_at = Some(now);
        Some(self.claim(part, Some(self.identity.address)))
    }

    fn claim(&self, part: PartIndex, holder: Option<SocketAddr>) -> PartClaim {
        PartClaim {
            record: PartRecord {
                part,
                holder,
                boot: self.identity.boot,
                era: self.era.unwrap_or_default(),
            },
            expected: self.states[part.place()].revision(),
        }
    }

    fn is_due(&self, part: PartIndex, rank_delay: Duration, now: ClockTime) -> bool {
        let state = &self.states[part.place()];
        let Some(seen_since) = state.seen_since else {
            return false;
        };
        if state.is_claimed(now) {
            return false;
        }
        let record = state.entry.as_ref().map(|entry| &entry.record);
        let is_own = record.is_some_and(|record| {
            record.holder == Some(self.identity.address) && Some(record.era) == self.era
        });
        if state.holds(now) {
            return !is_own || now.since(state.renewed_at) >= RENEW_INTERVAL;
        }
        // The part was held by an earlier process of this gateway, which has ended.
        if is_own {
            return true;
        }
        let seen = now.since(seen_since);
        let is_free = match record {
            Some(record) => record.holder.is_none() && Some(record.era) == self.era,
            None => self.identity.is_first_start && !state.was_ever_seen,
        };
        if is_free {
            seen >= FIRST_CLAIM_DELAY + rank_delay
        } else {
            seen >= TAKEOVER_DELAY + rank_delay
        }
    }

    /// Applies the result of a claim that was sent at `sent_at`.
    pub fn apply_outcome(
        &mut self,
        claim: &PartClaim,
        outcome: ClaimOutcome,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> Option<LeaseChange> {
        let part = claim.record.part;
        let state = &mut self.states[part.place()];
        state.claimed_at = None;
        match outcome {
            // The era differs from the expected one, so the compare-and-swap proves nothing. The next read shows the
            // present entry.
            ClaimOutcome::Written { era, .. } if era != claim.record.era => None,
            ClaimOutcome::Written { revision, .. } => {
                let before = state.entry.take();
                let is_first = claim.expected == 0 && !state.was_ever_seen;
                let record = claim.record.clone();
                state.observe(Some(PartEntry { record, revision }), false, now);
                let begin = self.part_begin(part, before.as_ref(), is_first, now);
                self.apply_written(claim, begin, sent_at, now)
            }
            ClaimOutcome::Refused { present, era } => {
                let is_new_era = self.update_era(era);
                if is_new_era {
                    self.restart_observations(now);
                }
                self.states[part.place()].observe(present, is_new_era, now);
                self.end_if_lost(part, now)
            }
            ClaimOutcome::Failed => {
                state.claimed_at = Some(now);
                None
            }
        }
    }

    /// Restarts the observation time of all parts, because a new era was found between two reads. The entries seen
    /// before may be gone.
    fn restart_observations(&mut self, now: ClockTime) {
        for state in &mut self.states {
            state.seen_since = state.seen_since.map(|_| now);
        }
    }

    fn apply_written(
        &mut self,
        claim: &PartClaim,
        begin: PartBegin,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> Option<LeaseChange> {
        let part = claim.record.part;
        let state = &mut self.states[part.place()];
        if claim.record.holder.is_none() {
            let was_held = state.held_until.take().is_some();
            return was_held.then_some(LeaseChange::Ended(part));
        }
        let was_held = state.held_until.is_some();
        state.held_until = Some(sent_at + LEASE_DURATION);
        state.renewed_at = sent_at;
        if was_held || !state.holds(now) {
            return None;
        }
        Some(LeaseChange::Begun(begin))
    }

    /// Returns how this gateway starts to hold a part whose last entry is `before`. If that entry was written by an
    /// earlier process of this gateway, no units were granted since this process started.
    fn part_begin(
        &self,
        part: PartIndex,
        before: Option<&PartEntry>,
        is_first: bool,
        now: ClockTime,
    ) -> PartBegin {
        let record = before.map(|entry| &entry.record);
        let is_inherited = record.is_some_and(|record| {
            record.holder == Some(self.identity.address) && record.boot != self.identity.boot
        });
        PartBegin {
            part,
            start: if is_first && self.identity.is_first_start {
                PartStart::Full
            } else {
                PartStart::Empty
            },
            free_since: if is_inherited {
                self.identity.started_at
            } else {
                now
            },
        }
    }

    /// Returns the claims that release this gateway's parts when it leaves. It grants nothing from them from now on.
    pub fn release(&mut self, now: ClockTime) -> Vec<PartClaim> {
        let held: Vec<PartIndex> = PartIndex::all()
            .filter(|part| self.holds(*part, now))
            .collect();
        for part in &held {
            self.states[part.place()].held_until = None;
        }
        held.into_iter()
            .map(|part| self.claim(part, None))
            .collect()
    }
}
