//! The registrar's side of heartbeats: which agents are reachable, and the votes on them that are
//! sent to other entries.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::DaemonName;
use smallvec::SmallVec;

use crate::exchange::{RECENT_WINDOW, ReachableShare};
use crate::members::{MemberFacts, MemberKind, MemberRow, MemberTable, Reachability};
use crate::messages::{AgentHeartbeat, EntryContact, FormerBoot, HeartbeatAnswer, HeartbeatBody};
use crate::stops::StopRequest;

/// An agent counts as silent after this long without a heartbeat: three missed heartbeats, plus a
/// margin for delays.
pub const SILENT_AFTER: Duration = Duration::from_millis(6_500);

/// An agent that sent this entry no heartbeat for this long, but is reachable for others, has other
/// registrars.
const RELEASE_AFTER: Duration = Duration::from_secs(15);

/// How long an agent must be reachable again after its first silence before the vote on it changes
/// back.
pub const HOLD_FIRST: Duration = Duration::from_secs(3);

/// The upper bound of that time.
pub const HOLD_LONGEST: Duration = Duration::from_mins(1);

/// After this long of being reachable without a break, an agent's earlier silences are forgotten.
const FLAP_RESET_AFTER: Duration = Duration::from_mins(5);

/// An agent that was silent for this long is dropped by its registrar.
const SILENT_DROP_AFTER: Duration = Duration::from_mins(10);

/// A registrar's vote on an agent, to be sent to the other entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistrarVote {
    /// The agent.
    pub daemon: DaemonName,
    /// The incarnation that the vote is about.
    pub about: u64,
    /// Whether the agent is reachable.
    pub reachability: Reachability,
}

#[derive(Debug, Clone)]
struct Registration {
    boot: BootId,
    incarnation: u64,
    generation: Generation,
    contact: EntryContact,
    silent_since: ClockTime,
    /// As `silent_since`, but never advanced because this entry itself was isolated.
    last_heartbeat: ClockTime,
    steady_since: ClockTime,
    is_reachable: bool,
    flaps: u32,
}

impl Registration {
    fn hold_time(&self) -> Duration {
        let doubled = HOLD_FIRST.saturating_mul(1 << self.flaps.saturating_sub(1).min(16));
        match self.flaps {
            0 => Duration::ZERO,
            _ => doubled.min(HOLD_LONGEST),
        }
    }
}

/// The agents registered with one entry.
#[derive(Debug, Clone, Default)]
pub struct RegistrarTable {
    agents: IndexMap<DaemonName, Registration>,
}

impl RegistrarTable {
    /// Handles a heartbeat and merges its content into `members`. The answer lacks the list of
    /// entries, the stop request and the generation, which the caller fills in. If the vote on the
    /// agent changed, it is returned, to be sent to the other entries.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &AgentHeartbeat,
        members: &mut MemberTable,
        now: ClockTime,
    ) -> (HeartbeatAnswer, Option<RegistrarVote>) {
        let known = members.row(&heartbeat.daemon).map(|row| &row.facts);
        let mut former = known.and_then(|known| former_boot(known, heartbeat));
        if let (Some(former), Some(agent)) = (&mut former, self.agents.get(&heartbeat.daemon)) {
            former.generation = former.generation.max(agent.generation);
        }
        let need_full = former.is_some() || !merge_body(heartbeat, members, now);
        let vote = match former {
            Some(_) => None,
            None => self.register(heartbeat, now),
        };
        let answer = HeartbeatAnswer {
            generation: Generation(0),
            need_full,
            former,
            entries: None,
            stop: None::<StopRequest>,
        };
        (answer, vote)
    }

    /// Checks for agents that went silent and returns the votes that changed. Must be called every
    /// second.
    ///
    /// `is_isolated` means that this entry itself was paused or is cut off. It then received
    /// nothing from anyone, which is no evidence against the agents.
    pub fn check(
        &mut self,
        is_isolated: bool,
        members: &MemberTable,
        now: ClockTime,
    ) -> Vec<RegistrarVote> {
        let mut votes = Vec::new();
        for (daemon, agent) in &mut self.agents {
            if is_isolated {
                agent.silent_since = now;
            }
            if agent.is_reachable && now.since(agent.silent_since) >= SILENT_AFTER {
                agent.is_reachable = false;
                agent.flaps += 1;
                votes.push(vote_on(daemon, agent));
            }
        }
        self.release(members, now, &mut votes);
        votes
    }

    /// Drops agents that were silent for long, and those that sent heartbeats to other entries but
    /// not to this one, as these have other registrars now. If this entry's vote stayed at silent,
    /// two such votes would remove the agent as soon as its current registrars die.
    fn release(&mut self, members: &MemberTable, now: ClockTime, votes: &mut Vec<RegistrarVote>) {
        self.agents.retain(|daemon, agent| {
            let silent_for = now.since(agent.silent_since);
            if silent_for >= RELEASE_AFTER && members.is_reachable_elsewhere(daemon) {
                votes.push(RegistrarVote {
                    reachability: Reachability::Released,
                    ..vote_on(daemon, agent)
                });
                return false;
            }
            silent_for < SILENT_DROP_AFTER
        });
    }

    /// Returns all votes, to be sent again when the entry's incarnation rose and its earlier votes
    /// are void.
    #[must_use]
    pub fn votes(&self) -> Vec<RegistrarVote> {
        let agents = self.agents.iter();
        agents
            .map(|(daemon, agent)| vote_on(daemon, agent))
            .collect()
    }

    /// Returns the agents that are reachable, with the generation in force at each.
    pub fn reachable_agents(&self) -> impl Iterator<Item = (&EntryContact, Generation)> {
        let agents = self.agents.values().filter(|agent| agent.is_reachable);
        agents.map(|agent| (&agent.contact, agent.generation))
    }

    /// Records the generation that an agent reported.
    pub fn record_generation(&mut self, daemon: &DaemonName, generation: Generation) {
        if let Some(agent) = self.agents.get_mut(daemon) {
            agent.generation = agent.generation.max(generation);
        }
    }

    /// Returns how many of the registered agents sent a heartbeat within `RECENT_WINDOW`.
    #[must_use]
    pub fn reachable_share(&self, now: ClockTime) -> ReachableShare {
        let agents = self.agents.values().filter(|agent| agent.is_reachable);
        let is_late = |agent: &&Registration| now.since(agent.last_heartbeat) >= RECENT_WINDOW;
        let (missed, reachable): (Vec<_>, Vec<_>) = agents.partition(is_late);
        ReachableShare {
            reachable: reachable.len(),
            missed: missed.len(),
        }
    }

    /// Returns the number of agents that are registered and reachable.
    #[must_use]
    pub fn reachable_count(&self) -> usize {
        self.agents
            .values()
            .filter(|agent| agent.is_reachable)
            .count()
    }

    /// Returns the registered agents with the generation in force at each.
    pub fn generations(&self) -> impl Iterator<Item = (&DaemonName, Generation)> {
        let agents = self.agents.iter();
        agents.map(|(daemon, agent)| (daemon, agent.generation))
    }

    fn register(&mut self, heartbeat: &AgentHeartbeat, now: ClockTime) -> Option<RegistrarVote> {
        let daemon = &heartbeat.daemon;
        let Some(agent) = self.agents.get_mut(daemon) else {
            let agent = new_registration(heartbeat, now);
            let vote = vote_on(daemon, &agent);
            self.agents.insert(daemon.clone(), agent);
            return Some(vote);
        };
        if now.since(agent.silent_since) >= SILENT_AFTER {
            agent.steady_since = now;
        }
        let is_renewed = agent.incarnation != heartbeat.incarnation;
        agent.boot = heartbeat.boot;
        agent.incarnation = heartbeat.incarnation;
        agent.generation = heartbeat.generation;
        agent.contact.address = heartbeat.address;
        agent.silent_since = now;
        agent.last_heartbeat = now;
        let steady = now.since(agent.steady_since);
        if steady >= FLAP_RESET_AFTER {
            agent.flaps = 0;
        }
        // An agent that fails and recovers repeatedly would change every table each time. It must
        // be reachable for longer each time before the vote changes back.
        let has_returned = !agent.is_reachable && steady >= agent.hold_time();
        agent.is_reachable |= has_returned;
        (has_returned || is_renewed).then(|| vote_on(daemon, agent))
    }
}

fn new_registration(heartbeat: &AgentHeartbeat, now: ClockTime) -> Registration {
    Registration {
        boot: heartbeat.boot,
        incarnation: heartbeat.incarnation,
        generation: heartbeat.generation,
        contact: EntryContact {
            daemon: heartbeat.daemon.clone(),
            zone: heartbeat.zone.clone(),
            address: heartbeat.address,
        },
        silent_since: now,
        last_heartbeat: now,
        steady_since: now,
        is_reachable: true,
        flaps: 0,
    }
}

fn vote_on(daemon: &DaemonName, agent: &Registration) -> RegistrarVote {
    RegistrarVote {
        daemon: daemon.clone(),
        about: agent.incarnation,
        reachability: if agent.is_reachable {
            Reachability::Reachable
        } else {
            Reachability::Silent
        },
    }
}

/// Returns another boot of the agent that is still taken for the current one, so that the agent
/// takes a higher incarnation. A late heartbeat of an earlier boot gets this answer too, and
/// changes nothing.
fn former_boot(known: &MemberFacts, heartbeat: &AgentHeartbeat) -> Option<FormerBoot> {
    let is_other = known.boot != heartbeat.boot && known.incarnation >= heartbeat.incarnation;
    is_other.then_some(FormerBoot {
        incarnation: known.incarnation,
        generation: known.generation,
    })
}

/// Merges the body of a heartbeat. Returns false if a full heartbeat is needed for that.
fn merge_body(heartbeat: &AgentHeartbeat, members: &mut MemberTable, now: ClockTime) -> bool {
    match &heartbeat.body {
        HeartbeatBody::Full(status) => {
            let row = MemberRow {
                facts: MemberFacts {
                    daemon: heartbeat.daemon.clone(),
                    zone: heartbeat.zone.clone(),
                    address: heartbeat.address,
                    boot: heartbeat.boot,
                    incarnation: heartbeat.incarnation,
                    phase: heartbeat.phase,
                    generation: heartbeat.generation,
                    kind: MemberKind::Agent(status.clone()),
                },
                votes: SmallVec::new(),
            };
            members.merge(&row, now);
            members.record_queue_report(&heartbeat.daemon, &status.queue);
            true
        }
        HeartbeatBody::QueueReport {
            ready_sequence,
            report,
        } => {
            let known = members.row(&heartbeat.daemon).map(|row| &row.facts);
            let order = (
                heartbeat.incarnation,
                heartbeat.phase,
                *ready_sequence,
                heartbeat.boot,
            );
            let same = known.is_some_and(|known| known.order() == order);
            members.record_queue_report(&heartbeat.daemon, report);
            same
        }
    }
}
