//! What this process itself saw on the data path. It goes before every word of others.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::DaemonName;

/// How an attempt of this process ended, as far as it tells whether the peer is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathEvidence {
    /// It answered, if only with a refusal.
    Answered,
    /// It could not be reached or gave no answer in time.
    Failed,
}

/// The latest evidence on each peer, for a short while.
#[derive(Debug, Clone)]
pub struct PathMemory {
    lasts: Duration,
    latest: IndexMap<DaemonName, (PathEvidence, ClockTime)>,
}

impl PathMemory {
    /// Evidence counts for `lasts`.
    #[must_use]
    pub fn new(lasts: Duration) -> Self {
        Self {
            lasts,
            latest: IndexMap::new(),
        }
    }

    /// Remembers evidence.
    pub fn note(&mut self, daemon: &DaemonName, evidence: PathEvidence, now: ClockTime) {
        self.latest.insert(daemon.clone(), (evidence, now));
    }

    /// The evidence on a peer, unless it is too old.
    #[must_use]
    pub fn on(&self, daemon: &DaemonName, now: ClockTime) -> Option<PathEvidence> {
        let (evidence, at) = self.latest.get(daemon)?;
        (now.since(*at) < self.lasts).then_some(*evidence)
    }

    /// Drops what is too old.
    pub fn prune(&mut self, now: ClockTime) {
        let lasts = self.lasts;
        self.latest.retain(|_, (_, at)| now.since(*at) < lasts);
    }
}
