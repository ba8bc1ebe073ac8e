//! The planned stop of an entry, or of an agent with its endpoint.

use std::time::Duration;

use oatpier_admission::drain::DrainState;
use oatpier_admission::event::AgentEvent;
use oatpier_types::clock::ClockTime;
use oatpier_types::event::{AnswerEnd, FleetEvent};
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::RunVerdict;

use super::fleet;
use super::inject::daemon;
use super::message::{ENTRIES, FIRST_AGENT, Message, NodeId};
use super::network::sibling;
use super::simulation::RequestSimulation;
use crate::run::Bypass;
use crate::step::StepName;

/// Time until the load balancer stops sending requests to an entry that is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(600);
/// Minimum time between the start of a stop and the exit: longer than other processes need to detect that the process
/// leaves.
const MIN_ANNOUNCEMENT: Duration = Duration::from_millis(800);

impl RequestSimulation {
    /// Requests the planned stop. The stop is in the store from now on, and is sent to the process until it is received.
    pub fn request_stop(&mut self) {
        let Some(stop) = &mut self.stop else {
            return;
        };
        stop.is_requested = true;
        stop.received_at = ClockTime::NEVER;
        let victim = stop.victim;
        self.log_event(FleetEvent::StopStarted {
            daemon: daemon(victim),
        });
        if victim >= FIRST_AGENT {
            let endpoint = fleet::endpoint(victim);
            self.log_event(FleetEvent::LeaveStarted { endpoint });
        }
        self.send_stop();
    }

    fn send_stop(&mut self) {
        let Some(stop) = self
            .stop
            .filter(|stop| stop.is_requested && !stop.is_received)
        else {
            return;
        };
        if !self.nodes[stop.victim].up {
            return;
        }
        // The two registrars of an agent announce its stop, and an entry is told by the other entry. The entries act as
        // registrars here.
        let turn = usize::try_from(self.now.as_micros() / 100_000).unwrap_or(0) % ENTRIES;
        let sender = if stop.victim < ENTRIES {
            sibling(stop.victim)
        } else {
            turn
        };
        if self.nodes[sender].up {
            self.send(
                Some(StepName::StopTold),
                sender,
                stop.victim,
                Message::Leave,
            );
        }
    }

    /// Returns whether the load balancer in front of the entries has detected that an entry is stopping, which takes
    /// [`BALANCER_LAG`].
    pub fn is_known_stopping(&self, entry: NodeId) -> bool {
        let known =
            |stop: super::simulation::PlannedStop| stop.received_at + BALANCER_LAG <= self.now;
        self.entries[entry].stopping && self.stop.is_some_and(known)
    }

    /// Returns whether status reports of a leaving agent are suppressed. Runs with faults at the refusal step delay them, so
    /// that entries still send attempts that the agent refuses.
    pub fn is_status_suppressed(&self, agent: NodeId) -> bool {
        let early =
            |stop: super::simulation::PlannedStop| self.now < stop.received_at + BALANCER_LAG;
        self.agents[agent - FIRST_AGENT].is_leaving
            && self.targets(StepName::StopRefuse)
            && self.stop.is_some_and(early)
    }

    /// Applies the planned stop to a process that starts while it is open: the process receives the stop with its
    /// registration, before it accepts work.
    pub fn apply_stop_at_start(&mut self, node: NodeId) {
        let Some(stop) = &mut self.stop else {
            return;
        };
        if stop.victim == node && stop.is_requested && !stop.is_over {
            stop.is_received = false;
            self.handle_leave(node);
        }
    }

    pub fn handle_leave(&mut self, node: NodeId) {
        let Some(stop) = self.stop.as_mut().filter(|stop| stop.victim == node) else {
            return;
        };
        stop.received_at = self.now;
        if std::mem::replace(&mut stop.is_received, true) || self.run_spec.bypasses(Bypass::Leave) {
            return;
        }
        if node < ENTRIES {
            self.entries[node].stopping = true;
            self.entries[node].policy.begin_stop();
        } else {
            self.agents[node - FIRST_AGENT].is_leaving = true;
            self.step_agent(node, AgentEvent::Leave);
        }
        self.inject_at(StepName::StopDrain, sibling(node), node);
        if self.run_spec.bypasses(Bypass::Drain) {
            self.exit(node);
        }
    }

    /// Checks the progress of the planned stop, and sends it again or ends the process.
    pub fn check_stop(&mut self) {
        let Some(stop) = self.stop.filter(|stop| stop.is_requested && !stop.is_over) else {
            return;
        };
        if !stop.is_received {
            return self.send_stop();
        }
        let state = self.nodes[stop.victim];
        if !state.up || state.paused_until > self.now || self.run_spec.bypasses(Bypass::Leave) {
            return;
        }
        self.inject_at(StepName::StopDrain, sibling(stop.victim), stop.victim);
        let announced = stop.received_at + MIN_ANNOUNCEMENT <= self.now;
        if announced && self.nodes[stop.victim].up && self.is_drained(stop.victim) {
            self.drained(stop.victim);
        }
    }

    fn is_drained(&self, node: NodeId) -> bool {
        if node < ENTRIES {
            let entry = &self.entries[node];
            entry.policy.in_flight() == 0 && entry.claims.is_settled()
        } else {
            let agent = &self.agents[node - FIRST_AGENT];
            agent.policy.drain_state() == DrainState::Drained
        }
    }

    /// Ends a process whose last request has ended.
    fn drained(&mut self, node: NodeId) {
        let is_over = self
            .stop
            .is_none_or(|stop| stop.is_over || stop.victim != node);
        if is_over {
            return;
        }
        self.inject_at(StepName::StopExit, sibling(node), node);
        let state = self.nodes[node];
        if state.up && state.paused_until <= self.now {
            self.exit(node);
        }
    }

    fn exit(&mut self, node: NodeId) {
        let cut_off = if node < ENTRIES {
            self.cut_callers(node)
        } else {
            self.agents[node - FIRST_AGENT].running()
        };
        self.log_event(FleetEvent::Ended {
            name: daemon(node),
            killed: false,
            cut_off: u32::try_from(cut_off).unwrap_or(u32::MAX),
        });
        self.nodes[node].up = false;
        self.nodes[node].boot += 1;
        if let Some(stop) = &mut self.stop {
            stop.is_over = true;
        }
    }

    /// Cuts off the callers whose answer is not complete when their entry exits, and returns their number.
    fn cut_callers(&mut self, entry: NodeId) -> usize {
        let open = self.submissions.iter();
        let open =
            open.filter(|(_, submission)| submission.entry == entry && !submission.is_answered);
        let open: Vec<RequestId> = open.map(|(request, _)| *request).collect();
        let accepted = open.len();
        for request in &open {
            self.record_answer_end(*request, AnswerEnd::Error, RunVerdict::MayHaveRun, false);
        }
        accepted
    }
}
