//! The planned stop of an entry, or of an agent with its endpoint.

use std::time::Duration;

use oatpier_admission::drain::DrainState;
use oatpier_admission::event::AgentEvent;
use oatpier_types::clock::ClockTime;
use oatpier_types::event::{AnswerEnd, FleetEvent};
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::RunVerdict;

use super::fleet;
use super::inflict::daemon;
use super::message::{ENTRIES, FIRST_AGENT, Message, NodeId};
use super::network::sibling;
use super::world::RequestWorld;
use crate::run::Bypass;
use crate::step::StepName;

/// The time until the balancer sends nothing more to an entry that is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(600);
/// How long a process announces that it leaves before it exits: longer than others take to see.
const ANNOUNCE_FOR: Duration = Duration::from_millis(800);

impl RequestWorld {
    /// The stop is in the store from now on; the process is told until it knows.
    pub fn ask_stop(&mut self) {
        let Some(stop) = &mut self.stop else {
            return;
        };
        stop.asked = true;
        stop.taken_at = ClockTime::NEVER;
        let victim = stop.victim;
        self.note(FleetEvent::StopStarted {
            daemon: daemon(victim),
        });
        if victim >= FIRST_AGENT {
            let endpoint = fleet::endpoint(victim);
            self.note(FleetEvent::LeaveStarted { endpoint });
        }
        self.tell_stop();
    }

    fn tell_stop(&mut self) {
        let Some(stop) = self.stop.filter(|stop| stop.asked && !stop.taken) else {
            return;
        };
        if !self.nodes[stop.victim].up {
            return;
        }
        // Its two registrars tell it, an entry the other one; the entries stand for that.
        let turn = usize::try_from(self.now.as_micros() / 100_000).unwrap_or(0) % ENTRIES;
        let teller = if stop.victim < ENTRIES {
            sibling(stop.victim)
        } else {
            turn
        };
        if self.nodes[teller].up {
            self.send(
                Some(StepName::StopTold),
                teller,
                stop.victim,
                Message::Leave,
            );
        }
    }

    /// The balancer before the entries learns late that one is not ready.
    pub fn is_known_stopping(&self, entry: NodeId) -> bool {
        let known = |stop: super::world::PlannedStop| stop.taken_at + BALANCER_LAG <= self.now;
        self.entries[entry].stopping && self.stop.is_some_and(known)
    }

    /// Where a refusal is to be struck, the entries hear late that the agent leaves.
    pub fn is_hushed(&self, agent: NodeId) -> bool {
        let early = |stop: super::world::PlannedStop| self.now < stop.taken_at + BALANCER_LAG;
        self.agents[agent - FIRST_AGENT].told
            && self.hits(StepName::StopRefuse)
            && self.stop.is_some_and(early)
    }

    /// A process that starts while its stop is planned learns it with its registration, before
    /// it takes work.
    pub fn told_at_start(&mut self, node: NodeId) {
        let Some(stop) = &mut self.stop else {
            return;
        };
        if stop.victim == node && stop.asked && !stop.over {
            stop.taken = false;
            self.take_leave(node);
        }
    }

    pub fn take_leave(&mut self, node: NodeId) {
        let Some(stop) = self.stop.as_mut().filter(|stop| stop.victim == node) else {
            return;
        };
        stop.taken_at = self.now;
        if std::mem::replace(&mut stop.taken, true) || self.order.omits(Bypass::Leave) {
            return;
        }
        if node < ENTRIES {
            self.entries[node].stopping = true;
            self.entries[node].policy.begin_stop();
        } else {
            self.agents[node - FIRST_AGENT].told = true;
            self.step_agent(node, AgentEvent::Leave);
        }
        self.pass(StepName::StopDrain, sibling(node), node);
        if self.order.omits(Bypass::Drain) {
            self.exit(node);
        }
    }

    /// Looks how far the stop is.
    pub fn watch_stop(&mut self) {
        let Some(stop) = self.stop.filter(|stop| stop.asked && !stop.over) else {
            return;
        };
        if !stop.taken {
            return self.tell_stop();
        }
        let state = self.nodes[stop.victim];
        if !state.up || state.paused_until > self.now || self.order.omits(Bypass::Leave) {
            return;
        }
        self.pass(StepName::StopDrain, sibling(stop.victim), stop.victim);
        let announced = stop.taken_at + ANNOUNCE_FOR <= self.now;
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

    /// Its last request is over.
    fn drained(&mut self, node: NodeId) {
        let is_over = self
            .stop
            .is_none_or(|stop| stop.over || stop.victim != node);
        if is_over {
            return;
        }
        self.pass(StepName::StopExit, sibling(node), node);
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
        self.note(FleetEvent::Ended {
            name: daemon(node),
            killed: false,
            cut_off: u32::try_from(cut_off).unwrap_or(u32::MAX),
        });
        self.nodes[node].up = false;
        self.nodes[node].boot += 1;
        if let Some(stop) = &mut self.stop {
            stop.over = true;
        }
    }

    /// Callers whose answer is not over when their entry exits.
    fn cut_callers(&mut self, entry: NodeId) -> usize {
        let open = self.submissions.iter();
        let open = open.filter(|(_, submission)| submission.entry == entry && !submission.answered);
        let open: Vec<RequestId> = open.map(|(request, _)| *request).collect();
        let accepted = open.len();
        for request in &open {
            self.answered(*request, AnswerEnd::Error, RunVerdict::MayHaveRun, false);
        }
        accepted
    }
}
