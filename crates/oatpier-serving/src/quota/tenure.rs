//! Which gateway holds which part of the limits.
//!
//! Each part has an entry in the store, written only under the condition that it is as it was seen. A holder renews
//! its entry, and holds the part for [`TENURE`] from the moment at which it sent the last renewal that the store
//! acknowledged. Whoever has seen an entry unchanged for longer than that may take the part over. Both count on
//! clocks of their own, which only have to run at one pace, and leases of the store, which may lapse while it is
//! away, play no part.
//!
//! The failure that this keeps out: two gateways hand out the same part, and a workspace may use a third more than
//! its limit for as long.
//!
//! The store may come back from a copy some seconds old, in a new era. An entry that was written since is gone then,
//! or shows an earlier holder. Who holds the part goes on by its own clock and writes the entry again; for everybody
//! else the time of seeing it unchanged begins anew, so nobody takes it meanwhile.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;

use super::holder::PartStart;
use super::holders::PartHolders;
use super::{PARTS, PartIndex};

/// How long a holder holds a part after its last renewal. Longer than the store is away as a rule; a gateway that
/// is gone for good keeps a part from everybody for as long.
pub const TENURE: Duration = Duration::from_secs(30);

/// From one renewal to the next.
pub const RENEW_EVERY: Duration = Duration::from_secs(6);

/// How long an entry must be seen unchanged before the part is taken over: the tenure, and what two clocks may
/// differ by meanwhile.
pub const TAKE_AFTER: Duration = Duration::from_secs(33);

/// A free part is claimed first by the gateway that is fittest; each other one waits this much longer, so that as a
/// rule one call to the store settles it.
const RANK_PAUSE: Duration = Duration::from_millis(400);

/// The time for gateways to hear of each other after a start.
const FIRST_PAUSE: Duration = Duration::from_millis(1_200);

/// Each part that is held already counts like so many fitter gateways.
const HELD_RANK: usize = 4;

/// A claim without an answer is repeated after this long.
const CLAIM_PAUSE: Duration = Duration::from_secs(1);

/// Which copy of the store answers; rises each time that it comes back from an older one. 0 where it does not say.
pub type StoreEra = u64;

/// A part's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartRecord {
    /// The part.
    pub part: PartIndex,
    /// Where its holder hears; none if the last one gave it back.
    pub holder: Option<SocketAddr>,
    /// Which start of the holder wrote it.
    pub boot: u64,
    /// The era in which it was written.
    pub era: StoreEra,
}

/// An entry as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartEntry {
    /// The entry.
    pub record: PartRecord,
    /// The revision of its last change.
    pub revision: u64,
}

/// An entry that is to be written if the one before is as it was seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartClaim {
    /// The new entry.
    pub record: PartRecord,
    /// The revision that must be in place; 0 for no entry.
    pub expected: u64,
}

/// What came of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It is written.
    Written {
        /// The revision of the new entry.
        revision: u64,
        /// The era in which it was written.
        era: StoreEra,
    },
    /// Another entry is in place.
    Refused {
        /// That entry, if there is one that can be read.
        present: Option<PartEntry>,
        /// The era in which it was seen.
        era: StoreEra,
    },
    /// Nobody knows.
    Failed,
}

/// What changes for this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TenureChange {
    /// It holds a part from now on.
    Begun(PartBegin),
    /// It no longer does.
    Ended(PartIndex),
}

/// How this gateway begins to hold a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartBegin {
    /// The part.
    pub part: PartIndex,
    /// What is saved up at first.
    pub start: PartStart,
    /// Since when nobody else has handed out any of it.
    pub free_since: ClockTime,
}

/// This gateway's standing when free parts are claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimStanding {
    /// Gateways that are fitter.
    pub rank: usize,
    /// Whether this gateway is to stay.
    pub is_wanted: bool,
}

#[derive(Debug, Clone)]
struct PartSeat {
    entry: Option<PartEntry>,
    /// Since when the entry is seen as it is; none before the first read.
    seen_since: Option<ClockTime>,
    /// Until when this gateway holds the part.
    held_until: Option<ClockTime>,
    renewed_at: ClockTime,
    /// When a claim was sent that has no answer yet.
    claimed_at: Option<ClockTime>,
    /// Whether any entry was ever seen.
    was_seen: bool,
}

impl PartSeat {
    fn holds(&self, now: ClockTime) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Whether a claim is on its way.
    fn is_claimed(&self, now: ClockTime) -> bool {
        self.claimed_at
            .is_some_and(|at| now.since(at) < CLAIM_PAUSE)
    }

    fn revision(&self) -> u64 {
        self.entry.as_ref().map_or(0, |entry| entry.revision)
    }

    fn see(&mut self, entry: Option<PartEntry>, is_new_era: bool, now: ClockTime) {
        if is_new_era || self.entry != entry || self.seen_since.is_none() {
            self.seen_since = Some(now);
        }
        self.was_seen |= entry.is_some();
        self.entry = entry;
    }
}

/// Who this gateway is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenureIdentity {
    /// Where it hears.
    pub address: SocketAddr,
    /// Drawn at its start.
    pub boot: u64,
    /// When its process started.
    pub started_at: ClockTime,
    /// Whether the whole fleet starts for the first time, so that nobody can have held a part before.
    pub first_start: bool,
}

/// The parts and their holders, as one gateway knows them.
#[derive(Debug)]
pub struct PartTenure {
    own: TenureIdentity,
    /// None before the first read.
    era: Option<StoreEra>,
    seats: Vec<PartSeat>,
}

impl PartTenure {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(own: TenureIdentity) -> Self {
        let seat = PartSeat {
            entry: None,
            seen_since: None,
            held_until: None,
            renewed_at: ClockTime::ZERO,
            claimed_at: None,
            was_seen: false,
        };
        Self {
            own,
            era: None,
            seats: vec![seat; usize::from(PARTS)],
        }
    }

    /// Where the parts are held.
    #[must_use]
    pub fn holders(&self) -> PartHolders {
        let mut holders = PartHolders::default();
        for (holder, seat) in holders.iter_mut().zip(&self.seats) {
            *holder = seat.entry.as_ref().and_then(|entry| entry.record.holder);
        }
        holders
    }

    /// Whether this gateway holds a part.
    #[must_use]
    pub fn holds(&self, part: PartIndex, now: ClockTime) -> bool {
        self.seats[part.place()].holds(now)
    }

    /// Takes what a read of the store showed.
    pub fn take_read(
        &mut self,
        entries: &[PartEntry],
        era: StoreEra,
        now: ClockTime,
    ) -> Vec<TenureChange> {
        let is_new_era = self.enter(era);
        let mut changes = Vec::new();
        for part in PartIndex::all() {
            let found = entries.iter().find(|entry| entry.record.part == part);
            let seat = &mut self.seats[part.place()];
            let is_older = found.map_or(0, |entry| entry.revision) < seat.revision();
            // The read may have begun before this gateway's last write.
            if is_older && !is_new_era {
                continue;
            }
            seat.see(found.cloned(), is_new_era, now);
            changes.extend(self.settle(part, now));
        }
        changes
    }

    /// Notes the era; says whether it is another one than before.
    fn enter(&mut self, era: StoreEra) -> bool {
        let is_new = self.era.is_some_and(|known| known != era);
        self.era = Some(era);
        // What others claimed may be gone: that no entry is there no longer says that nobody holds the part.
        self.own.first_start &= !is_new;
        is_new
    }

    /// What follows from the entry that is seen: a part that another gateway has taken is lost.
    fn settle(&mut self, part: PartIndex, now: ClockTime) -> Option<TenureChange> {
        let era = self.era;
        let own = self.own.address;
        let seat = &mut self.seats[part.place()];
        seat.held_until?;
        let record = seat.entry.as_ref().map(|entry| &entry.record);
        let is_taken =
            record.is_some_and(|record| record.holder != Some(own) && Some(record.era) == era);
        if is_taken || !seat.holds(now) {
            seat.held_until = None;
            return Some(TenureChange::Ended(part));
        }
        None
    }

    /// What this gateway should write now.
    pub fn due(&mut self, standing: ClaimStanding, now: ClockTime) -> Option<PartClaim> {
        if !standing.is_wanted {
            return None;
        }
        let seats = self.seats.iter();
        let held = seats
            .filter(|seat| seat.holds(now) || seat.is_claimed(now))
            .count();
        let rank = standing.rank + held * HELD_RANK;
        let rank_pause = RANK_PAUSE * u32::try_from(rank).unwrap_or(u32::MAX).min(64);
        let part = PartIndex::all().find(|part| self.is_due(*part, rank_pause, now))?;
        self.seats[part.place()].claimed_at = Some(now);
        Some(self.claim(part, Some(self.own.address)))
    }

    fn claim(&self, part: PartIndex, holder: Option<SocketAddr>) -> PartClaim {
        PartClaim {
            record: PartRecord {
                part,
                holder,
                boot: self.own.boot,
                era: self.era.unwrap_or_default(),
            },
            expected: self.seats[part.place()].revision(),
        }
    }

    fn is_due(&self, part: PartIndex, rank_pause: Duration, now: ClockTime) -> bool {
        let seat = &self.seats[part.place()];
        let Some(seen_since) = seat.seen_since else {
            return false;
        };
        if seat.is_claimed(now) {
            return false;
        }
        let record = seat.entry.as_ref().map(|entry| &entry.record);
        let is_own = record.is_some_and(|record| {
            record.holder == Some(self.own.address) && Some(record.era) == self.era
        });
        if seat.holds(now) {
            return !is_own || now.since(seat.renewed_at) >= RENEW_EVERY;
        }
        // An earlier start of this process held it, and has ended.
        if is_own {
            return true;
        }
        let seen = now.since(seen_since);
        let is_free = match record {
            Some(record) => record.holder.is_none() && Some(record.era) == self.era,
            None => self.own.first_start && !seat.was_seen,
        };
        if is_free {
            seen >= FIRST_PAUSE + rank_pause
        } else {
            seen >= TAKE_AFTER + rank_pause
        }
    }

    /// Takes what came of a claim that was sent at `sent_at`.
    pub fn take_outcome(
        &mut self,
        claim: &PartClaim,
        outcome: ClaimOutcome,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> Option<TenureChange> {
        let part = claim.record.part;
        let seat = &mut self.seats[part.place()];
        seat.claimed_at = None;
        match outcome {
            // Of another era than was thought: the condition says nothing about it. The next read shows what is there.
            ClaimOutcome::Written { era, .. } if era != claim.record.era => None,
            ClaimOutcome::Written { revision, .. } => {
                let before = seat.entry.take();
                let is_first = claim.expected == 0 && !seat.was_seen;
                let record = claim.record.clone();
                seat.see(Some(PartEntry { record, revision }), false, now);
                let begin = self.begin(part, before.as_ref(), is_first, now);
                self.note_written(claim, begin, sent_at, now)
            }
            ClaimOutcome::Refused { present, era } => {
                let is_new_era = self.enter(era);
                if is_new_era {
                    self.note_era(now);
                }
                self.seats[part.place()].see(present, is_new_era, now);
                self.settle(part, now)
            }
            ClaimOutcome::Failed => {
                seat.claimed_at = Some(now);
                None
            }
        }
    }

    /// A new era was met between two reads: what was seen of other parts may not be there any more.
    fn note_era(&mut self, now: ClockTime) {
        for seat in &mut self.seats {
            seat.seen_since = seat.seen_since.map(|_| now);
        }
    }

    fn note_written(
        &mut self,
        claim: &PartClaim,
        begin: PartBegin,
        sent_at: ClockTime,
        now: ClockTime,
    ) -> Option<TenureChange> {
        let part = claim.record.part;
        let seat = &mut self.seats[part.place()];
        if claim.record.holder.is_none() {
            let was_held = seat.held_until.take().is_some();
            return was_held.then_some(TenureChange::Ended(part));
        }
        let was_held = seat.held_until.is_some();
        seat.held_until = Some(sent_at + TENURE);
        seat.renewed_at = sent_at;
        if was_held || !seat.holds(now) {
            return None;
        }
        Some(TenureChange::Begun(begin))
    }

    /// How a part begins that was in the entry `before`. An earlier start of this process has handed out nothing
    /// since this one started.
    fn begin(
        &self,
        part: PartIndex,
        before: Option<&PartEntry>,
        is_first: bool,
        now: ClockTime,
    ) -> PartBegin {
        let record = before.map(|entry| &entry.record);
        let is_inherited = record.is_some_and(|record| {
            record.holder == Some(self.own.address) && record.boot != self.own.boot
        });
        PartBegin {
            part,
            start: if is_first && self.own.first_start {
                PartStart::Full
            } else {
                PartStart::Empty
            },
            free_since: if is_inherited {
                self.own.started_at
            } else {
                now
            },
        }
    }

    /// The parts that this gateway gives back as it leaves; it hands out nothing of them from now on.
    pub fn release(&mut self, now: ClockTime) -> Vec<PartClaim> {
        let held: Vec<PartIndex> = PartIndex::all()
            .filter(|part| self.holds(*part, now))
            .collect();
        for part in &held {
            self.seats[part.place()].held_until = None;
        }
        held.into_iter()
            .map(|part| self.claim(part, None))
            .collect()
    }
}
