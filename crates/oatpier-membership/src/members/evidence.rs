//! Evidence from this process's own data path, which takes precedence over votes of other
//! processes.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::DaemonName;

/// The outcome of an attempt of this process, as evidence of whether the peer is reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathEvidence {
    /// The peer answered, possibly with a refusal.
    Answered,
    /// The peer could not be reached or did not answer in time.
    Failed,
}

/// The latest evidence on each peer, kept for a limited time.
#[derive(Debug, Clone)]
pub struct EvidenceCache {
    ttl: Duration,
    latest: IndexMap<DaemonName, (PathEvidence, ClockTime)>,
}

impl EvidenceCache {
    /// Creates an empty store of evidence that expires after `ttl`.
    #[must_use]
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            latest: IndexMap::new(),
        }
    }

    /// Records evidence.
    pub fn record(&mut self, daemon: &DaemonName, evidence: PathEvidence, now: ClockTime) {
        self.latest.insert(daemon.clone(), (evidence, now));
    }

    /// Returns the evidence on a peer, unless it has expired.
    #[must_use]
    pub fn get(&self, daemon: &DaemonName, now: ClockTime) -> Option<PathEvidence> {
        let (evidence, at) = self.latest.get(daemon)?;
        (now.since(*at) < self.ttl).then_some(*evidence)
    }

    /// Drops expired evidence.
    pub fn prune(&mut self, now: ClockTime) {
        let ttl = self.ttl;
        self.latest.retain(|_, (_, at)| now.since(*at) < ttl);
    }
}
