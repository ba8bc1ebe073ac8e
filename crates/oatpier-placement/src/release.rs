//! Who may unload weights that callers rely on.
//!
//! Two agents that each see the other's replica could both unload theirs, and the model would be
//! gone. So an agent asks another holder before it unloads, and a holder that asks, or unloads,
//! refuses all that ask it.
//!
//! Why this is enough: take all replicas that are ever unloaded, and of these the one that was
//! granted last. Its granter was ready and was not asking then. Had the granter been unloaded
//! later, its own grant would have been later still. So the granter's replica is there. No clock
//! and no view of who holds what takes part in this: a stale view costs a refusal, never a
//! replica. An agent that starts anew grants nothing before its engine refuses the former
//! agent's orders, or the former agent's intents are finished.
//!
//! An agent may have been followed by another without knowing it, and the other may be unloading
//! what the first still believes to be firm. So an ask is granted only after a proof, asked for
//! when the ask was there, that the agent's epoch is in force. A later agent asks for releases
//! only once its own epoch is, and whoever asked the first one refuses the later one.

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

/// How long an unanswered ask stands.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// The shortest wait after a refusal.
const RETRY_FLOOR: Duration = Duration::from_millis(200);
/// The longest wait after a refusal. Drawn at random, so that two holders which refused each
/// other don't meet again and again.
const RETRY_CEILING: Duration = Duration::from_secs(2);

/// An agent asks another holder whether it may unload.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ReleaseAsk {
    /// Who asks.
    pub endpoint: EndpointName,
    /// The start of the agent that asks.
    pub boot: BootId,
    /// Counts up by one with each ask of that start.
    pub sequence: u64,
    /// What it would unload.
    pub weights: WeightsKey,
    /// What the granter must have ready: these weights, or their present version.
    pub keep: WeightsKey,
}

/// The answer to an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ReleaseAnswer {
    /// The start of the agent that asked.
    pub boot: BootId,
    /// The sequence of the ask.
    pub sequence: u64,
    /// Whether it may unload.
    pub granted: bool,
}

/// Where an agent stands with weights that it wants to unload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseState {
    /// It does not want to, or waits to ask again.
    None,
    /// It has asked.
    Asking,
    /// It may.
    Granted,
}

#[derive(Debug, Clone, Copy)]
struct ReleaseEntry {
    state: ReleaseState,
    sequence: u64,
    until: ClockTime,
}

/// Asks for releases and answers others' asks, for one agent.
#[derive(Debug, Clone)]
pub struct ReleaseKeeper {
    endpoint: EndpointName,
    boot: BootId,
    sequence: u64,
    entries: IndexMap<WeightsKey, ReleaseEntry>,
    asked: Vec<PendingAsk>,
    random: ChaCha8Rng,
}

/// Another agent's ask that waits for the proof.
#[derive(Debug, Clone)]
struct PendingAsk {
    ask: ReleaseAsk,
    mark: ProofMark,
    until: ClockTime,
}

/// An answer on its way to the agent that asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseReply {
    /// Whose agent asked.
    pub to: EndpointName,
    /// The answer.
    pub answer: ReleaseAnswer,
}

impl ReleaseKeeper {
    /// A keeper for one start of an agent.
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

    /// Where the agent stands with these weights.
    #[must_use]
    pub fn state(&self, weights: &WeightsKey) -> ReleaseState {
        self.entries
            .get(weights)
            .map_or(ReleaseState::None, |entry| entry.state)
    }

    /// Whether it asks for, or has, the release of these weights.
    #[must_use]
    pub fn is_releasing(&self, weights: &WeightsKey) -> bool {
        self.state(weights) != ReleaseState::None
    }

    /// Whether an ask may be sent now (the wait after a refusal is over).
    #[must_use]
    pub fn may_ask(&self, weights: &WeightsKey, now: ClockTime) -> bool {
        match self.entries.get(weights) {
            None => true,
            Some(entry) => entry.state != ReleaseState::Granted && now >= entry.until,
        }
    }

    /// Starts to ask. From here on the agent refuses others, until the release ends.
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

    /// Grants a release without an ask: other weights on this same endpoint keep the name
    /// served, or the name is no longer configured.
    pub fn grant_own(&mut self, weights: &WeightsKey) {
        let entry = ReleaseEntry {
            state: ReleaseState::Granted,
            sequence: 0,
            until: ClockTime::NEVER,
        };
        self.entries.insert(weights.clone(), entry);
    }

    /// Takes an answer. One to an ask that was given up, or to a former agent, is ignored.
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

    /// Gives up asks that got no answer. A grant that comes later is ignored.
    pub fn expire(&mut self, now: ClockTime) {
        let wait = self.random.random_range(RETRY_FLOOR..RETRY_CEILING);
        for entry in self.entries.values_mut() {
            if entry.state == ReleaseState::Asking && now >= entry.until {
                entry.state = ReleaseState::None;
                entry.until = now + wait;
            }
        }
    }

    /// Ends a release: the weights are gone, or are to stay.
    ///
    /// Only where no unload order for them could still act.
    pub fn end(&mut self, weights: &WeightsKey) {
        self.entries.shift_remove(weights);
    }

    /// Takes another agent's ask. The reply comes from [`ReleaseKeeper::replies`].
    pub fn on_ask(&mut self, ask: ReleaseAsk, keeper: &mut OrderKeeper, now: ClockTime) {
        let mark = keeper.want_proof(now);
        let until = now + ASK_TIMEOUT;
        self.asked.push(PendingAsk { ask, mark, until });
    }

    /// The replies that can be given now: refusals at once, grants after the proof.
    ///
    /// An ask whose proof does not come in time gets none: whoever asked has given it up.
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

    /// All weights whose release is asked for or granted.
    pub fn releasing(&self) -> impl Iterator<Item = &WeightsKey> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.state != ReleaseState::None)
            .map(|(weights, _)| weights)
    }

    /// Which of several holders to ask next: another one after each refusal.
    #[must_use]
    pub fn turn(&self, holders: usize) -> usize {
        let sequence = usize::try_from(self.sequence).unwrap_or_default();
        sequence % holders.max(1)
    }
}
