//! What an entry states about itself, and how it refutes votes against it.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Generation};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::ExchangeAction;
use crate::backoff::RetryBackoff;
use crate::members::{
    MemberFacts, MemberKind, MemberPhase, MemberRow, REMOVAL_VOTES, Reachability,
};
use crate::messages::{EntryContact, FormerBoot};

/// Bounds of the delay between two refutations. The upper bound is harmless: the entry that voted
/// calls again every two seconds, and withdraws its vote as soon as it gets an answer.
const REFUTE_FIRST: Duration = Duration::from_secs(1);
const REFUTE_LONGEST: Duration = Duration::from_mins(5);

/// This entry, as stated to others.
#[derive(Debug, Clone)]
pub(super) struct OwnEntry {
    pub(super) contact: EntryContact,
    pub(super) boot: BootId,
    pub(super) incarnation: u64,
    phase: MemberPhase,
    backoff: RetryBackoff,
    refute_at: ClockTime,
    generator: ChaCha8Rng,
}

impl OwnEntry {
    pub(super) fn new(contact: EntryContact, boot: BootId, generator: ChaCha8Rng) -> Self {
        Self {
            contact,
            boot,
            incarnation: 0,
            phase: MemberPhase::Serving,
            backoff: RetryBackoff::new(REFUTE_FIRST, REFUTE_LONGEST),
            refute_at: ClockTime::ZERO,
            generator,
        }
    }

    pub(super) fn set_phase(&mut self, phase: MemberPhase) -> Vec<ExchangeAction> {
        let is_return = phase < self.phase;
        self.phase = phase;
        if is_return {
            return self.raise_incarnation(self.incarnation + 1);
        }
        Vec::new()
    }

    pub(super) fn row(&self, generation: Generation) -> MemberRow {
        MemberRow {
            facts: MemberFacts {
                daemon: self.contact.daemon.clone(),
                zone: self.contact.zone.clone(),
                address: self.contact.address,
                boot: self.boot,
                incarnation: self.incarnation,
                phase: self.phase,
                generation,
                kind: MemberKind::Entry,
            },
            votes: SmallVec::new(),
        }
    }

    /// Checks the row that others have of this entry. An earlier boot, or enough silent votes to
    /// remove this entry, need a higher incarnation. Silent votes are refuted with increasing
    /// delay. A single one is left to the entry that voted, which calls again: each higher
    /// incarnation makes all votes of this entry be sent again.
    pub(super) fn check_row(&mut self, row: &MemberRow, now: ClockTime) -> Vec<ExchangeAction> {
        let facts = &row.facts;
        if facts.boot != self.boot && facts.incarnation >= self.incarnation {
            let mut actions = self.raise_incarnation(facts.incarnation + 1);
            let former = FormerBoot {
                incarnation: facts.incarnation,
                generation: facts.generation,
            };
            actions.push(ExchangeAction::Former { former });
            return actions;
        }
        let about = self.incarnation;
        let current = row.votes.iter().filter(|vote| vote.about == about);
        let silent_votes = current
            .filter(|vote| vote.reachability == Reachability::Silent)
            .count();
        if silent_votes < REMOVAL_VOTES || now < self.refute_at {
            return Vec::new();
        }
        self.refute_at = self.backoff.record_failure(now, &mut self.generator);
        self.raise_incarnation(self.incarnation + 1)
    }

    pub(super) fn raise_incarnation(&mut self, incarnation: u64) -> Vec<ExchangeAction> {
        if incarnation <= self.incarnation {
            return Vec::new();
        }
        self.incarnation = incarnation;
        vec![ExchangeAction::IncarnationRaised]
    }
}
