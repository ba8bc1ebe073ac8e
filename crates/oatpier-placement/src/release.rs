//! Agreement between replicas on which of them may unload weights.
//!
//! Two agents that each see the other's replica could both unload theirs, which would make the
//! model unavailable. So an agent asks another holder before it unloads. A holder that has itself
//! asked for a release, or is unloading, denies all requests.
//!
//! Proof of safety: consider all replicas that are ever unloaded, and among them the one whose
//! release was granted last. Its granter had the weights ready and was not asking for a release at
//! that time. If the granter's replica had been unloaded later, its own release would have been
//! granted later still, which is a contradiction. So the granter's replica still exists. The proof
//! depends on no clock and on no view of which endpoint holds which weights: a stale view can
//! cause a denial, but never the loss of a replica. A restarted agent grants nothing until its
//! engine rejects the orders of the earlier agent, or the intents of that agent are completed.
//!
//! An agent may have been superseded without having learned it, and its successor may be unloading
//! weights that the first agent still considers stable. So an ask is granted only after a proof
//! that the agent's epoch is current, requested after the ask arrived. A successor asks for
//! releases only once its own epoch is current, and the agent whose ask its predecessor granted
//! denies the successor's ask.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::BootId;
use oatpier_types::names::EndpointName;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::orders::{OrderKeeper, ProofMark};

/// Timeout of an ask without a response.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum delay after a denial.
const RETRY_FLOOR: Duration = Duration::from_millis(200);
/// Maximum delay after a denial. The delay is random, so that two holders that denied each other
/// do not collide repeatedly.
const RETRY_CEILING: Duration = Duration::from_secs(2);

/// Request of an agent to another holder for permission to unload.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ReleaseAsk {
    /// Endpoint of the agent that asks.
    pub endpoint: EndpointName,
    /// Boot ID of the agent that asks.
    pub boot: BootId,
    /// Sequence number of the ask; increases by one with each ask of that boot ID.
    pub sequence: u64,
    /// Weights to unload.
    pub weights: WeightsKey,
    /// Weights that the granter must have ready: the same ones, their current version, or another
    /// version that serves callers meanwhile.
    pub keep: WeightsKey,
}

/// Response to an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ReleaseAnswer {
    /// Boot ID of the agent that asked.
    pub boot: BootId,
    /// Sequence number of the ask.
    pub sequence: u64,
    /// Whether the agent may unload.
    pub granted: bool,
}

/// State of the release of one agent's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseState {
    /// Not requested, or waiting before the next ask.
    None,
    /// An ask is pending.
    Asking,
    /// The agent may unload the weights.
    Granted,
}

#[derive(Debug, Clone, Copy)]
struct ReleaseEntry {
    state: ReleaseState,
    sequence: u64,
    until: ClockTime,
}

/// Release protocol of one agent: asks for releases and responds to the asks of other agents.
#[derive(Debug, Clone)]
pub struct ReleaseKeeper {
    endpoint: EndpointName,
    boot: BootId,
    sequence: u64,
    entries: IndexMap<WeightsKey, ReleaseEntry>,
    asked: Vec<PendingAsk>,
    random: ChaCha8Rng,
}

/// Another agent's ask that waits for a proof of the epoch.
#[derive(Debug, Clone)]
struct PendingAsk {
    ask: ReleaseAsk,
    mark: ProofMark,
    until: ClockTime,
}

/// An answer to send to the agent that asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseReply {
    /// Endpoint of the agent that asked.
    pub to: EndpointName,
    /// The answer.
    pub answer: ReleaseAnswer,
}

impl ReleaseKeeper {
    /// Creates a keeper for one start of an agent.
    #[must_use]
    pub fn new(endpoint: EndpointName, boot: BootId, seed: u64) -> Self {
        Self {
            endpoint,
            boot,
            sequence: 0,
            entries: IndexMap::new(),
            asked: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the release state of these weights.
    #[must_use]
    pub fn state(&self, weights: &WeightsKey) -> ReleaseState {
        self.entries
            .get(weights)
            .map_or(ReleaseState::None, |entry| entry.state)
    }

    /// Returns whether the release of these weights is requested or granted.
    #[must_use]
    pub fn is_releasing(&self, weights: &WeightsKey) -> bool {
        self.state(weights) != ReleaseState::None
    }

    /// Returns whether an ask may be sent now: the release is not granted, and the timeout of the last
    /// ask or the delay after a denial has passed.
    #[must_use]
    pub fn may_ask(&self, weights: &WeightsKey, now: ClockTime) -> bool {
        match self.entries.get(weights) {
            None => true,
            Some(entry) => entry.state != ReleaseState::Granted && now >= entry.until,
        }
    }

    /// Creates an ask. The agent denies other agents' asks for these weights until the release ends.
    pub fn ask(&mut self, weights: &WeightsKey, keep: &WeightsKey, now: ClockTime) -> ReleaseAsk {
        self.sequence += 1;
        let entry = ReleaseEntry {
            state: ReleaseState::Asking,
            sequence: self.sequence,
            until: now + ASK_TIMEOUT,
        };
        self.entries.insert(weights.clone(), entry);
        ReleaseAsk {
            endpoint: self.endpoint.clone(),
            boot: self.boot,
            sequence: self.sequence,
            weights: weights.clone(),
            keep: keep.clone(),
        }
    }

    /// Grants a release without an ask: other weights on this endpoint keep the model or adapter
    /// served, or it is no longer configured.
    pub fn grant_own(&mut self, weights: &WeightsKey) {
        let entry = ReleaseEntry {
            state: ReleaseState::Granted,
            sequence: 0,
            until: ClockTime::NEVER,
        };
        self.entries.insert(weights.clone(), entry);
    }

    /// Processes an answer. Ignores answers to expired asks and to asks of an earlier agent.
    pub fn on_answer(&mut self, answer: ReleaseAnswer, now: ClockTime) {
        if answer.boot != self.boot {
            return;
        }
        let wait = self.random.random_range(RETRY_FLOOR..RETRY_CEILING);
        let entry = self
            .entries
            .values_mut()
            .find(|entry| entry.state == ReleaseState::Asking && entry.sequence == answer.sequence);
        let Some(entry) = entry else {
            return;
        };
        if answer.granted {
            entry.state = ReleaseState::Granted;
        } else {
            entry.state = ReleaseState::None;
            entry.until = now + wait;
        }
    }

    /// Expires asks without an answer. A grant that arrives later is ignored.
    pub fn expire(&mut self, now: ClockTime) {
        let wait = self.random.random_range(RETRY_FLOOR..RETRY_CEILING);
        for entry in self.entries.values_mut() {
            if entry.state == ReleaseState::Asking && now >= entry.until {
                entry.state = ReleaseState::None;
                entry.until = now + wait;
            }
        }
    }

    /// Ends a release, because the weights are unloaded or have to stay.
    ///
    /// Must not be called while an unload order for the weights could still be executed.
    pub fn end(&mut self, weights: &WeightsKey) {
        self.entries.shift_remove(weights);
    }

    /// Processes another agent's ask. [`ReleaseKeeper::replies`] returns the reply.
    pub fn on_ask(&mut self, ask: ReleaseAsk, keeper: &mut OrderKeeper, now: ClockTime) {
        let mark = keeper.want_proof(now);
        let until = now + ASK_TIMEOUT;
        self.asked.push(PendingAsk { ask, mark, until });
    }

    /// Returns the replies that can be sent now: denials immediately, grants after the proof.
    ///
    /// An ask whose proof does not arrive in time gets no reply: it has expired at its sender.
    #[must_use]
    pub fn replies(&mut self, keeper: &OrderKeeper, now: ClockTime) -> Vec<ReleaseReply> {
        self.asked.retain(|pending| now < pending.until);
        let mut replies = Vec::new();
        let mut waiting = Vec::new();
        for pending in std::mem::take(&mut self.asked) {
            let may = self.may_grant(&pending.ask, keeper, now);
            if may && !keeper.is_confirmed(pending.mark) {
                waiting.push(pending);
                continue;
            }
            replies.push(ReleaseReply {
                to: pending.ask.endpoint,
                answer: ReleaseAnswer {
                    boot: pending.ask.boot,
                    sequence: pending.ask.sequence,
                    granted: may,
                },
            });
        }
        self.asked = waiting;
        replies
    }

    fn may_grant(&self, ask: &ReleaseAsk, keeper: &OrderKeeper, now: ClockTime) -> bool {
        ask.endpoint != self.endpoint
            && !self.is_releasing(&ask.keep)
            && keeper.is_firm(&ask.keep, now)
    }

    /// Returns all weights whose release is requested or granted.
    pub fn releasing(&self) -> impl Iterator<Item = &WeightsKey> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.state != ReleaseState::None)
            .map(|(weights, _)| weights)
    }

    /// Returns the index of the holder to ask next. It changes with each ask, so that another holder
    /// is asked after a denial.
    #[must_use]
    pub fn turn(&self, holders: usize) -> usize {
        let sequence = usize::try_from(self.sequence).unwrap_or_default();
        sequence % holders.max(1)
    }
}
