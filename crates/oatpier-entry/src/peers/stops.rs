//! Planned stops that wait for replacements.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use oatpier_membership::entry::EntryMember;
use oatpier_membership::members::{MemberTable, MemberView};
use oatpier_membership::messages::NamedStop;
use oatpier_membership::stops::StopRequest;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::DaemonName;

/// The longest that a stop waits for replacements. After it the agent is told anyway: an operator
/// who was warned that a stop costs reachability wants it none the less.
const LONGEST_HOLD: Duration = Duration::from_mins(2);

/// Holds a planned stop of an agent back until all that it serves is ready elsewhere.
///
/// An agent leaves as soon as it is told. Told at once, the only holder of a model would be gone
/// while the model is still being loaded elsewhere, and its callers would be refused.
#[derive(Debug, Default)]
pub struct StopGate {
    held: IndexMap<DaemonName, (StopRequest, ClockTime)>,
    /// Given back, and not yet among the machine's own stops.
    passed: IndexSet<DaemonName>,
}

impl StopGate {
    /// Whether a stop waits.
    #[must_use]
    pub fn holds(&self, daemon: &DaemonName) -> bool {
        self.held.contains_key(daemon)
    }

    /// The whole list was read: those that may be told.
    #[must_use]
    pub fn take_list(
        &mut self,
        listed: Vec<NamedStop>,
        member: &EntryMember<FleetConfig>,
        now: ClockTime,
    ) -> Vec<NamedStop> {
        let is_listed = |daemon: &DaemonName| listed.iter().any(|stop| stop.daemon == *daemon);
        self.held.retain(|daemon, _| is_listed(daemon));
        listed
            .into_iter()
            .filter_map(|stop| self.take_one(stop, member, now))
            .collect()
    }

    /// One stop: given back if it may be told now.
    #[must_use]
    pub fn take_one(
        &mut self,
        stop: NamedStop,
        member: &EntryMember<FleetConfig>,
        now: ClockTime,
    ) -> Option<NamedStop> {
        let known = member.stops().request(&stop.daemon);
        let is_told = known.is_some_and(|known| !known.withdrawn);
        let is_open = |daemon: &DaemonName| {
            let word = member.stops().request(daemon);
            word.is_none_or(|word| word.withdrawn)
        };
        self.passed.retain(is_open);
        if stop.request.withdrawn || is_told {
            self.held.shift_remove(&stop.daemon);
            self.passed.shift_remove(&stop.daemon);
            return Some(stop);
        }
        // Held first, so that two agents don't count as each other's replacement.
        let since = self.held.get(&stop.daemon).map_or(now, |held| held.1);
        self.held.insert(stop.daemon.clone(), (stop.request, since));
        if self.may_tell(&stop.daemon, since, member, now) {
            self.held.shift_remove(&stop.daemon);
            self.passed.insert(stop.daemon.clone());
            return Some(stop);
        }
        None
    }

    /// Those that may be told by now.
    #[must_use]
    pub fn due(&mut self, member: &EntryMember<FleetConfig>, now: ClockTime) -> Vec<NamedStop> {
        let waiting = self.held.iter();
        let waiting: Vec<NamedStop> = waiting
            .map(|(daemon, (word, _))| NamedStop {
                daemon: daemon.clone(),
                request: *word,
            })
            .collect();
        waiting
            .into_iter()
            .filter_map(|stop| self.take_one(stop, member, now))
            .collect()
    }

    fn may_tell(
        &self,
        daemon: &DaemonName,
        since: ClockTime,
        member: &EntryMember<FleetConfig>,
        now: ClockTime,
    ) -> bool {
        let table = member.table();
        let Some(view) = table.get(daemon) else {
            // Not known yet: another entry may be about to tell of it, or nobody ever will.
            return now.since(since) >= LONGEST_HOLD;
        };
        let Some(status) = view.facts.status() else {
            return true;
        };
        let stays = |other: &MemberView<'_>| {
            let name = &other.facts.daemon;
            let word = member.stops().request(name);
            let is_asked = self.holds(name) || self.passed.contains(name);
            name != daemon && !is_asked && word.is_none_or(|word| word.withdrawn)
        };
        let is_covered = status
            .ready
            .iter()
            .all(|weights| is_elsewhere(table, weights, stays));
        is_covered || now.since(since) >= LONGEST_HOLD
    }
}

fn is_elsewhere(
    table: &MemberTable,
    weights: &WeightsKey,
    stays: impl Fn(&MemberView<'_>) -> bool,
) -> bool {
    let same =
        |other: &WeightsKey| other.model == weights.model && other.adapter == weights.adapter;
    table
        .usable_agents()
        .filter(stays)
        .filter_map(|view| view.facts.status())
        .any(|status| status.ready.iter().any(same))
}
