//! What happens at agents and engines: attempts.

use oatpier_admission::event::{AdmissionTicket, AgentAction, AgentActions, AgentEvent};
use oatpier_policy::action::CancelMode;
use oatpier_policy::event::EntryEvent;
use oatpier_standin::engine::{EngineOutput, OutputKind};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{AttemptId, BootId, RequestId};
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::request::{AttemptSpec, RequestGoal};
use oatpier_types::verdict::RunVerdict;

use super::node::{NodeAttempt, engine_request};
use super::step::FleetStep;
use super::world::FleetWorld;

/// Tokens that an agent gathers before it passes them on, but for the first token and the last
/// ones. A token a message would make the run four times as long and change no decision: targets
/// are about the first token and about the mean time between tokens.
const PIECE_TOKENS: u32 = 4;

/// Where an answer comes from and goes to.
#[derive(Debug, Clone, Copy)]
struct AnswerRoute {
    node: usize,
    entry: usize,
    request: RequestId,
    attempt: AttemptId,
}

impl FleetWorld<'_> {
    pub(super) fn attempt(
        &mut self,
        node: usize,
        entry: usize,
        spec: AttemptSpec,
        ticket: Option<AdmissionTicket>,
    ) {
        let (request, attempt) = (spec.request, spec.attempt);
        if !self.nodes[node].alive {
            let event = EntryEvent::ConnectFailed { attempt };
            self.tell_entry(node, entry, request, event);
            return;
        }
        let Some(ticket) = ticket else {
            self.refuse(node, entry, request, attempt, unknown_agent());
            return;
        };
        let held = NodeAttempt {
            entry,
            spec: spec.clone(),
            weights: None,
            begun: false,
            unsent: 0,
        };
        self.nodes[node].attempts.0.insert(attempt, held);
        self.agent_event(node, AgentEvent::Arrive { spec, ticket });
    }

    pub(super) fn cancel(
        &mut self,
        node: usize,
        entry: usize,
        (request, attempt): (RequestId, AttemptId),
        ticket: Option<AdmissionTicket>,
        mode: CancelMode,
    ) {
        if !self.nodes[node].alive {
            let verdict = RunVerdict::MayHaveRun;
            let event = EntryEvent::CancelAnswered { attempt, verdict };
            self.tell_entry(node, entry, request, event);
            return;
        }
        let Some(ticket) = ticket else {
            return;
        };
        let running = self.nodes[node]
            .attempts
            .0
            .get(&attempt)
            .is_some_and(|held| held.weights.is_some());
        if mode == CancelMode::SealOnly && running {
            let verdict = RunVerdict::MayHaveRun;
            let event = EntryEvent::CancelAnswered { attempt, verdict };
            self.tell_entry(node, entry, request, event);
            return;
        }
        self.agent_event_from(
            node,
            AgentEvent::Cancel { attempt, ticket },
            Some((entry, request)),
        );
    }

    pub(super) fn agent_event(&mut self, node: usize, event: AgentEvent) {
        self.agent_event_from(node, event, None);
    }

    fn agent_event_from(
        &mut self,
        node: usize,
        event: AgentEvent,
        asker: Option<(usize, RequestId)>,
    ) {
        let actions = self.nodes[node].brain.step(event, self.now);
        self.agent_actions(node, actions, asker);
        self.arm_agent(node);
    }

    /// Whether a node lives, and is the one that an event was meant for.
    pub(super) fn is_current(&self, node: usize, boot: BootId) -> bool {
        self.nodes[node].boot == boot && self.nodes[node].alive
    }

    pub(super) fn agent_timer(&mut self, node: usize, boot: BootId) {
        if !self.is_current(node, boot) || self.nodes[node].armed.agent != self.now {
            return;
        }
        self.nodes[node].armed.agent = ClockTime::NEVER;
        self.agent_event(node, AgentEvent::Timer);
    }

    fn arm_agent(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let due = state.brain.next_timer().max(self.now);
        if due != ClockTime::NEVER && due < state.armed.agent {
            state.armed.agent = due;
            let boot = state.boot;
            self.queue.push(due, FleetStep::AgentTimer { node, boot });
        }
    }

    fn agent_actions(
        &mut self,
        node: usize,
        actions: AgentActions,
        asker: Option<(usize, RequestId)>,
    ) {
        for action in actions {
            match action {
                AgentAction::Start { attempt, priority } => self.submit(node, attempt, priority),
                AgentAction::Refuse { attempt, refusal } => {
                    if let Some(held) = self.nodes[node].attempts.0.swap_remove(&attempt) {
                        self.refuse(node, held.entry, held.spec.request, attempt, refusal);
                    }
                }
                AgentAction::Cancelled { attempt, verdict } => {
                    if verdict == RunVerdict::NotRun {
                        self.nodes[node].attempts.0.swap_remove(&attempt);
                    }
                    if let Some((entry, request)) = asker {
                        let event = EntryEvent::CancelAnswered { attempt, verdict };
                        self.tell_entry(node, entry, request, event);
                    }
                }
                AgentAction::CancelAtEndpoint { attempt } => {
                    self.nodes[node].engine.cancel(self.now, attempt);
                    self.arm_engine(node);
                }
                AgentAction::Drained | AgentAction::AnswerCopy { .. } => {}
            }
        }
    }

    fn submit(&mut self, node: usize, attempt: AttemptId, priority: u32) {
        let Some(held) = self.nodes[node].attempts.0.get(&attempt).cloned() else {
            return;
        };
        let prefix = self
            .prefixes
            .get(&held.spec.request)
            .cloned()
            .unwrap_or_default();
        let weights = self.serving(node, &held.spec.goal);
        if let Some(kept) = self.nodes[node].attempts.0.get_mut(&attempt) {
            kept.weights = weights;
        }
        let request = engine_request(&held.spec, prefix, priority);
        let submitted = self.nodes[node].engine.submit(self.now, request);
        if submitted.is_err() {
            self.nodes[node].attempts.0.swap_remove(&attempt);
            let verdict = RunVerdict::NotRun;
            self.agent_event(node, AgentEvent::EndpointFailed { attempt, verdict });
            let event = EntryEvent::Failed { attempt, verdict };
            self.tell_entry(node, held.entry, held.spec.request, event);
            return;
        }
        self.arm_engine(node);
    }

    fn serving(&self, node: usize, goal: &RequestGoal) -> Option<WeightsKey> {
        let RequestGoal::Model { model, adapter } = goal else {
            return None;
        };
        let state = self.nodes[node].engine.state();
        state
            .held
            .into_iter()
            .map(|held| held.weights)
            .find(|weights| weights.model == *model && weights.adapter == *adapter)
    }

    pub(super) fn arm_engine(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let due = state.engine.next_time().max(self.now);
        if due != ClockTime::NEVER && due < state.armed.engine {
            state.armed.engine = due;
            let boot = state.boot;
            self.queue.push(due, FleetStep::Engine { node, boot });
        }
    }

    pub(super) fn engine_step(&mut self, node: usize, boot: BootId) {
        if !self.is_current(node, boot) || self.nodes[node].armed.engine != self.now {
            // A wake-up that an earlier one took the place of. Were it to arm the next one too,
            // there would be two from here on, and more with each such step.
            return;
        }
        self.nodes[node].armed.engine = ClockTime::NEVER;
        let outputs = self.nodes[node].engine.advance(self.now);
        if outputs.is_empty() {
            // Weights came or went; with outputs in the way, the next moves tick sees it.
            self.note_ready(node);
        }
        for output in outputs {
            self.engine_output(node, &output);
        }
        self.arm_engine(node);
    }

    fn engine_output(&mut self, node: usize, output: &EngineOutput) {
        let attempt = output.attempt;
        let Some(held) = self.nodes[node].attempts.0.get_mut(&attempt) else {
            return;
        };
        let first = !held.begun;
        held.begun = true;
        let route = AnswerRoute {
            node,
            entry: held.entry,
            request: held.spec.request,
            attempt,
        };
        match output.kind {
            OutputKind::Token(_) if first => self.first_token(route),
            OutputKind::Token(_) => {
                held.unsent += 1;
                if held.unsent == PIECE_TOKENS {
                    self.flush(route);
                }
            }
            OutputKind::Done => {
                self.flush(route);
                self.nodes[node].attempts.0.swap_remove(&attempt);
                self.agent_event(node, AgentEvent::EndpointEnded { attempt });
                let report = Some(self.nodes[node].brain.queue_report(self.now));
                self.tell(route, EntryEvent::Ended { attempt, report });
            }
            OutputKind::Interrupted => {
                self.flush(route);
                self.nodes[node].attempts.0.swap_remove(&attempt);
                let verdict = RunVerdict::MayHaveRun;
                self.agent_event(node, AgentEvent::EndpointFailed { attempt, verdict });
                self.tell(route, EntryEvent::Failed { attempt, verdict });
            }
        }
    }

    fn first_token(&mut self, route: AnswerRoute) {
        let AnswerRoute { node, attempt, .. } = route;
        self.agent_event(node, AgentEvent::EndpointFirstToken { attempt });
        let report = Some(self.nodes[node].brain.queue_report(self.now));
        self.tell(route, EntryEvent::FirstFrame { attempt, report });
        self.tell(route, EntryEvent::Piece { attempt, tokens: 1 });
    }

    /// Passes on the tokens that were gathered. The agent's timer is left as it is: a piece only
    /// refines estimates, and a timer that fires early is armed anew.
    fn flush(&mut self, route: AnswerRoute) {
        let AnswerRoute { node, attempt, .. } = route;
        let Some(held) = self.nodes[node].attempts.0.get_mut(&attempt) else {
            return;
        };
        let tokens = std::mem::take(&mut held.unsent);
        if tokens == 0 {
            return;
        }
        let event = AgentEvent::EndpointChunk { attempt, tokens };
        let actions = self.nodes[node].brain.step(event, self.now);
        if !actions.is_empty() {
            self.agent_actions(node, actions, None);
            self.arm_agent(node);
        }
        self.tell(route, EntryEvent::Piece { attempt, tokens });
    }

    fn tell(&mut self, route: AnswerRoute, event: EntryEvent) {
        self.tell_entry(route.node, route.entry, route.request, event);
    }

    fn refuse(
        &mut self,
        node: usize,
        entry: usize,
        request: RequestId,
        attempt: AttemptId,
        refusal: Refusal,
    ) {
        let report = Some(self.nodes[node].brain.queue_report(self.now));
        let event = EntryEvent::Refused {
            attempt,
            refusal,
            report,
        };
        self.tell_entry(node, entry, request, event);
    }

    pub(super) fn tell_entry(
        &mut self,
        node: usize,
        entry: usize,
        request: RequestId,
        event: EntryEvent,
    ) {
        let at = self.now + self.latency(entry, node);
        self.queue.push(
            at,
            FleetStep::AtEntry {
                entry,
                request,
                event,
            },
        );
    }
}

fn unknown_agent() -> Refusal {
    Refusal {
        cause: RefusalCause::EndpointDown,
        retry_after: None,
    }
}
