//! An agent: carries out what its decisions say.

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
use super::message::{AGENTS, AnswerFrame, CallWord, ENTRIES, FIRST_AGENT, Message, NodeId};
use super::world::RequestWorld;
use crate::run::Bypass;
use crate::step::StepName;

/// Attempts that an endpoint runs at once: one, so that others wait.
const SLOTS: u32 = 1;

/// One attempt at the agent.
#[derive(Debug, Clone)]
struct HeldAttempt {
    spec: Box<AttemptSpec>,
    key: Option<u64>,
    ticket: AdmissionTicket,
    begun: bool,
    running: bool,
    entry: NodeId,
}

/// One start of an agent.
pub struct AgentNode {
    pub policy: AgentPolicy,
    pub told: bool,
    held: BTreeMap<AttemptId, HeldAttempt>,
}

impl AgentNode {
    pub fn new(boot: BootId) -> Self {
        Self {
            policy: AgentPolicy::new(boot, AdmissionLimits::for_slots(SLOTS)),
            told: false,
            held: BTreeMap::new(),
        }
    }

    /// Attempts at the endpoint.
    pub fn running(&self) -> usize {
        self.held.values().filter(|held| held.running).count()
    }
}

impl RequestWorld {
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
        self.tell_status(agent);
    }

    pub fn tell_status(&mut self, agent: NodeId) {
        let state = self.nodes[agent];
        if !state.up || state.paused_until > self.now || self.is_hushed(agent) {
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

    pub fn agent_takes(&mut self, agent: NodeId, from: NodeId, message: Message) {
        match message {
            Message::Attempt { spec, ticket, key } => self.admit(agent, from, spec, ticket, key),
            Message::Cancel {
                request,
                attempt,
                ticket,
                seal_only,
            } => self.take_cancel(agent, from, request, attempt, ticket, seal_only),
            Message::Word { attempt, word } => self.take_word(agent, attempt, word),
            Message::EntryGone(attempt) => self.take_entry_gone(agent, attempt),
            Message::Leave => self.take_leave(agent),
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
        self.pass(StepName::Admit, entry, agent);
        let held = self.agents[agent - FIRST_AGENT].held.get(&attempt);
        if self.nodes[agent].up && held.is_some_and(|held| !held.running) {
            self.pass(StepName::Queue, entry, agent);
        }
    }

    fn take_cancel(
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
        let verdict = if held.is_none() && self.order.omits(Bypass::Tombstone) {
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
        self.carry_out(agent, actions);
        verdict
    }

    /// What waits is given up, and an engine's work too; a call to a service goes on.
    fn take_entry_gone(&mut self, agent: NodeId, attempt: AttemptId) {
        if let Some(held) = self.agents[agent - FIRST_AGENT].held.get(&attempt) {
            let ticket = held.ticket;
            self.cancel(agent, attempt, ticket);
        }
    }

    fn take_word(&mut self, agent: NodeId, attempt: AttemptId, word: CallWord) {
        let held = self.agents[agent - FIRST_AGENT].held.get_mut(&attempt);
        let request = held.as_ref().map(|held| held.spec.request);
        let first = held.is_some_and(|held| !std::mem::replace(&mut held.begun, true));
        let event = match word {
            CallWord::Up(up) => AgentEvent::EndpointUp { up },
            CallWord::Piece(_) if first => AgentEvent::EndpointFirstToken { attempt },
            CallWord::Piece(_) => AgentEvent::EndpointChunk { attempt, tokens: 1 },
            CallWord::End => AgentEvent::EndpointEnded { attempt },
            CallWord::Failed(verdict) => AgentEvent::EndpointFailed { attempt, verdict },
        };
        self.step_agent(agent, event);
        let Some(content) = request else {
            return;
        };
        let report = self.agents[agent - FIRST_AGENT]
            .policy
            .queue_report(self.now);
        match word {
            CallWord::Piece(place) => {
                if first {
                    self.frame(agent, attempt, AnswerFrame::Head(report));
                }
                self.frame(agent, attempt, AnswerFrame::Piece { place, content });
            }
            CallWord::End => self.frame(agent, attempt, AnswerFrame::End(report)),
            CallWord::Failed(verdict) => self.frame(agent, attempt, AnswerFrame::Failed(verdict)),
            CallWord::Up(_) => {}
        }
    }

    /// Sends a part of an answer to the attempt's entry.
    fn frame(&mut self, agent: NodeId, attempt: AttemptId, frame: AnswerFrame) {
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
        self.carry_out(agent, actions);
    }

    pub fn wake_agent(&mut self, agent: NodeId) {
        self.step_agent(agent, AgentEvent::Timer);
    }

    fn carry_out(&mut self, agent: NodeId, actions: AgentActions) {
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
                        self.pass(StepName::StopRefuse, 0, agent);
                    }
                    self.frame(agent, attempt, AnswerFrame::Refused(refusal, report));
                }
                AgentAction::AnswerCopy { attempt, .. } => {
                    self.answer_copy(agent, attempt, AnswerFrame::Refused(copy_refusal(), report));
                }
                AgentAction::CancelAtEndpoint { attempt } => self.stop_call(agent, attempt),
                // A drained process exits once its last answer is on its way: see `watch_stop`.
                AgentAction::Cancelled { .. } | AgentAction::Drained => {}
            }
        }
        let next = self.agents[agent - FIRST_AGENT].policy.next_timer();
        self.wake_at(agent, next);
    }

    /// The first copy, if it is still here, keeps its own way to the entry.
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
            self.put_directly(
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
