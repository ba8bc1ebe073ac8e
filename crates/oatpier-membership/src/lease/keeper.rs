//! The state machine that acquires, renews and releases the lease.

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Revision, Term};
use oatpier_types::names::DaemonName;
use rand_chacha::ChaCha8Rng;

use super::{
    LEASE_TTL, LEASE_VALID, LeaseAction, LeaseEvent, LeaseWrite, PlannerLease, RENEW_EVERY,
    RETRY_AFTER, StoredLease,
};
use crate::backoff::jittered;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OpenCall {
    Read,
    Write { sent: ClockTime },
}

/// What is known of the lease's key in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
enum SeenLease {
    Unknown,
    Absent,
    There(StoredLease),
}

/// Holds the planner's lease of one availability zone, or waits for it.
#[derive(Debug, Clone)]
pub struct LeaseKeeper {
    own: DaemonName,
    boot: BootId,
    seen: SeenLease,
    seen_at: ClockTime,
    wanted: Option<PlannerLease>,
    valid_until: ClockTime,
    held: Option<Term>,
    open: Option<OpenCall>,
    unsure_since: Option<ClockTime>,
    candidate: bool,
    released: bool,
    next: ClockTime,
    generator: ChaCha8Rng,
}

impl LeaseKeeper {
    /// Creates a keeper that first reads the lease a short random time after `now`.
    #[must_use]
    pub fn new(own: DaemonName, boot: BootId, mut generator: ChaCha8Rng, now: ClockTime) -> Self {
        Self {
            own,
            boot,
            seen: SeenLease::Unknown,
            seen_at: now,
            wanted: None,
            valid_until: ClockTime::ZERO,
            held: None,
            open: None,
            unsure_since: None,
            candidate: true,
            released: false,
            next: now + jittered(RETRY_AFTER, &mut generator),
            generator,
        }
    }

    /// Returns the term under which this process may plan at `now`. Must be called right before
    /// each act: a process that was paused past the end of its lease gets `None`.
    #[must_use]
    pub fn may_act(&self, now: ClockTime) -> Option<Term> {
        self.held.filter(|_| now < self.valid_until)
    }

    /// Returns when a tick has something to do.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        let next = match self.open {
            Some(_) => ClockTime::NEVER,
            None => self.next,
        };
        match self.held {
            Some(_) => next.min(self.valid_until),
            None => next,
        }
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, event: LeaseEvent, now: ClockTime) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        if now >= self.valid_until {
            self.give_up(&mut actions);
        }
        match event {
            LeaseEvent::Tick => {}
            LeaseEvent::Read(read) => self.take_read(read, now, &mut actions),
            LeaseEvent::Wrote(write) => self.take_write(write, now, &mut actions),
            LeaseEvent::Candidate(candidate) => self.set_candidate(candidate, now),
            LeaseEvent::Release => {
                self.released = true;
                self.give_up(&mut actions);
                self.next = now;
            }
        }
        if self.open.is_none() && now >= self.next {
            self.step(now, &mut actions);
        }
        actions
    }

    fn set_candidate(&mut self, candidate: bool, now: ClockTime) {
        if candidate && !self.candidate {
            self.next = now + jittered(RETRY_AFTER, &mut self.generator);
            self.seen = SeenLease::Unknown;
        }
        self.candidate = candidate;
    }

    fn take_read(
        &mut self,
        read: Result<Option<StoredLease>, ()>,
        now: ClockTime,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.open = None;
        self.next = now + jittered(RETRY_AFTER, &mut self.generator);
        let Ok(found) = read else {
            return;
        };
        self.settle_unsure(found.as_ref(), now, actions);
        let found = found.map_or(SeenLease::Absent, SeenLease::There);
        if found != self.seen {
            self.seen_at = now;
            self.seen = found;
        }
        self.plan_next(now);
    }

    /// After a lost answer, checks whether the lease that was read is the one that this process
    /// wrote.
    fn settle_unsure(
        &mut self,
        found: Option<&StoredLease>,
        now: ClockTime,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some(sent) = self.unsure_since.take() else {
            return;
        };
        let found = found.map(|found| &found.lease);
        if found.is_some() && found == self.wanted.as_ref() {
            self.written(sent, now, actions);
        } else if found.is_none_or(|found| !self.is_own(found)) {
            self.give_up(actions);
        }
    }

    fn take_write(&mut self, write: LeaseWrite, now: ClockTime, actions: &mut Vec<LeaseAction>) {
        let Some(OpenCall::Write { sent }) = self.open.take() else {
            return;
        };
        match write {
            LeaseWrite::Written(revision) => {
                if let Some(lease) = self.wanted.clone() {
                    self.seen = SeenLease::There(StoredLease { revision, lease });
                    self.seen_at = now;
                }
                self.written(sent, now, actions);
                self.plan_next(now);
            }
            LeaseWrite::Conflict => {
                self.give_up(actions);
                self.seen = SeenLease::Unknown;
                self.next = now;
            }
            LeaseWrite::Failed => {
                self.next = now + jittered(RETRY_AFTER, &mut self.generator);
            }
            LeaseWrite::AnswerLost => {
                self.unsure_since = Some(sent);
                self.next = now;
            }
        }
    }

    /// Starts the lease at the time when the write was sent, as the store may have applied it right
    /// then. An answer that arrives after the end of the lease has no effect.
    fn written(&mut self, sent: ClockTime, now: ClockTime, actions: &mut Vec<LeaseAction>) {
        let until = sent + LEASE_VALID;
        let Some(lease) = self.wanted.as_ref().filter(|lease| !lease.released) else {
            return;
        };
        if self.released || now >= until {
            return;
        }
        self.valid_until = until;
        if self.held != Some(lease.term) {
            self.held = Some(lease.term);
            actions.push(LeaseAction::Gained(lease.term));
        }
    }

    fn give_up(&mut self, actions: &mut Vec<LeaseAction>) {
        if let Some(term) = self.held.take() {
            actions.push(LeaseAction::Lost(term));
        }
    }

    fn plan_next(&mut self, now: ClockTime) {
        let free = match &self.seen {
            SeenLease::There(seen) => self.is_free(seen, now),
            SeenLease::Absent | SeenLease::Unknown => true,
        };
        self.next = if self.released || (free && self.held.is_none()) {
            now
        } else {
            now + jittered(RENEW_EVERY, &mut self.generator)
        };
    }

    fn is_own(&self, lease: &PlannerLease) -> bool {
        lease.holder == self.own && lease.boot == self.boot
    }

    /// Whether this process may take the lease. A write at the revision that was read proves that
    /// there was no renewal since.
    fn is_free(&self, seen: &StoredLease, now: ClockTime) -> bool {
        let own = self.is_own(&seen.lease);
        own || seen.lease.released || now.since(self.seen_at) >= LEASE_TTL
    }

    /// Reads the key if its value is unknown; otherwise writes it if the lease is free or held by
    /// this process.
    fn step(&mut self, now: ClockTime, actions: &mut Vec<LeaseAction>) {
        if self.unsure_since.is_some() {
            return self.read(actions);
        }
        let wanted = match (&self.seen, self.held) {
            (SeenLease::There(seen), _) if self.released => self.release_of(seen),
            _ if self.released || (!self.candidate && self.held.is_none()) => None,
            (SeenLease::Absent, _) => Some((self.taken(Term(1)), None)),
            (SeenLease::There(seen), Some(_)) => Some((renewed(seen), Some(seen.revision))),
            (SeenLease::There(seen), None) if self.is_free(seen, now) => {
                Some((self.taken(seen.lease.term.next()), Some(seen.revision)))
            }
            _ => return self.read(actions),
        };
        match wanted {
            Some((lease, expected)) => self.write(lease, expected, now, actions),
            None => self.next = ClockTime::NEVER,
        }
    }

    fn release_of(&self, seen: &StoredLease) -> Option<(PlannerLease, Option<Revision>)> {
        if !self.is_own(&seen.lease) || seen.lease.released {
            return None;
        }
        let lease = PlannerLease {
            released: true,
            ..renewed(seen)
        };
        Some((lease, Some(seen.revision)))
    }

    fn taken(&self, term: Term) -> PlannerLease {
        PlannerLease {
            holder: self.own.clone(),
            boot: self.boot,
            term,
            renewals: 0,
            released: false,
        }
    }

    fn read(&mut self, actions: &mut Vec<LeaseAction>) {
        self.open = Some(OpenCall::Read);
        actions.push(LeaseAction::Read);
    }

    fn write(
        &mut self,
        lease: PlannerLease,
        expected: Option<Revision>,
        now: ClockTime,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.open = Some(OpenCall::Write { sent: now });
        self.wanted = Some(lease.clone());
        actions.push(LeaseAction::Write { lease, expected });
    }
}

fn renewed(seen: &StoredLease) -> PlannerLease {
    PlannerLease {
        renewals: seen.lease.renewals + 1,
        ..seen.lease.clone()
    }
}
