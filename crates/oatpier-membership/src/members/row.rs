//! One row of the table, as sent between entries.

use std::net::SocketAddr;

use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::{DaemonName, ZoneName};
use oatpier_types::status::EndpointStatus;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::messages::EntryContact;

/// Whether a process serves. The phase only advances within an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub enum MemberPhase {
    /// It accepts new work.
    #[default]
    Serving,
    /// It accepts no new work and finishes the work in flight.
    Leaving,
    /// It exited on its own.
    Left,
}

/// The kind of a process.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum MemberKind {
    /// An entry.
    Entry,
    /// An agent, with its endpoint.
    Agent(Box<EndpointStatus>),
}

/// What a process states about itself.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberFacts {
    /// The process.
    pub daemon: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address on which it listens for other processes.
    pub address: SocketAddr,
    /// Its boot.
    pub boot: BootId,
    /// Orders its boots, and its refutations of wrong votes about it.
    pub incarnation: u64,
    /// Whether it serves.
    pub phase: MemberPhase,
    /// The generation that was in force at it when it stated this.
    pub generation: Generation,
    /// Its kind.
    pub kind: MemberKind,
}

impl MemberFacts {
    /// Returns a key that orders facts: later facts have a higher one.
    #[must_use]
    pub fn order(&self) -> (u64, MemberPhase, u64, BootId) {
        (
            self.incarnation,
            self.phase,
            self.ready_sequence(),
            self.boot,
        )
    }

    /// Returns the endpoint's status, for an agent.
    #[must_use]
    pub fn status(&self) -> Option<&EndpointStatus> {
        match &self.kind {
            MemberKind::Entry => None,
            MemberKind::Agent(status) => Some(status),
        }
    }

    /// Whether the process is an entry.
    #[must_use]
    pub fn is_entry(&self) -> bool {
        matches!(self.kind, MemberKind::Entry)
    }

    /// Returns how to reach the process, for entries and agents alike.
    #[must_use]
    pub fn contact(&self) -> EntryContact {
        EntryContact {
            daemon: self.daemon.clone(),
            zone: self.zone.clone(),
            address: self.address,
        }
    }

    fn ready_sequence(&self) -> u64 {
        self.status().map_or(0, |status| status.ready_sequence)
    }
}

/// One entry's vote on whether it receives messages from a process. Sent again only when the vote
/// changes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WitnessVote {
    /// The entry that votes.
    pub witness: DaemonName,
    /// The incarnation of the process that the vote is about.
    pub about: u64,
    /// The witness's incarnation, then its vote counter: a later vote has a higher order.
    pub order: (u64, u64),
    /// Whether the witness receives messages from the process.
    #[serde(rename = "hearing")]
    pub reachability: Reachability,
}

/// Whether an entry receives messages from a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Reachability {
    /// It does.
    #[serde(rename = "Heard")]
    Reachable,
    /// It expects messages and receives none.
    Silent,
    /// It no longer expects messages, as the agent has other registrars now. No evidence about the
    /// process.
    Released,
}

/// What entries exchange about one process.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRow {
    /// What the process states about itself.
    pub facts: MemberFacts,
    /// The votes of entries.
    #[serde(rename = "words")]
    pub votes: SmallVec<[WitnessVote; 2]>,
}

impl MemberRow {
    /// Takes in what is later in `other`. Returns whether anything changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        if other.facts.order() > self.facts.order() {
            self.facts = other.facts.clone();
            changed = true;
        } else if other.facts.boot == self.facts.boot {
            // This alone is not gossiped. It is the lower bound for the next boot of the process.
            self.facts.generation = self.facts.generation.max(other.facts.generation);
        }
        for vote in &other.votes {
            changed |= self.merge_vote(vote);
        }
        changed | self.drop_old_votes()
    }

    /// Takes in a vote if it is later than the earlier one of the same witness. Returns whether it
    /// was.
    pub fn merge_vote(&mut self, vote: &WitnessVote) -> bool {
        let known = self
            .votes
            .iter_mut()
            .find(|known| known.witness == vote.witness);
        match known {
            Some(known) if known.order >= vote.order => false,
            Some(known) => {
                *known = vote.clone();
                true
            }
            None if vote.about < self.facts.incarnation => false,
            None => {
                self.votes.push(vote.clone());
                self.votes
                    .sort_by(|left, right| left.witness.cmp(&right.witness));
                true
            }
        }
    }

    /// Returns a hash of everything that must be equal in all tables. The queue is left out: it
    /// changes with every request and is carried by answers.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.facts.daemon.as_str().as_bytes());
        let (incarnation, phase, sequence, boot) = self.facts.order();
        hasher.update(&incarnation.to_le_bytes());
        hasher.update(&[phase as u8]);
        hasher.update(&sequence.to_le_bytes());
        hasher.update(&boot.0.to_le_bytes());
        for vote in &self.votes {
            hasher.update(vote.witness.as_str().as_bytes());
            hasher.update(&vote.order.0.to_le_bytes());
            hasher.update(&vote.order.1.to_le_bytes());
        }
        hasher.digest()
    }

    fn drop_old_votes(&mut self) -> bool {
        let before = self.votes.len();
        let incarnation = self.facts.incarnation;
        self.votes.retain(|vote| vote.about >= incarnation);
        self.votes.len() != before
    }
}
