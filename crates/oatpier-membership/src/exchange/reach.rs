//! Whether this entry hears the others at all.
//!
//! An entry that hears nobody explains the silence of all others by itself: its words about them
//! say nothing. Two such entries would be two witnesses, and remove agents that serve.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::DaemonName;

/// Calls and heartbeats count for this long. An agent's heartbeats come at most 2.6 s apart, and
/// the first complaint of a peer takes 3.5 s of lost calls.
pub(crate) const HEARD_WITHIN: Duration = Duration::from_millis(2_700);

/// After this long an entry that hears nobody says what it sees: if it is cut off, the others
/// have counted it out long since; if not, the others are dead.
const ISOLATED_MOST: Duration = Duration::from_secs(10);

/// How many of those that an entry should hear it does hear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct HeardShare {
    /// Heard lately.
    pub heard: usize,
    /// Not heard lately.
    pub missed: usize,
}

impl HeardShare {
    fn is_minor(self) -> bool {
        self.missed > self.heard
    }

    fn is_empty(self) -> bool {
        self.heard + self.missed == 0
    }
}

/// The latest call to or from each entry, and since when this entry hears too few.
#[derive(Debug, Clone, Default)]
pub(super) struct ReachBook {
    latest: IndexMap<DaemonName, (bool, ClockTime)>,
    since: Option<ClockTime>,
    isolated: bool,
}

impl ReachBook {
    /// A peer called, answered, or left a call unanswered.
    pub(super) fn note(&mut self, peer: &DaemonName, heard: bool, now: ClockTime) {
        self.latest.insert(peer.clone(), (heard, now));
    }

    /// Whether this entry is isolated, as last checked.
    pub(super) fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Whether this entry heard enough when last checked.
    pub(super) fn hears(&self) -> bool {
        self.since.is_none()
    }

    /// Works out whether this entry is isolated: it hears the minor part of the entries that
    /// `live` names and of its agents. Either by itself has another cause, such as a lost rack.
    pub(super) fn check(
        &mut self,
        agents: HeardShare,
        live: impl Fn(&DaemonName) -> bool,
        now: ClockTime,
    ) -> bool {
        self.latest
            .retain(|peer, (_, at)| now.since(*at) < HEARD_WITHIN && live(peer));
        let heard = self.latest.values().filter(|(heard, _)| *heard).count();
        let entries = HeardShare {
            heard,
            missed: self.latest.len() - heard,
        };
        let few = entries.is_minor() && (agents.is_empty() || agents.is_minor());
        if !few {
            self.since = None;
        } else if self.since.is_none() {
            self.since = Some(now);
        }
        self.isolated = self
            .since
            .is_some_and(|since| now.since(since) < ISOLATED_MOST);
        self.isolated
    }
}
