//! Agreement between replicas on which of them may unload weights.
//!
//! Two agents that each see the other's replica could both unload theirs, which would make the
//! model unavailable. So an agent asks another holder before it unloads. A holder that has itself
//! requested a release of the weights, or is unloading them, denies the requests of others.
//!
//! Proof of safety: consider all replicas that are ever unloaded, and among them the one whose
//! release was granted last. Its granter had the weights ready and was not requesting a release at
//! that time. If the granter's replica had been unloaded later, its own release would have been
//! granted later still, which is a contradiction. So the granter's replica still exists. The proof
//! depends on no clock and on no view of which endpoint holds which weights: a stale view can
//! cause a denial, but never the loss of a replica. A restarted agent grants nothing until its
//! engine rejects the orders of the earlier agent, or the intents of that agent are completed.
//!
//! An agent may have been superseded without having learned it, and its successor may be unloading
//! weights that the first agent still considers stable. So a request is granted only after a proof
//! that the agent's epoch is current, and this proof is obtained after the request has arrived. A
//! successor requests releases only once its own epoch is current, and an agent whose request its
//! predecessor granted denies the successor's request.

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

/// Timeout of a request without a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum delay after a denial.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(200);
/// Maximum delay after a denial. The delay is random, so that two holders that denied each other
/// do not collide repeatedly.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// Request of an agent to another holder for permission to unload.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Endpoint of the requesting agent.
    pub endpoint: EndpointName,
    /// Boot ID of the requesting agent.
    pub boot: BootId,
    /// Sequence number of the request; increases by one with each request of that boot ID.
    pub sequence: u64,
    /// Weights to unload.
    pub weights: WeightsKey,
    /// Weights that the granter must have ready: the same ones, their current version, or another
    /// version that serves callers meanwhile.
    pub keep: WeightsKey,
}

/// Response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ReleaseAnswer {
    /// Boot ID of the requesting agent.
    pub boot: BootId,
    /// Sequence number of the request.
    pub sequence: u64,
    /// Whether the agent may unload.
    pub granted: bool,
}

/// State of the release of one agent's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseState {
    /// Not requested, or waiting before the next request.
    None,
    /// A request is pending.
    Requested,
    /// The agent may unload the weights.
    Granted,
}

#[derive(Debug, Clone, Copy)]
struct ReleaseEntry {
    state: ReleaseState,
    sequence: u64,
    until: ClockTime,
}

/// Release protocol of one agent: requests releases and responds to the requests of other agents.
#[derive(Debug, Clone)]
pub struct ReleaseKeeper {
    endpoint: EndpointName,
    boot: BootId,
    sequence: u64,
    entries: IndexMap<WeightsKey, ReleaseEntry>,
    pending_requests: Vec<PendingRequest>,
    random: ChaCha8Rng,
}

/// Another agent's request that waits for a proof of the epoch.
#[derive(Debug, Clone)]
struct PendingRequest {
    request: ReleaseRequest,
    mark: ProofMark,
    until: ClockTime,
}

/// An answer to send to the requesting agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseReply {
    /// Endpoint of the requesting agent.
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
            pending_requests: Vec::new(),
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

    /// Returns whether a request may be sent now: the release is not granted, and the timeout of the
    /// last request or the delay after a denial has passed.
    #[must_use]
    pub fn can_request(&self, weights: &WeightsKey, now: ClockTime) -> bool {
        match self.entries.get(weights) {
            None => true,
            Some(entry) => entry.state != ReleaseState::Granted && now >= entry.until,
        }
    }

    /// Creates a request. The agent denies other agents' requests for these weights until the release ends.
    pub fn request(
        &mut self,
        weights: &WeightsKey,
        keep: &WeightsKey,
        now: ClockTime,
    ) -> ReleaseRequest {
        self.sequence += 1;
        let entry = ReleaseEntry {
            state: ReleaseState::Requested,
            sequence: self.sequence,
            until: now + REQUEST_TIMEOUT,
        };
        self.entries.insert(weights.clone(), entry);
        ReleaseRequest {
            endpoint: self.endpoint.clone(),
            boot: self.boot,
            sequence: self.sequence,
            weights: weights.clone(),
            keep: keep.clone(),
        }
    }

    /// Grants a release without a request: other weights on this endpoint keep the model or adapter
    /// served, or it is no longer configured.
    pub fn grant_without_request(&mut self, weights: &WeightsKey) {
        let entry = ReleaseEntry {
            state: ReleaseState::Granted,
            sequence: 0,
            until: ClockTime::NEVER,
        };
        self.entries.insert(weights.clone(), entry);
    }

    /// Processes an answer. Ignores answers to expired requests and to requests of an earlier agent.
    pub fn on_answer(&mut self, answer: ReleaseAnswer, now: ClockTime) {
        if answer.boot != self.boot {
            return;
        }
        let delay = self.random.random_range(RETRY_DELAY_MIN..RETRY_DELAY_MAX);
        let entry = self.entries.values_mut().find(|entry| {
            entry.state == ReleaseState::Requested && entry.sequence == answer.sequence
        });
        let Some(entry) = entry else {
            return;
        };
        if answer.granted {
            entry.state = ReleaseState::Granted;
        } else {
            entry.state = ReleaseState::None;
            entry.until = now + delay;
        }
    }

    /// Expires requests without an answer. A grant that arrives later is ignored.
    pub fn expire(&mut self, now: ClockTime) {
        let delay = self.random.random_range(RETRY_DELAY_MIN..RETRY_DELAY_MAX);
        for entry in self.entries.values_mut() {
            if entry.state == ReleaseState::Requested && now >= entry.until {
                entry.state = ReleaseState::None;
                entry.until = now + delay;
            }
        }
    }

    /// Ends a release, because the weights are unloaded or have to stay.
    ///
    /// Must not be called while an unload order for the weights could still be executed.
    pub fn end(&mut self, weights: &WeightsKey) {
        self.entries.shift_remove(weights);
    }

    /// Processes another agent's request. [`ReleaseKeeper::replies`] returns the reply.
    pub fn on_request(
        &mut self,
        request: ReleaseRequest,
        keeper: &mut OrderKeeper,
        now: ClockTime,
    ) {
        let mark = keeper.request_proof(now);
        let until = now + REQUEST_TIMEOUT;
        self.pending_requests.push(PendingRequest {
            request,
            mark,
            until,
        });
    }

    /// Returns the replies that can be sent now: denials immediately, grants after the proof.
    ///
    /// A request whose proof does not arrive in time gets no reply: it has expired at its sender.
    #[must_use]
    pub fn replies(&mut self, keeper: &OrderKeeper, now: ClockTime) -> Vec<ReleaseReply> {
        self.pending_requests.retain(|pending| now < pending.until);
        let mut replies = Vec::new();
        let mut waiting = Vec::new();
        for pending in std::mem::take(&mut self.pending_requests) {
            let is_grantable = self.can_grant(&pending.request, keeper, now);
            if is_grantable && !keeper.is_confirmed(pending.mark) {
                waiting.push(pending);
                continue;
            }
            replies.push(ReleaseReply {
                to: pending.request.endpoint,
                answer: ReleaseAnswer {
                    boot: pending.request.boot,
                    sequence: pending.request.sequence,
                    granted: is_grantable,
                },
            });
        }
        self.pending_requests = waiting;
        replies
    }

    fn can_grant(&self, request: &ReleaseRequest, keeper: &OrderKeeper, now: ClockTime) -> bool {
        request.endpoint != self.endpoint
            && !self.is_releasing(&request.keep)
            && keeper.is_stable(&request.keep, now)
    }

    /// Returns all weights whose release is requested or granted.
    pub fn releasing(&self) -> impl Iterator<Item = &WeightsKey> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.state != ReleaseState::None)
            .map(|(weights, _)| weights)
    }

    /// Returns the index of the holder to ask next. It changes with each request, so that another holder
    /// is asked after a denial.
    #[must_use]
    pub fn next_holder(&self, holders: usize) -> usize {
        let sequence = usize::try_from(self.sequence).unwrap_or_default();
        sequence % holders.max(1)
    }
}
