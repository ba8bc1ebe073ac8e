//! One row of the table, as it travels.

use std::net::SocketAddr;

use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::{DaemonName, ZoneName};
use oatpier_types::status::EndpointStatus;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::messages::EntryContact;

/// Whether a process serves. Only goes forward within an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
#[derive(Serialize, Deserialize)]
pub enum MemberPhase {
    /// It takes new work.
    #[default]
    Serving,
    /// It takes no new work and finishes what it has.
    Leaving,
    /// It has ended by itself.
    Left,
}

/// What a process is.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum MemberKind {
    /// An entry.
    Entry,
    /// An agent, with its endpoint.
    Agent(Box<EndpointStatus>),
}

/// What a process says of itself.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberFacts {
    /// The process.
    pub daemon: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for other processes.
    pub address: SocketAddr,
    /// Its start.
    pub boot: BootId,
    /// Orders its starts, and its answers to a wrong word about it.
    pub incarnation: u64,
    /// Whether it serves.
    pub phase: MemberPhase,
    /// The configuration in force at it when it said this.
    pub generation: Generation,
    /// What it is.
    pub kind: MemberKind,
}

impl MemberFacts {
    /// Later facts have a higher order.
    #[must_use]
    pub fn order(&self) -> (u64, MemberPhase, u64, BootId) {
        (
            self.incarnation,
            self.phase,
            self.ready_sequence(),
            self.boot,
        )
    }

    /// The endpoint's status, for an agent.
    #[must_use]
    pub fn status(&self) -> Option<&EndpointStatus> {
        match &self.kind {
            MemberKind::Entry => None,
            MemberKind::Agent(status) => Some(status),
        }
    }

    /// Whether it is an entry.
    #[must_use]
    pub fn is_entry(&self) -> bool {
        matches!(self.kind, MemberKind::Entry)
    }

    /// How to reach it, for an entry or an agent alike.
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

/// One entry's word on whether it hears a process. Changes only when the word does.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WitnessWord {
    /// The entry.
    pub witness: DaemonName,
    /// The incarnation of the process that the word is about.
    pub about: u64,
    /// The witness's incarnation, then its count of words: a later word has a higher order.
    pub order: (u64, u64),
    /// What the entry says.
    pub hearing: Hearing,
}

/// Whether an entry hears a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Hearing {
    /// It hears it.
    Heard,
    /// It should hear it and does not.
    Silent,
    /// It no longer expects to: others are its registrars now. Says nothing about the process.
    Released,
}

/// What entries tell each other about one process.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRow {
    /// What the process says.
    pub facts: MemberFacts,
    /// What entries say.
    pub words: SmallVec<[WitnessWord; 2]>,
}

impl MemberRow {
    /// Takes in what is later in `other`; tells whether anything was.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        if other.facts.order() > self.facts.order() {
            self.facts = other.facts.clone();
            changed = true;
        } else if other.facts.boot == self.facts.boot {
            // Nobody is told of it alone: it is the floor of the process's next start.
            self.facts.generation = self.facts.generation.max(other.facts.generation);
        }
        for word in &other.words {
            changed |= self.merge_word(word);
        }
        changed | self.forget_old_words()
    }

    /// Takes in one word if it is later than what that witness said before.
    pub fn merge_word(&mut self, word: &WitnessWord) -> bool {
        let known = self
            .words
            .iter_mut()
            .find(|known| known.witness == word.witness);
        match known {
            Some(known) if known.order >= word.order => false,
            Some(known) => {
                *known = word.clone();
                true
            }
            None if word.about < self.facts.incarnation => false,
            None => {
                self.words.push(word.clone());
                self.words
                    .sort_by(|left, right| left.witness.cmp(&right.witness));
                true
            }
        }
    }

    /// A hash of all that must be alike in every table. The queue is left out: it changes with
    /// every request and travels on answers.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.facts.daemon.as_str().as_bytes());
        let (incarnation, phase, sequence, boot) = self.facts.order();
        hasher.update(&incarnation.to_le_bytes());
        hasher.update(&[phase as u8]);
        hasher.update(&sequence.to_le_bytes());
        hasher.update(&boot.0.to_le_bytes());
        for word in &self.words {
            hasher.update(word.witness.as_str().as_bytes());
            hasher.update(&word.order.0.to_le_bytes());
            hasher.update(&word.order.1.to_le_bytes());
        }
        hasher.digest()
    }

    fn forget_old_words(&mut self) -> bool {
        let before = self.words.len();
        let incarnation = self.facts.incarnation;
        self.words.retain(|word| word.about >= incarnation);
        self.words.len() != before
    }
}
