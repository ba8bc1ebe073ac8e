//! Tracks peers that leave calls unanswered.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::DaemonName;
use rand_chacha::ChaCha8Rng;

use crate::backoff::jittered;

/// The number of calls lost in a row after which a peer counts as unreachable. With a tenth of
/// messages lost, one call in five is lost, and a lower limit would be reached by chance.
pub const LOST_IN_ROW: u32 = 6;

/// Delay before a peer that left a call unanswered is called again.
const AGAIN_AFTER: Duration = Duration::from_millis(200);

/// The interval at which an unreachable peer is called again.
const RECHECK_EVERY: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct LostCalls {
    count: u32,
    again: ClockTime,
}

/// Lost calls by peer.
#[derive(Debug, Clone, Default)]
pub(super) struct ProbeBook {
    lost: IndexMap<DaemonName, LostCalls>,
    open: IndexSet<DaemonName>,
}

impl ProbeBook {
    /// Records that a call to the peer is in flight.
    pub(super) fn opened(&mut self, peer: &DaemonName) {
        self.open.insert(peer.clone());
    }

    pub(super) fn is_open(&self, peer: &DaemonName) -> bool {
        self.open.contains(peer)
    }

    /// Records that the peer answered. Returns whether it counted as unreachable.
    pub(super) fn answered(&mut self, peer: &DaemonName) -> bool {
        self.open.swap_remove(peer);
        let lost = self.lost.swap_remove(peer);
        lost.is_some_and(|lost| lost.count >= LOST_IN_ROW)
    }

    /// Records a lost call. Returns whether to vote the peer silent: after [`LOST_IN_ROW`] lost
    /// calls, and again after each further [`LOST_IN_ROW`], as the peer may have refuted the vote
    /// and still be out of reach.
    ///
    /// While this entry is `isolated`, the call that would cause the vote is not counted.
    pub(super) fn lost(
        &mut self,
        peer: &DaemonName,
        isolated: bool,
        generator: &mut ChaCha8Rng,
        now: ClockTime,
    ) -> bool {
        self.open.swap_remove(peer);
        let lost = self.lost.entry(peer.clone()).or_insert(LostCalls {
            count: 0,
            again: now,
        });
        let enough = (lost.count + 1).is_multiple_of(LOST_IN_ROW);
        if !enough || !isolated {
            lost.count += 1;
        }
        let pace = if lost.count < LOST_IN_ROW {
            AGAIN_AFTER
        } else {
            RECHECK_EVERY
        };
        lost.again = now + jittered(pace, generator);
        enough && !isolated
    }

    /// Returns the peers to call again now.
    pub(super) fn due(&self, now: ClockTime) -> Vec<DaemonName> {
        let due = self
            .lost
            .iter()
            .filter(|(peer, lost)| lost.again <= now && !self.open.contains(*peer));
        due.map(|(peer, _)| peer.clone()).collect()
    }

    /// Drops counts that are below the limit, when this entry was isolated. Otherwise a call that
    /// was in flight when the isolation ended could be the one that reaches the limit.
    pub(super) fn forget_lost(&mut self) {
        self.lost.retain(|_, lost| lost.count >= LOST_IN_ROW);
    }

    /// Returns the peers that count as unreachable.
    pub(super) fn complaints(&self) -> impl Iterator<Item = &DaemonName> {
        let lost = self.lost.iter();
        lost.filter(|(_, lost)| lost.count >= LOST_IN_ROW)
            .map(|(peer, _)| peer)
    }

    /// Drops peers that are no longer known.
    pub(super) fn retain(&mut self, known: impl Fn(&DaemonName) -> bool) {
        self.lost.retain(|peer, _| known(peer));
    }

    pub(super) fn next_wake(&self) -> ClockTime {
        let waiting = self
            .lost
            .iter()
            .filter(|(peer, _)| !self.open.contains(*peer));
        let next = waiting.map(|(_, lost)| lost.again).min();
        next.unwrap_or(ClockTime::NEVER)
    }
}
