//! Detects whether this entry itself is isolated.
//!
//! An entry that receives nothing from anyone is itself the likely cause, so its votes on the
//! others are meaningless. Two such entries would be two witnesses, and would remove agents that
//! serve.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::DaemonName;

/// How long calls and heartbeats count as recent. An agent's heartbeats are at most 2.6 s apart,
/// and the first silent vote on a peer takes 3.5 s of lost calls.
pub(crate) const RECENT_WINDOW: Duration = Duration::from_millis(2_700);

/// How long an entry that receives nothing withholds its votes. If it is cut off, the others have
/// removed it by then; if not, the others are dead.
const ISOLATION_MAX: Duration = Duration::from_secs(10);

/// How many of the expected members an entry can reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReachableShare {
    /// The number that were reached recently.
    pub reachable: usize,
    /// The number that were not.
    pub missed: usize,
}

impl ReachableShare {
    fn is_minority(self) -> bool {
        self.missed > self.reachable
    }

    fn is_empty(self) -> bool {
        self.reachable + self.missed == 0
    }
}

/// The latest call to or from each entry, and since when this entry has reached too few.
#[derive(Debug, Clone, Default)]
pub(super) struct IsolationDetector {
    latest: IndexMap<DaemonName, (bool, ClockTime)>,
    since: Option<ClockTime>,
    is_isolated: bool,
}

impl IsolationDetector {
    /// Records whether a peer called or answered (`reachable`), or left a call unanswered.
    pub(super) fn record(&mut self, peer: &DaemonName, reachable: bool, now: ClockTime) {
        self.latest.insert(peer.clone(), (reachable, now));
    }

    /// Whether this entry was isolated at the last check.
    pub(super) fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Whether this entry reached enough at the last check.
    pub(super) fn is_connected(&self) -> bool {
        self.since.is_none()
    }

    /// Checks whether this entry is isolated: it reaches only a minority of the entries for which
    /// `live` holds, and only a minority of its agents. One of the two alone has another cause,
    /// such as the loss of a rack.
    pub(super) fn check(
        &mut self,
        agents: ReachableShare,
        live: impl Fn(&DaemonName) -> bool,
        now: ClockTime,
    ) -> bool {
        self.latest
            .retain(|peer, (_, at)| now.since(*at) < RECENT_WINDOW && live(peer));
        let reachable = self
            .latest
            .values()
            .filter(|(reachable, _)| *reachable)
            .count();
        let entries = ReachableShare {
            reachable,
            missed: self.latest.len() - reachable,
        };
        let has_minority = entries.is_minority() && (agents.is_empty() || agents.is_minority());
        if !has_minority {
            self.since = None;
        } else if self.since.is_none() {
            self.since = Some(now);
        }
        self.is_isolated = self
            .since
            .is_some_and(|since| now.since(since) < ISOLATION_MAX);
        self.is_isolated
    }
}
