//! Which peers leave calls unanswered.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::DaemonName;
use rand_chacha::ChaCha8Rng;

use crate::backoff::jittered;

/// Calls lost in a row before a peer is complained of. With a tenth of messages lost, a call is
/// lost one time in five, and fewer would be reached by chance.
pub const LOST_IN_ROW: u32 = 6;

/// A peer that left a call unanswered is asked again after this long.
const AGAIN_AFTER: Duration = Duration::from_millis(200);

/// A peer that is complained of is asked again at this pace.
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
    /// A call to the peer is under way.
    pub(super) fn opened(&mut self, peer: &DaemonName) {
        self.open.insert(peer.clone());
    }

    pub(super) fn is_open(&self, peer: &DaemonName) -> bool {
        self.open.contains(peer)
    }

    /// The peer answered; tells whether it was complained of.
    pub(super) fn answered(&mut self, peer: &DaemonName) -> bool {
        self.open.swap_remove(peer);
        let lost = self.lost.swap_remove(peer);
        lost.is_some_and(|lost| lost.count >= LOST_IN_ROW)
    }

    /// A call was lost; tells whether to complain of the peer: after so many lost calls, and again
    /// after as many more, as it may have answered the complaint and still be out of reach.
    ///
    /// While this entry is `isolated`, the call that would be complained of is not counted.
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

    /// Peers that are to be asked again now.
    pub(super) fn due(&self, now: ClockTime) -> Vec<DaemonName> {
        let due = self
            .lost
            .iter()
            .filter(|(peer, lost)| lost.again <= now && !self.open.contains(*peer));
        due.map(|(peer, _)| peer.clone()).collect()
    }

    /// Forgets lost calls that led to no complaint: this entry was isolated, and a call that was
    /// under way when that ended must not be the one that completes the row.
    pub(super) fn forget_lost(&mut self) {
        self.lost.retain(|_, lost| lost.count >= LOST_IN_ROW);
    }

    /// Peers that are complained of.
    pub(super) fn complaints(&self) -> impl Iterator<Item = &DaemonName> {
        let lost = self.lost.iter();
        lost.filter(|(_, lost)| lost.count >= LOST_IN_ROW)
            .map(|(peer, _)| peer)
    }

    /// Forgets peers that are no longer known.
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
