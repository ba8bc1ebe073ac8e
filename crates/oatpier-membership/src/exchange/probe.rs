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
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// The interval at which an unreachable peer is called again.
const RECHECK_EVERY: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct LostCalls {
    count: u32,
    retry_at: ClockTime,
}

/// Lost calls by peer.
#[derive(Debug, Clone, Default)]
pub(super) struct ProbeTracker {
    lost_calls: IndexMap<DaemonName, LostCalls>,
    in_flight: IndexSet<DaemonName>,
}

impl ProbeTracker {
    /// Records that a call to the peer is in flight.
    pub(super) fn record_call(&mut self, peer: &DaemonName) {
        self.in_flight.insert(peer.clone());
    }

    pub(super) fn is_in_flight(&self, peer: &DaemonName) -> bool {
        self.in_flight.contains(peer)
    }

    /// Records that the peer answered. Returns whether it counted as unreachable.
    pub(super) fn handle_answer(&mut self, peer: &DaemonName) -> bool {
        self.in_flight.swap_remove(peer);
        let lost_calls = self.lost_calls.swap_remove(peer);
        lost_calls.is_some_and(|lost_calls| lost_calls.count >= LOST_IN_ROW)
    }

    /// Records a lost call. Returns whether to vote the peer silent: after [`LOST_IN_ROW`] lost
    /// calls, and again after each further [`LOST_IN_ROW`], as the peer may have refuted the vote
    /// and still be out of reach.
    ///
    /// While `is_isolated` is true, the call that would cause the vote is not counted.
    pub(super) fn handle_loss(
        &mut self,
        peer: &DaemonName,
        is_isolated: bool,
        generator: &mut ChaCha8Rng,
        now: ClockTime,
    ) -> bool {
        self.in_flight.swap_remove(peer);
        let lost_calls = self.lost_calls.entry(peer.clone()).or_insert(LostCalls {
            count: 0,
            retry_at: now,
        });
        let is_at_limit = (lost_calls.count + 1).is_multiple_of(LOST_IN_ROW);
        if !is_at_limit || !is_isolated {
            lost_calls.count += 1;
        }
        let interval = if lost_calls.count < LOST_IN_ROW {
            RETRY_AFTER
        } else {
            RECHECK_EVERY
        };
        lost_calls.retry_at = now + jittered(interval, generator);
        is_at_limit && !is_isolated
    }

    /// Returns the peers to call again now.
    pub(super) fn due(&self, now: ClockTime) -> Vec<DaemonName> {
        let due = self.lost_calls.iter().filter(|(peer, lost_calls)| {
            lost_calls.retry_at <= now && !self.in_flight.contains(*peer)
        });
        due.map(|(peer, _)| peer.clone()).collect()
    }

    /// Drops counts that are below the limit, when this entry was isolated. Otherwise a call that
    /// was in flight when the isolation ended could be the one that reaches the limit.
    pub(super) fn reset_counts(&mut self) {
        self.lost_calls
            .retain(|_, lost_calls| lost_calls.count >= LOST_IN_ROW);
    }

    /// Returns the peers that count as unreachable.
    pub(super) fn unreachable_peers(&self) -> impl Iterator<Item = &DaemonName> {
        let lost_calls = self.lost_calls.iter();
        lost_calls
            .filter(|(_, lost_calls)| lost_calls.count >= LOST_IN_ROW)
            .map(|(peer, _)| peer)
    }

    /// Drops peers that are no longer known.
    pub(super) fn retain(&mut self, known: impl Fn(&DaemonName) -> bool) {
        self.lost_calls.retain(|peer, _| known(peer));
    }

    pub(super) fn next_wake(&self) -> ClockTime {
        let waiting = self
            .lost_calls
            .iter()
            .filter(|(peer, _)| !self.in_flight.contains(*peer));
        let next = waiting.map(|(_, lost_calls)| lost_calls.retry_at).min();
        next.unwrap_or(ClockTime::NEVER)
    }
}
