//! The simulated agent: executes the actions of the agent policy.

use std::collections::BTreeMap;

use oatpier_admission::event::{
    AdmissionLimits, AdmissionTicket, AgentAction, AgentActions, AgentEvent,
};
use oatpier_admission::policy::AgentPolicy;
use oatpier_types::ids::{AttemptId, BootId, Generation, RequestId};
use oatpier_types::refusal::RefusalCause;
use oatpier_types::request::{AttemptSpec, RequestGoal};
use oatpier_types::status::EndpointStatus;
use oatpier_types::verdict::RunVerdict;

use super::entry::copy_refusal;
use super::fleet;
use super::message::{AGENTS, AnswerFrame, CallUpdate, ENTRIES, FIRST_AGENT, Message, NodeId};
use super::simulation::RequestSimulation;
use crate::run::Bypass;
use crate::step::StepName;

/// Attempts that an endpoint runs concurrently: one, so that others are queued.
const SLOTS: u32 = 1;

/// An attempt that the agent holds.
#[derive(Debug, Clone)]
struct HeldAttempt {
    spec: Box<AttemptSpec>,
    key: Option<u64>,
    ticket: AdmissionTicket,
    begun: bool,
    running: bool,
    entry: NodeId,
}

/// The state of an agent since its last start.
pub struct AgentNode {
    pub policy: AgentPolicy,
    pub is_leaving: bool,
    held: BTreeMap<AttemptId, HeldAttempt>,
}

impl AgentNode {
    pub fn new(boot: BootId) -> Self {
        Self {
            policy: AgentPolicy::new(boot, AdmissionLimits::for_slots(SLOTS)),
            is_leaving: false,
            held: BTreeMap::new(),
        }
    }

    /// Returns the number of attempts that run at the endpoint.
    pub fn running(&self) -> usize {
        self.held.values().filter(|held| held.running).count()
    }
}

impl RequestSimulation {
    pub fn set_up_agent(&mut self, agent: NodeId) {
        let boot = BootId(self.nodes[agent].boot.into());
        self.agents[agent - FIRST_AGENT] = AgentNode::new(boot);
        let classes = fleet::config().classes;
        self.step_agent(agent, AgentEvent::ClassesChanged { classes });
        let ready = if fleet::is_engine(agent) {
            vec![fleet::weights()]
        } else {
            Vec::new()
        };
        let loading = Vec::new();
        self.step_agent(agent, AgentEvent::WeightsChanged { ready, loading });
        let up = self.nodes[agent + AGENTS].up;
        self.step_agent(agent, AgentEvent::EndpointUp { up });
        self.send_status(agent);
    }

    pub fn send_status(&mut self, agent: NodeId) {
        let state = self.nodes[agent];
        if !state.up || state.paused_until > self.now || self.is_status_suppressed(agent) {
            return;
        }
        let now = self.now;
        let report = self.agents[agent - FIRST_AGENT].policy.queue_report(now);
        let engine = fleet::is_engine(agent);
        let status = EndpointStatus {
            endpoint: fleet::endpoint(agent),
            pool: fleet::pool(agent),
            zone: fleet::zone(agent),
            ready: engine.then(fleet::weights).into_iter().collect(),
            ready_sequence: 1,
            generation: Generation(1),
            queue: report,
        };
        for entry in 0..ENTRIES {
            if self.nodes[entry].up {
                let message = Message::Status(Box::new(status.clone()));
                self.send(None, agent, entry, message);
            }
        }
    }

    pub fn handle_agent_message(&mut self, agent: NodeId, from: NodeId, message: Message) {
        match message {
            Message::Attempt { spec, ticket, key } => self.admit(agent, from, spec, ticket, key),
            Message::Cancel {
                request,
                attempt,
                ticket,
                seal_only,
            } => self.handle_cancel(agent, from, request, attempt, ticket, seal_only),
            Message::CallUpdate { attempt, update } => {
                self.handle_call_update(agent, attempt, update);
            }
            Message::EntryGone(attempt) => self.handle_entry_gone(agent, attempt),
            Message::Leave => self.handle_leave(agent),
            _ => {}
        }
    }

    fn admit(
        &mut self,
        agent: NodeId,
        entry: NodeId,
        spec: Box<AttemptSpec>,
        ticket: AdmissionTicket,
        key: Option<u64>,
    ) {
        let attempt = spec.attempt;
        let node = &mut self.agents[agent - FIRST_AGENT];
        let known = node.held.contains_key(&attempt);
        if !known {
            let held = HeldAttempt {
                spec: spec.clone(),
                key,
                ticket,
                begun: false,
                running: false,
                entry,
            };
            node.held.insert(attempt, held);
        }
        let spec = *spec;
        self.step_agent(agent, AgentEvent::Arrive { spec, ticket });
        self.inject_at(StepName::Admit, entry, agent);
        let held = self.agents[agent - FIRST_AGENT].held.get(&attempt);
        if self.nodes[agent].up && held.is_some_and(|held| !held.running) {
            self.inject_at(StepName::Queue, entry, agent);
        }
    }

    fn handle_cancel(
        &mut self,
        agent: NodeId,
        entry: NodeId,
        request: RequestId,
        attempt: AttemptId,
        ticket: AdmissionTicket,
        seal_only: bool,
    ) {
        let held = self.agents[agent - FIRST_AGENT].held.get(&attempt);
        let running = held.is_some_and(|held| held.running);
        let verdict = if held.is_none() && self.run_spec.bypasses(Bypass::Tombstone) {
            RunVerdict::NotRun
        } else if running && seal_only {
            RunVerdict::MayHaveRun
        } else {
            self.cancel(agent, attempt, ticket)
        };
        let message = Message::CancelAnswer {
            request,
            attempt,
            verdict,
        };
        self.send(Some(StepName::Cancel), agent, entry, message);
    }

    fn cancel(&mut self, agent: NodeId, attempt: AttemptId, ticket: AdmissionTicket) -> RunVerdict {
        let now = self.now;
        let event = AgentEvent::Cancel { attempt, ticket };
        let actions = self.agents[agent - FIRST_AGENT].policy.step(event, now);
        let verdict = actions.iter().find_map(|action| match action {
            AgentAction::Cancelled { verdict, .. } => Some(*verdict),
            _ => None,
        });
        let verdict = verdict.unwrap_or(RunVerdict::MayHaveRun);
        if verdict == RunVerdict::NotRun {
            self.agents[agent - FIRST_AGENT].held.remove(&attempt);
        }
        self.execute_agent_actions(agent, actions);
        verdict
    }

    /// Cancels the attempt of an entry that is gone if it is queued or runs at an engine; a call to a service continues.
    fn handle_entry_gone(&mut self, agent: NodeId, attempt: AttemptId) {
        if let Some(held) = self.agents[agent - FIRST_AGENT].held.get(&attempt) {
            let ticket = held.ticket;
            self.cancel(agent, attempt, ticket);
        }
    }

    fn handle_call_update(&mut self, agent: NodeId, attempt: AttemptId, update: CallUpdate) {
        let held = self.agents[agent - FIRST_AGENT].held.get_mut(&attempt);
        let request = held.as_ref().map(|held| held.spec.request);
        let first = held.is_some_and(|held| !std::mem::replace(&mut held.begun, true));
        let event = match update {
            CallUpdate::Up(up) => AgentEvent::EndpointUp { up },
            CallUpdate::Piece(_) if first => AgentEvent::EndpointFirstToken { attempt },
            CallUpdate::Piece(_) => AgentEvent::EndpointChunk { attempt, tokens: 1 },
            CallUpdate::End => AgentEvent::EndpointEnded { attempt },
            CallUpdate::Failed(verdict) => AgentEvent::EndpointFailed { attempt, verdict },
        };
        self.step_agent(agent, event);
        let Some(content) = request else {
            return;
        };
        let report = self.agents[agent - FIRST_AGENT]
            .policy
            .queue_report(self.now);
        match update {
            CallUpdate::Piece(position) => {
                if first {
                    self.send_frame(agent, attempt, AnswerFrame::Head(report));
                }
                self.send_frame(agent, attempt, AnswerFrame::Piece { position, content });
            }
            CallUpdate::End => self.send_frame(agent, attempt, AnswerFrame::End(report)),
            CallUpdate::Failed(verdict) => {
                self.send_frame(agent, attempt, AnswerFrame::Failed(verdict));
            }
            CallUpdate::Up(_) => {}
        }
    }

    /// Sends a part of an answer to the entry of the attempt.
    fn send_frame(&mut self, agent: NodeId, attempt: AttemptId, frame: AnswerFrame) {
        let node = &mut self.agents[agent - FIRST_AGENT];
        let Some(held) = node.held.get(&attempt) else {
            return;
        };
        let (request, entry) = (held.spec.request, held.entry);
        let step = match frame {
            AnswerFrame::Refused(..) => StepName::Admit,
            _ => StepName::Relay,
        };
        if frame.is_last() {
            node.held.remove(&attempt);
        }
        if !self.nodes[entry].up {
            return;
        }
        let message = Message::Frame {
            request,
            attempt,
            frame,
        };
        self.send(Some(step), agent, entry, message);
    }

    pub fn step_agent(&mut self, agent: NodeId, event: AgentEvent) {
        let now = self.now;
        let actions = self.agents[agent - FIRST_AGENT].policy.step(event, now);
        self.execute_agent_actions(agent, actions);
    }

    pub fn wake_agent(&mut self, agent: NodeId) {
        self.step_agent(agent, AgentEvent::Timer);
    }

    fn execute_agent_actions(&mut self, agent: NodeId, actions: AgentActions) {
        for action in actions {
            if !self.nodes[agent].up {
                return;
            }
            let report = self.agents[agent - FIRST_AGENT]
                .policy
                .queue_report(self.now);
            match action {
                AgentAction::Start { attempt, .. } => self.start_call(agent, attempt),
                AgentAction::Refuse { attempt, refusal } => {
                    if refusal.cause == RefusalCause::Leaving {
                        self.inject_at(StepName::StopRefuse, 0, agent);
                    }
                    self.send_frame(agent, attempt, AnswerFrame::Refused(refusal, report));
                }
                AgentAction::AnswerCopy { attempt, .. } => {
                    self.answer_copy(agent, attempt, AnswerFrame::Refused(copy_refusal(), report));
                }
                AgentAction::CancelAtEndpoint { attempt } => self.stop_call(agent, attempt),
                // A drained process exits once its last answer was sent: see `check_stop`.
                AgentAction::Cancelled { .. } | AgentAction::Drained => {}
            }
        }
        let next = self.agents[agent - FIRST_AGENT].policy.next_timer();
        self.wake_at(agent, next);
    }

    /// Answers a duplicate attempt over its connection. The first copy, if it is still held, keeps its own path to the
    /// entry.
    fn answer_copy(&mut self, agent: NodeId, attempt: AttemptId, frame: AnswerFrame) {
        let Some(connection) = self.connections.get(&attempt).copied() else {
            return;
        };
        let message = Message::Frame {
            request: connection.request,
            attempt,
            frame,
        };
        if self.nodes[connection.entry].up {
            self.post_directly(
                agent,
                connection.entry,
                message,
                std::time::Duration::from_millis(1),
            );
        }
    }

    fn start_call(&mut self, agent: NodeId, attempt: AttemptId) {
        let Some(held) = self.agents[agent - FIRST_AGENT].held.get_mut(&attempt) else {
            return;
        };
        held.running = true;
        let message = Message::Call {
            spec: held.spec.clone(),
            key: held.key,
        };
        self.send(Some(StepName::Run), agent, agent + AGENTS, message);
    }

    fn stop_call(&mut self, agent: NodeId, attempt: AttemptId) {
        let held = self.agents[agent - FIRST_AGENT].held.get(&attempt);
        let engine = held.is_some_and(|held| matches!(held.spec.goal, RequestGoal::Model { .. }));
        if engine && self.nodes[agent + AGENTS].up {
            self.send(None, agent, agent + AGENTS, Message::StopCall(attempt));
        }
    }
}
