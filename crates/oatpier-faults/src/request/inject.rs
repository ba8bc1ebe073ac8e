//! Injects faults into requests and planned stops.

use std::time::Duration;

use oatpier_types::engine::{CacheEvent, LoadReport};
use oatpier_types::event::{AnswerEnd, FleetEvent};
use oatpier_types::ids::RequestId;
use oatpier_types::names::DaemonName;
use oatpier_types::verdict::RunVerdict;
use rand::RngExt;

use super::fleet;
use super::message::{
    AGENTS, AnswerFrame, CALLERS, CallUpdate, ENTRIES, FIRST_AGENT, FIRST_ENDPOINT, Message,
    NodeId, SimEvent,
};
use super::network::MessageDelivery;
use super::simulation::RequestSimulation;
use crate::fault::FaultKind;
use crate::step::StepName;

impl RequestSimulation {
    /// Injects the faults that are due when a message reaches `step`, and returns how it is delivered.
    pub fn inject_at(&mut self, step: StepName, from: NodeId, to: NodeId) -> MessageDelivery {
        let mut delivery = MessageDelivery::Normal;
        for fault in self.plan.take_due(step) {
            match fault {
                FaultKind::Lost => delivery = MessageDelivery::Dropped,
                FaultKind::Late => delivery = MessageDelivery::Delayed,
                FaultKind::Doubled => delivery = MessageDelivery::Duplicated,
                FaultKind::Crossed => delivery = MessageDelivery::Misrouted,
                other => self.inject(other, from, to),
            }
        }
        delivery
    }

    fn inject(&mut self, fault: FaultKind, from: NodeId, to: NodeId) {
        match fault {
            FaultKind::Kill => {
                let downtime = self.random_millis(1_500, 4_000);
                let victim = self.victim(from, to);
                self.kill(victim, downtime);
            }
            FaultKind::Restart => {
                let downtime = self.random_millis(5, 100);
                let victim = self.victim(from, to);
                self.kill(victim, downtime);
            }
            FaultKind::Pause => {
                let until = self.now + self.random_millis(100, 4_000);
                let victim = self.victim(from, to);
                self.nodes[victim].paused_until = until;
            }
            FaultKind::CutTo => self.cut(from, to),
            FaultKind::CutFrom => self.cut(to, from),
            FaultKind::CutBoth => {
                self.cut(from, to);
                self.cut(to, from);
            }
            FaultKind::SlowPeer => {
                let until = self.now + self.random_millis(1_000, 4_000);
                self.nodes[process(to, from)].slow_until = until;
            }
            FaultKind::StoreDown => {
                self.store.down_until = self.now + self.random_millis(1_000, 4_000);
            }
            FaultKind::StoreSlow => {
                self.store.slow_until = self.now + self.random_millis(1_000, 4_000);
            }
            FaultKind::AnswerLost => self.store.answers_to_lose = self.random.random_range(1..=2),
            FaultKind::LeaseLapsed => self.replace_claimer(),
            FaultKind::VmListWrong => self.corrupt_vm_list(),
            FaultKind::ReportStale => self.stale_reports(),
            FaultKind::CacheGap => self.cache_gap(),
            _ => {}
        }
    }

    /// Selects one of the two processes at random; callers are never selected.
    fn victim(&mut self, from: NodeId, to: NodeId) -> NodeId {
        if self.random.random_bool(0.5) {
            process(from, to)
        } else {
            process(to, from)
        }
    }

    fn cut(&mut self, from: NodeId, to: NodeId) {
        let until = self.now + self.random_millis(300, 4_000);
        self.blocked.insert((from, to), until);
    }

    /// Crashes a process and schedules its restart.
    pub fn kill(&mut self, victim: NodeId, downtime: Duration) {
        if !self.nodes[victim].up {
            return;
        }
        self.nodes[victim].up = false;
        self.nodes[victim].boot += 1;
        self.log_event(FleetEvent::Ended {
            name: daemon(victim),
            killed: true,
            cut_off: 0,
        });
        self.end_connections(victim);
        self.queue.put(self.now + downtime, SimEvent::Boot(victim));
    }

    fn end_connections(&mut self, victim: NodeId) {
        match victim {
            0..ENTRIES => self.end_entry_connections(victim),
            FIRST_AGENT..FIRST_ENDPOINT => self.end_agent_connections(victim),
            _ => self.set_endpoint_up(victim, false),
        }
    }

    fn end_entry_connections(&mut self, entry: NodeId) {
        let open = self.submissions.iter();
        let open =
            open.filter(|(_, submission)| submission.entry == entry && !submission.is_answered);
        let open: Vec<RequestId> = open.map(|(request, _)| *request).collect();
        for request in open {
            self.record_answer_end(request, AnswerEnd::Error, RunVerdict::MayHaveRun, false);
        }
        for (attempt, agent) in self.attempts_of(|connection| connection.entry == entry) {
            let after = self.random_millis(1, 50);
            self.post_directly(entry, agent, Message::EntryGone(attempt), after);
        }
    }

    fn end_agent_connections(&mut self, agent: NodeId) {
        let silent = self.random.random_bool(0.3);
        for (attempt, _) in self.attempts_of(|connection| connection.agent == agent) {
            // A VM that vanished does not close its connections: its peers detect the loss by timeout.
            let after = if silent {
                self.random_millis(500, 3_000)
            } else {
                self.random_millis(1, 20)
            };
            let connection = self.connections[&attempt];
            let frame = AnswerFrame::Cut;
            let request = connection.request;
            let cut = Message::Frame {
                request,
                attempt,
                frame,
            };
            self.post_directly(agent, connection.entry, cut, after);
        }
    }

    fn attempts_of(
        &mut self,
        wanted: impl Fn(&super::simulation::Connection) -> bool,
    ) -> Vec<(oatpier_types::ids::AttemptId, NodeId)> {
        let open = self.connections.iter_mut();
        let open = open.filter(|(_, connection)| !connection.is_broken && wanted(connection));
        open.map(|(attempt, connection)| {
            connection.is_broken = true;
            (*attempt, connection.agent)
        })
        .collect()
    }

    /// Reports to the agent that its endpoint has ended or is up again, and fails all running calls.
    pub fn set_endpoint_up(&mut self, node: NodeId, up: bool) {
        let agent = node - AGENTS;
        let short_delay = Duration::from_millis(2);
        let running = self.services[node - FIRST_ENDPOINT].end_all();
        for attempt in running {
            let update = CallUpdate::Failed(RunVerdict::MayHaveRun);
            self.post_directly(
                node,
                agent,
                Message::CallUpdate { attempt, update },
                short_delay,
            );
        }
        let update = CallUpdate::Up(up);
        let attempt = oatpier_types::ids::AttemptId(0);
        self.post_directly(
            node,
            agent,
            Message::CallUpdate { attempt, update },
            short_delay,
        );
    }

    /// Pauses the claimer and makes the other entry the claimer.
    fn replace_claimer(&mut self) {
        let paused = self.store.claimer;
        self.nodes[paused].paused_until = self.now + self.random_millis(1_000, 4_000);
        self.store.claimer = super::network::sibling(paused);
    }

    fn corrupt_vm_list(&mut self) {
        let agents = 0..AGENTS;
        let wrong =
            agents.filter(|agent| agent % 2 == usize::from(self.run_spec.seed.is_multiple_of(2)));
        for agent in wrong.collect::<Vec<_>>() {
            let endpoint = fleet::endpoint(FIRST_AGENT + agent);
            for entry in &mut self.entries {
                entry.policy.mark_leaving(&endpoint, self.now);
            }
        }
        let until = self.now + self.random_millis(500, 3_000);
        self.queue.put(until, SimEvent::VmListCorrected);
    }

    pub fn correct_vm_list(&mut self) {
        for agent in FIRST_AGENT..FIRST_AGENT + AGENTS {
            let endpoint = fleet::endpoint(agent);
            for entry in &mut self.entries {
                entry.policy.clear_leaving(&endpoint);
            }
        }
    }

    fn stale_reports(&mut self) {
        let report = LoadReport {
            running: self.random.random_range(0..200),
            waiting: self.random.random_range(0..500),
            waiting_tokens: self.random.random_range(0..1_000_000),
            age_ms: 600_000,
        };
        let endpoint = fleet::endpoint(FIRST_AGENT);
        for entry in &mut self.entries {
            entry.policy.on_report(&endpoint, &report, self.now);
        }
    }

    fn cache_gap(&mut self) {
        let endpoint = fleet::endpoint(FIRST_AGENT);
        for sequence in [1, 2, 900] {
            let event = CacheEvent {
                sequence,
                block: 7,
                present: sequence != 2,
            };
            for entry in &mut self.entries {
                entry.policy.on_cache_event(&endpoint, &event, self.now);
            }
        }
    }
}

/// Returns a node's name in the log.
pub fn daemon(node: NodeId) -> DaemonName {
    fleet::name(&format!("node-{node}"))
}

/// Returns `node`, or `other` if `node` stands for the callers.
fn process(node: NodeId, other: NodeId) -> NodeId {
    if node == CALLERS { other } else { node }
}
