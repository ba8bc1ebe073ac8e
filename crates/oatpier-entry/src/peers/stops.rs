//! Planned stops that are delayed until replacements are ready.

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

/// Maximum delay of a stop. After it the agent is told without replacements: the operator was
/// warned that the stop reduces reachability and wants it anyway.
const MAX_DELAY: Duration = Duration::from_mins(2);

/// Delays the planned stop of an agent until all weights it serves are ready elsewhere.
///
/// An agent leaves as soon as it is told. If it were told immediately, the only holder of a model
/// would be gone while the model is still being loaded elsewhere, and requests would be refused.
#[derive(Debug, Default)]
pub struct StopQueue {
    delayed: IndexMap<DaemonName, (StopRequest, ClockTime)>,
    /// Stops that were released but are not yet recorded by the membership state machine.
    released: IndexSet<DaemonName>,
}

impl StopQueue {
    /// Returns whether a stop of this agent is delayed.
    #[must_use]
    pub fn contains(&self, daemon: &DaemonName) -> bool {
        self.delayed.contains_key(daemon)
    }

    /// Applies the complete list and returns the stops that may be sent now.
    #[must_use]
    pub fn apply_list(
        &mut self,
        listed: Vec<NamedStop>,
        member: &EntryMember<FleetConfig>,
        now: ClockTime,
    ) -> Vec<NamedStop> {
        let is_listed = |daemon: &DaemonName| listed.iter().any(|stop| stop.daemon == *daemon);
        self.delayed.retain(|daemon, _| is_listed(daemon));
        listed
            .into_iter()
            .filter_map(|stop| self.apply(stop, member, now))
            .collect()
    }

    /// Applies one stop and returns it if it may be sent now.
    #[must_use]
    pub fn apply(
        &mut self,
        stop: NamedStop,
        member: &EntryMember<FleetConfig>,
        now: ClockTime,
    ) -> Option<NamedStop> {
        let known = member.stops().request(&stop.daemon);
        let is_sent = known.is_some_and(|known| !known.withdrawn);
        let is_open = |daemon: &DaemonName| {
            let request = member.stops().request(daemon);
            request.is_none_or(|request| request.withdrawn)
        };
        self.released.retain(is_open);
        if stop.request.withdrawn || is_sent {
            self.delayed.shift_remove(&stop.daemon);
            self.released.shift_remove(&stop.daemon);
            return Some(stop);
        }
        // Inserted first, so that two agents don't count as each other's replacement.
        let since = self.delayed.get(&stop.daemon).map_or(now, |held| held.1);
        self.delayed
            .insert(stop.daemon.clone(), (stop.request, since));
        if self.may_release(&stop.daemon, since, member, now) {
            self.delayed.shift_remove(&stop.daemon);
            self.released.insert(stop.daemon.clone());
            return Some(stop);
        }
        None
    }

    /// Returns the delayed stops that may be sent now.
    #[must_use]
    pub fn take_due(
        &mut self,
        member: &EntryMember<FleetConfig>,
        now: ClockTime,
    ) -> Vec<NamedStop> {
        let waiting = self.delayed.iter();
        let waiting: Vec<NamedStop> = waiting
            .map(|(daemon, (request, _))| NamedStop {
                daemon: daemon.clone(),
                request: *request,
            })
            .collect();
        waiting
            .into_iter()
            .filter_map(|stop| self.apply(stop, member, now))
            .collect()
    }

    fn may_release(
        &self,
        daemon: &DaemonName,
        since: ClockTime,
        member: &EntryMember<FleetConfig>,
        now: ClockTime,
    ) -> bool {
        let table = member.table();
        let Some(view) = table.get(daemon) else {
            // The agent is not known yet: another entry may report it soon, or it may never appear.
            return now.since(since) >= MAX_DELAY;
        };
        let Some(status) = view.facts.status() else {
            return true;
        };
        let stays = |other: &MemberView<'_>| {
            let name = &other.facts.daemon;
            let request = member.stops().request(name);
            let is_stopping = self.contains(name) || self.released.contains(name);
            name != daemon && !is_stopping && request.is_none_or(|request| request.withdrawn)
        };
        let is_covered = status
            .ready
            .iter()
            .all(|weights| is_ready_elsewhere(table, weights, stays));
        is_covered || now.since(since) >= MAX_DELAY
    }
}

fn is_ready_elsewhere(
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
