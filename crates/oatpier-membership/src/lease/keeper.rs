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
    Present(StoredLease),
}

/// Holds the planner's lease of one availability zone, or waits for it.
#[derive(Debug, Clone)]
pub struct LeaseKeeper {
    own: DaemonName,
    boot: BootId,
    seen: SeenLease,
    seen_at: ClockTime,
    proposed: Option<PlannerLease>,
    valid_until: ClockTime,
    held_term: Option<Term>,
    open_call: Option<OpenCall>,
    unconfirmed_since: Option<ClockTime>,
    is_candidate: bool,
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
            proposed: None,
            valid_until: ClockTime::ZERO,
            held_term: None,
            open_call: None,
            unconfirmed_since: None,
            is_candidate: true,
            released: false,
            next: now + jittered(RETRY_AFTER, &mut generator),
            generator,
        }
    }

    /// Returns the term under which this process may plan at `now`. Must be called right before
    /// each act: a process that was paused past the end of its lease gets `None`.
    #[must_use]
    pub fn may_act(&self, now: ClockTime) -> Option<Term> {
        self.held_term.filter(|_| now < self.valid_until)
    }

    /// Returns when a tick has something to do.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        let next = match self.open_call {
            Some(_) => ClockTime::NEVER,
            None => self.next,
        };
        match self.held_term {
            Some(_) => next.min(self.valid_until),
            None => next,
        }
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, event: LeaseEvent, now: ClockTime) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        if now >= self.valid_until {
            self.drop_lease(&mut actions);
        }
        match event {
            LeaseEvent::Tick => {}
            LeaseEvent::Read(read) => self.handle_read(read, now, &mut actions),
            LeaseEvent::Wrote(write) => self.handle_write(write, now, &mut actions),
            LeaseEvent::Candidate(is_candidate) => self.set_candidate(is_candidate, now),
            LeaseEvent::Release => {
                self.released = true;
                self.drop_lease(&mut actions);
                self.next = now;
            }
        }
        if self.open_call.is_none() && now >= self.next {
            self.step(now, &mut actions);
        }
        actions
    }

    fn set_candidate(&mut self, is_candidate: bool, now: ClockTime) {
        if is_candidate && !self.is_candidate {
            self.next = now + jittered(RETRY_AFTER, &mut self.generator);
            self.seen = SeenLease::Unknown;
        }
        self.is_candidate = is_candidate;
    }

    fn handle_read(
        &mut self,
        read: Result<Option<StoredLease>, ()>,
        now: ClockTime,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.open_call = None;
        self.next = now + jittered(RETRY_AFTER, &mut self.generator);
        let Ok(found) = read else {
            return;
        };
        self.resolve_unconfirmed(found.as_ref(), now, actions);
        let found = found.map_or(SeenLease::Absent, SeenLease::Present);
        if found != self.seen {
            self.seen_at = now;
            self.seen = found;
        }
        self.schedule_next(now);
    }

    /// After a lost answer, checks whether the lease that was read is the one that this process
    /// wrote.
    fn resolve_unconfirmed(
        &mut self,
        found: Option<&StoredLease>,
        now: ClockTime,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some(sent) = self.unconfirmed_since.take() else {
            return;
        };
        let found = found.map(|found| &found.lease);
        if found.is_some() && found == self.proposed.as_ref() {
            self.confirm_write(sent, now, actions);
        } else if found.is_none_or(|found| !self.is_own(found)) {
            self.drop_lease(actions);
        }
    }

    fn handle_write(&mut self, write: LeaseWrite, now: ClockTime, actions: &mut Vec<LeaseAction>) {
        let Some(OpenCall::Write { sent }) = self.open_call.take() else {
            return;
        };
        match write {
            LeaseWrite::Written(revision) => {
                if let Some(lease) = self.proposed.clone() {
                    self.seen = SeenLease::Present(StoredLease { revision, lease });
                    self.seen_at = now;
                }
                self.confirm_write(sent, now, actions);
                self.schedule_next(now);
            }
            LeaseWrite::Conflict => {
                self.drop_lease(actions);
                self.seen = SeenLease::Unknown;
                self.next = now;
            }
            LeaseWrite::Failed => {
                self.next = now + jittered(RETRY_AFTER, &mut self.generator);
            }
            LeaseWrite::AnswerLost => {
                self.unconfirmed_since = Some(sent);
                self.next = now;
            }
        }
    }

    /// Starts the lease at the time when the write was sent, as the store may have applied it right
    /// then. An answer that arrives after the end of the lease has no effect.
    fn confirm_write(&mut self, sent: ClockTime, now: ClockTime, actions: &mut Vec<LeaseAction>) {
        let until = sent + LEASE_VALID;
        let Some(lease) = self.proposed.as_ref().filter(|lease| !lease.released) else {
            return;
        };
        if self.released || now >= until {
            return;
        }
        self.valid_until = until;
        if self.held_term != Some(lease.term) {
            self.held_term = Some(lease.term);
            actions.push(LeaseAction::Gained(lease.term));
        }
    }

    fn drop_lease(&mut self, actions: &mut Vec<LeaseAction>) {
        if let Some(term) = self.held_term.take() {
            actions.push(LeaseAction::Lost(term));
        }
    }

    fn schedule_next(&mut self, now: ClockTime) {
        let free = match &self.seen {
            SeenLease::Present(seen) => self.is_free(seen, now),
            SeenLease::Absent | SeenLease::Unknown => true,
        };
        self.next = if self.released || (free && self.held_term.is_none()) {
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
        if self.unconfirmed_since.is_some() {
            return self.read(actions);
        }
        let proposed = match (&self.seen, self.held_term) {
            (SeenLease::Present(seen), _) if self.released => self.released_lease(seen),
            _ if self.released || (!self.is_candidate && self.held_term.is_none()) => None,
            (SeenLease::Absent, _) => Some((self.new_lease(Term(1)), None)),
            (SeenLease::Present(seen), Some(_)) => Some((renewed_lease(seen), Some(seen.revision))),
            (SeenLease::Present(seen), None) if self.is_free(seen, now) => {
                Some((self.new_lease(seen.lease.term.next()), Some(seen.revision)))
            }
            _ => return self.read(actions),
        };
        match proposed {
            Some((lease, expected)) => self.write(lease, expected, now, actions),
            None => self.next = ClockTime::NEVER,
        }
    }

    fn released_lease(&self, seen: &StoredLease) -> Option<(PlannerLease, Option<Revision>)> {
        if !self.is_own(&seen.lease) || seen.lease.released {
            return None;
        }
        let lease = PlannerLease {
            released: true,
            ..renewed_lease(seen)
        };
        Some((lease, Some(seen.revision)))
    }

    fn new_lease(&self, term: Term) -> PlannerLease {
        PlannerLease {
            holder: self.own.clone(),
            boot: self.boot,
            term,
            renewals: 0,
            released: false,
        }
    }

    fn read(&mut self, actions: &mut Vec<LeaseAction>) {
        self.open_call = Some(OpenCall::Read);
        actions.push(LeaseAction::Read);
    }

    fn write(
        &mut self,
        lease: PlannerLease,
        expected: Option<Revision>,
        now: ClockTime,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.open_call = Some(OpenCall::Write { sent: now });
        self.proposed = Some(lease.clone());
        actions.push(LeaseAction::Write { lease, expected });
    }
}

fn renewed_lease(seen: &StoredLease) -> PlannerLease {
    PlannerLease {
        renewals: seen.lease.renewals + 1,
        ..seen.lease.clone()
    }
}
