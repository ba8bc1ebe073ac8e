//! Planned stops: who is told to leave, and how a process leaves.
//!
//! An operator writes `stop/NAME` to the store. The entries that watch the store learn it, tell
//! the other entries, and registrars tell their agents. A process that was told leaves in steps,
//! so that no request is cut off.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Revision;
use oatpier_types::names::DaemonName;
use serde::{Deserialize, Serialize};

use crate::messages::NamedStop;

/// The prefix of the keys of planned stops in the store.
pub const STOP_PREFIX: &str = "stop/";

/// A withdrawn stop is remembered for this many later words at most.
const KEPT_WITHDRAWN: usize = 1_024;

/// What is asked of a process. A later revision goes before; at one revision, the withdrawal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct StopWord {
    /// The revision of the store at which it was asked or withdrawn.
    pub revision: Revision,
    /// Whether it was withdrawn.
    pub withdrawn: bool,
}

/// All planned stops that a process knows.
#[derive(Debug, Clone, Default)]
pub struct StopBoard {
    words: IndexMap<DaemonName, StopWord>,
}

impl StopBoard {
    /// Takes a word in; tells whether it is later than what was known.
    pub fn merge(&mut self, stop: &NamedStop) -> bool {
        let known = self.words.get(&stop.daemon);
        if known.is_some_and(|known| *known >= stop.word) {
            return false;
        }
        self.words.insert(stop.daemon.clone(), stop.word);
        self.forget_withdrawn();
        true
    }

    /// Takes the whole list of the store in: what it lacks was withdrawn. Returns what is news.
    pub fn replace(&mut self, listed: &[NamedStop]) -> Vec<NamedStop> {
        let missing = self.words.iter().filter(|(daemon, word)| {
            !word.withdrawn && !listed.iter().any(|stop| stop.daemon == **daemon)
        });
        let withdrawn = missing.map(|(daemon, word)| NamedStop {
            daemon: daemon.clone(),
            word: StopWord {
                withdrawn: true,
                ..*word
            },
        });
        let mut news: Vec<NamedStop> = withdrawn.collect();
        news.extend(listed.iter().cloned());
        news.retain(|stop| self.merge(stop));
        news
    }

    /// The word on a process.
    #[must_use]
    pub fn word(&self, daemon: &DaemonName) -> Option<StopWord> {
        self.words.get(daemon).copied()
    }

    /// Processes that are to stop.
    pub fn asked(&self) -> impl Iterator<Item = &DaemonName> {
        let words = self.words.iter();
        words.filter(|(_, word)| !word.withdrawn).map(|row| row.0)
    }

    /// All words.
    #[must_use]
    pub fn all(&self) -> Vec<NamedStop> {
        let words = self.words.iter();
        words
            .map(|(daemon, word)| NamedStop {
                daemon: daemon.clone(),
                word: *word,
            })
            .collect()
    }

    fn forget_withdrawn(&mut self) {
        let withdrawn = self.words.values().filter(|word| word.withdrawn).count();
        if withdrawn > KEPT_WITHDRAWN
            && let Some(first) = self.words.values().position(|word| word.withdrawn)
        {
            self.words.shift_remove_index(first);
        }
    }
}

/// How far a leaving process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// Nobody asked it to leave.
    Serving,
    /// It says that it isn't ready, and still takes what comes, until the balancer or its
    /// registrars have sent everybody elsewhere.
    Announcing,
    /// It refuses new work and finishes what it has.
    Draining,
    /// It has nothing left: it may end.
    Drained,
}

/// What a process does about its stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopAction {
    /// Say `not ready`, and tell registrars or peers that it leaves.
    Announce,
    /// Refuse new work.
    RefuseNew,
    /// Take new work again: the stop was withdrawn in time.
    ServeAgain,
    /// End.
    End,
}

/// What a keeper hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopEvent {
    /// A word on the planned stop of this process.
    Told(StopWord),
    /// The process was told directly, by a signal. Can't be withdrawn.
    Signalled,
    /// Requests that are in flight now. To be said anew after each [`StopAction::RefuseNew`].
    Work {
        /// In flight.
        in_flight: u32,
    },
    /// Time has passed.
    Tick,
}

/// Takes one process from serving to its end.
#[derive(Debug, Clone)]
pub struct StopKeeper {
    phase: StopPhase,
    announce_for: Duration,
    announced: ClockTime,
    word: Option<StopWord>,
    signalled: bool,
    in_flight: Option<u32>,
}

impl StopKeeper {
    /// A serving process. It goes on taking work for `announce_for` after it was told: for an
    /// entry the time in which the balancer notices, for an agent none, as it refuses truly.
    #[must_use]
    pub fn new(announce_for: Duration) -> Self {
        Self {
            phase: StopPhase::Serving,
            announce_for,
            announced: ClockTime::ZERO,
            word: None,
            signalled: false,
            in_flight: None,
        }
    }

    /// How far it is.
    #[must_use]
    pub fn phase(&self) -> StopPhase {
        self.phase
    }

    /// When a tick has something to do.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        match self.phase {
            StopPhase::Announcing => self.announced + self.announce_for,
            _ => ClockTime::NEVER,
        }
    }

    /// Hears an event.
    pub fn handle(&mut self, event: StopEvent, now: ClockTime) -> Vec<StopAction> {
        match event {
            StopEvent::Told(word) if self.word.is_none_or(|known| known < word) => {
                self.word = Some(word);
            }
            StopEvent::Signalled => self.signalled = true,
            StopEvent::Work { in_flight } => self.in_flight = Some(in_flight),
            StopEvent::Told(_) | StopEvent::Tick => {}
        }
        let mut actions = Vec::new();
        while let Some(action) = self.step(now) {
            actions.push(action);
        }
        actions
    }

    fn is_asked(&self) -> bool {
        self.signalled || self.word.is_some_and(|word| !word.withdrawn)
    }

    fn step(&mut self, now: ClockTime) -> Option<StopAction> {
        let (phase, action) = match self.phase {
            StopPhase::Serving if self.is_asked() => {
                self.announced = now;
                (StopPhase::Announcing, StopAction::Announce)
            }
            StopPhase::Announcing | StopPhase::Draining if !self.is_asked() => {
                (StopPhase::Serving, StopAction::ServeAgain)
            }
            StopPhase::Announcing if now.since(self.announced) >= self.announce_for => {
                // A count from before the refusal misses what was admitted since: ending on it
                // would cut that off. Only a count from after it counts.
                self.in_flight = None;
                (StopPhase::Draining, StopAction::RefuseNew)
            }
            StopPhase::Draining if self.in_flight == Some(0) => {
                (StopPhase::Drained, StopAction::End)
            }
            _ => return None,
        };
        self.phase = phase;
        Some(action)
    }
}
