//! Handling of attempts at agents and engines.

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

/// Number of tokens that an agent collects before it forwards them. The first token is forwarded immediately and the
/// last ones when the answer ends. One message per token would make a run take four times as long and would change no
/// decision, because targets cover only the time to the first token and the mean time between tokens.
const CHUNK_TOKENS: u32 = 4;

/// Source and destination of an answer.
#[derive(Debug, Clone, Copy)]
struct AnswerRoute {
    node: usize,
    entry: usize,
    request: RequestId,
    attempt: AttemptId,
}

impl FleetWorld<'_> {
    pub(super) fn handle_attempt(
        &mut self,
        node: usize,
        entry: usize,
        spec: AttemptSpec,
        ticket: Option<AdmissionTicket>,
    ) {
        let (request, attempt) = (spec.request, spec.attempt);
        if !self.nodes[node].alive {
            let event = EntryEvent::ConnectFailed { attempt };
            self.send_to_entry(node, entry, request, event);
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
            has_output: false,
            unsent: 0,
        };
        self.nodes[node].attempts.0.insert(attempt, held);
        self.handle_agent_event(node, AgentEvent::Arrive { spec, ticket });
    }

    pub(super) fn handle_cancel(
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
            self.send_to_entry(node, entry, request, event);
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
            self.send_to_entry(node, entry, request, event);
            return;
        }
        self.handle_agent_event_from(
            node,
            AgentEvent::Cancel { attempt, ticket },
            Some((entry, request)),
        );
    }

    pub(super) fn handle_agent_event(&mut self, node: usize, event: AgentEvent) {
        self.handle_agent_event_from(node, event, None);
    }

    fn handle_agent_event_from(
        &mut self,
        node: usize,
        event: AgentEvent,
        requester: Option<(usize, RequestId)>,
    ) {
        let actions = self.nodes[node].decider.step(event, self.now);
        self.apply_agent_actions(node, actions, requester);
        self.arm_agent(node);
    }

    /// Returns whether a node is alive and still the incarnation (`boot`) to which an event was addressed.
    pub(super) fn is_current(&self, node: usize, boot: BootId) -> bool {
        self.nodes[node].boot == boot && self.nodes[node].alive
    }

    pub(super) fn fire_agent_timer(&mut self, node: usize, boot: BootId) {
        if !self.is_current(node, boot) || self.nodes[node].armed.agent != self.now {
            return;
        }
        self.nodes[node].armed.agent = ClockTime::NEVER;
        self.handle_agent_event(node, AgentEvent::Timer);
    }

    fn arm_agent(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let due = state.decider.next_timer().max(self.now);
        if due != ClockTime::NEVER && due < state.armed.agent {
            state.armed.agent = due;
            let boot = state.boot;
            self.queue.push(due, FleetStep::AgentTimer { node, boot });
        }
    }

    fn apply_agent_actions(
        &mut self,
        node: usize,
        actions: AgentActions,
        requester: Option<(usize, RequestId)>,
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
                    if let Some((entry, request)) = requester {
                        let event = EntryEvent::CancelAnswered { attempt, verdict };
                        self.send_to_entry(node, entry, request, event);
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
        let weights = self.find_weights(node, &held.spec.goal);
        if let Some(kept) = self.nodes[node].attempts.0.get_mut(&attempt) {
            kept.weights = weights;
        }
        let request = engine_request(&held.spec, prefix, priority);
        let submitted = self.nodes[node].engine.submit(self.now, request);
        if submitted.is_err() {
            self.nodes[node].attempts.0.swap_remove(&attempt);
            let verdict = RunVerdict::NotRun;
            self.handle_agent_event(node, AgentEvent::EndpointFailed { attempt, verdict });
            let event = EntryEvent::Failed { attempt, verdict };
            self.send_to_entry(node, held.entry, held.spec.request, event);
            return;
        }
        self.arm_engine(node);
    }

    fn find_weights(&self, node: usize, goal: &RequestGoal) -> Option<WeightsKey> {
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
            // An earlier wake-up replaced this one. If it armed a successor as well, two wake-ups would stay queued,
            // and each further replacement would add another.
            return;
        }
        self.nodes[node].armed.engine = ClockTime::NEVER;
        let outputs = self.nodes[node].engine.advance(self.now);
        if outputs.is_empty() {
            // The set of weights may have changed. If there are outputs, the next `Moves` step detects the change.
            self.update_ready(node);
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
        let first = !held.has_output;
        held.has_output = true;
        let route = AnswerRoute {
            node,
            entry: held.entry,
            request: held.spec.request,
            attempt,
        };
        match output.kind {
            OutputKind::Token(_) if first => self.handle_first_token(route),
            OutputKind::Token(_) => {
                held.unsent += 1;
                if held.unsent == CHUNK_TOKENS {
                    self.flush(route);
                }
            }
            OutputKind::Done => {
                self.flush(route);
                self.nodes[node].attempts.0.swap_remove(&attempt);
                self.handle_agent_event(node, AgentEvent::EndpointEnded { attempt });
                let report = Some(self.nodes[node].decider.queue_report(self.now));
                self.send_event(route, EntryEvent::Ended { attempt, report });
            }
            OutputKind::Interrupted => {
                self.flush(route);
                self.nodes[node].attempts.0.swap_remove(&attempt);
                let verdict = RunVerdict::MayHaveRun;
                self.handle_agent_event(node, AgentEvent::EndpointFailed { attempt, verdict });
                self.send_event(route, EntryEvent::Failed { attempt, verdict });
            }
        }
    }

    fn handle_first_token(&mut self, route: AnswerRoute) {
        let AnswerRoute { node, attempt, .. } = route;
        self.handle_agent_event(node, AgentEvent::EndpointFirstToken { attempt });
        let report = Some(self.nodes[node].decider.queue_report(self.now));
        self.send_event(route, EntryEvent::FirstFrame { attempt, report });
        self.send_event(route, EntryEvent::Piece { attempt, tokens: 1 });
    }

    /// Forwards the collected tokens.
    ///
    /// The agent's timer is re-armed only if the agent returns actions: otherwise a chunk only refines estimates, and
    /// a timer that fires early is armed again.
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
        let actions = self.nodes[node].decider.step(event, self.now);
        if !actions.is_empty() {
            self.apply_agent_actions(node, actions, None);
            self.arm_agent(node);
        }
        self.send_event(route, EntryEvent::Piece { attempt, tokens });
    }

    fn send_event(&mut self, route: AnswerRoute, event: EntryEvent) {
        self.send_to_entry(route.node, route.entry, route.request, event);
    }

    fn refuse(
        &mut self,
        node: usize,
        entry: usize,
        request: RequestId,
        attempt: AttemptId,
        refusal: Refusal,
    ) {
        let report = Some(self.nodes[node].decider.queue_report(self.now));
        let event = EntryEvent::Refused {
            attempt,
            refusal,
            report,
        };
        self.send_to_entry(node, entry, request, event);
    }

    pub(super) fn send_to_entry(
        &mut self,
        node: usize,
        entry: usize,
        request: RequestId,
        event: EntryEvent,
    ) {
        let at = self.now + self.latency(entry, node);
        self.queue.push(
            at,
            FleetStep::RequestEvent {
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
