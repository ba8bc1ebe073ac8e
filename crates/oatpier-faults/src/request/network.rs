//! Delivers messages, and applies faults to them.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::verdict::RunVerdict;
use rand::RngExt;

use super::message::{
    AGENTS, AnswerFrame, CALLERS, CallUpdate, ENTRIES, FIRST_AGENT, FIRST_ENDPOINT, Message,
    NodeId, SimEvent,
};
use super::simulation::RequestSimulation;
use crate::step::StepName;

/// How a message is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum MessageDelivery {
    #[default]
    Normal,
    Dropped,
    Delayed,
    Duplicated,
    Misrouted,
}

impl RequestSimulation {
    /// Sends a message; faults at `step` are injected here.
    pub fn send(&mut self, step: Option<StepName>, from: NodeId, to: NodeId, message: Message) {
        let delivery = match step {
            Some(step) => self.inject_at(step, from, to),
            None => MessageDelivery::Normal,
        };
        if !self.nodes[from].up {
            return;
        }
        if !self.nodes[to].up {
            self.refuse_connection(from, to, message);
            return;
        }
        match delivery {
            MessageDelivery::Normal => self.post(from, to, message, Duration::ZERO),
            MessageDelivery::Dropped => self.drop_message(from, to, &message),
            MessageDelivery::Delayed => {
                let delay = self.random_millis(50, 2_500);
                self.post(from, to, message, delay);
            }
            MessageDelivery::Duplicated => {
                let delay = self.random_millis(1, 1_500);
                self.post(from, to, message.clone(), Duration::ZERO);
                self.post(from, to, message, delay);
            }
            MessageDelivery::Misrouted => {
                let to = self.misroute(from, to, &message);
                self.post(from, to, message, Duration::ZERO);
            }
        }
    }

    fn post(&mut self, from: NodeId, to: NodeId, message: Message, delay: Duration) {
        let micros = self.random.random_range(500..2_500);
        let mut at = self.now + Duration::from_micros(micros) + delay;
        let slow = [from, to]
            .iter()
            .any(|node| self.nodes[*node].slow_until > self.now);
        if slow {
            at = at + self.random_millis(50, 400);
        }
        if let Some(until) = self.blocked_until(from, to) {
            // The transport retransmits the message after the cut, or drops it with the connection.
            if self.random.random_bool(0.5) {
                self.drop_message(from, to, &message);
                return;
            }
            at = at.max(until) + self.random_millis(1, 200);
        }
        let Some(at) = self.ordered_arrival(&message, at) else {
            return;
        };
        let boot = self.nodes[to].boot;
        let event = SimEvent::Deliver {
            from,
            to,
            boot,
            message,
        };
        self.queue.put(at, event);
    }

    fn blocked_until(&self, from: NodeId, to: NodeId) -> Option<ClockTime> {
        let until = self.blocked.get(&(from, to))?;
        (*until > self.now).then_some(*until)
    }

    /// Returns the arrival time that keeps the frames of an attempt in order, or `None` if its connection is broken.
    fn ordered_arrival(&mut self, message: &Message, at: ClockTime) -> Option<ClockTime> {
        let attempt = match message {
            Message::Frame { attempt, .. } => attempt,
            Message::CallUpdate { attempt, update } if !matches!(update, CallUpdate::Up(_)) => {
                let earliest_arrival = self.update_arrivals.entry(*attempt).or_insert(at);
                *earliest_arrival = at.max(*earliest_arrival);
                return Some(*earliest_arrival);
            }
            _ => return Some(at),
        };
        let Some(connection) = self.connections.get_mut(attempt) else {
            return Some(at);
        };
        if connection.is_broken {
            return None;
        }
        connection.earliest_arrival = connection.earliest_arrival.max(at);
        Some(connection.earliest_arrival)
    }

    /// Drops a message, and breaks its connection.
    fn drop_message(&mut self, from: NodeId, to: NodeId, message: &Message) {
        let after = self.random_millis(200, 3_000);
        let (attempt, entry, agent) = match message {
            Message::Attempt { spec, .. } => (spec.attempt, from, to),
            Message::Frame { attempt, .. } => (*attempt, to, from),
            Message::Call { spec, .. } => {
                let attempt = spec.attempt;
                return self.call_failed(from, attempt, RunVerdict::MayHaveRun, after);
            }
            Message::CallUpdate { attempt, update } => {
                if !matches!(update, CallUpdate::Up(_)) {
                    self.call_failed(to, *attempt, RunVerdict::MayHaveRun, after);
                    self.services[from - FIRST_ENDPOINT].forget(*attempt);
                }
                return;
            }
            Message::Cancel {
                request, attempt, ..
            } => {
                let answer = Message::CancelAnswer {
                    request: *request,
                    attempt: *attempt,
                    verdict: RunVerdict::MayHaveRun,
                };
                return self.post_directly(to, from, answer, after);
            }
            Message::CancelAnswer {
                request, attempt, ..
            } => {
                let answer = Message::CancelAnswer {
                    request: *request,
                    attempt: *attempt,
                    verdict: RunVerdict::MayHaveRun,
                };
                return self.post_directly(from, to, answer, after);
            }
            Message::Submit(request) => {
                let request = *request;
                return self.submit_lost(request, after);
            }
            _ => return,
        };
        self.break_connection(attempt, entry, agent, after);
    }

    fn break_connection(
        &mut self,
        attempt: oatpier_types::ids::AttemptId,
        entry: NodeId,
        agent: NodeId,
        after: Duration,
    ) {
        let Some(connection) = self.connections.get_mut(&attempt) else {
            return;
        };
        if connection.is_broken {
            return;
        }
        connection.is_broken = true;
        let request = connection.request;
        let frame = AnswerFrame::Cut;
        let cut = Message::Frame {
            request,
            attempt,
            frame,
        };
        self.post_directly(agent, entry, cut, after);
        self.post_directly(entry, agent, Message::EntryGone(attempt), after);
    }

    fn call_failed(
        &mut self,
        agent: NodeId,
        attempt: oatpier_types::ids::AttemptId,
        verdict: RunVerdict,
        after: Duration,
    ) {
        let update = CallUpdate::Failed(verdict);
        let from = agent + AGENTS;
        self.post_directly(from, agent, Message::CallUpdate { attempt, update }, after);
    }

    /// Sends a message without fault injection, as a notification of the local transport.
    pub fn post_directly(&mut self, from: NodeId, to: NodeId, message: Message, after: Duration) {
        let boot = self.nodes[to].boot;
        let event = SimEvent::Deliver {
            from,
            to,
            boot,
            message,
        };
        self.queue.put(self.now + after, event);
    }

    /// Refuses a connection to a process that is down; no byte was sent.
    fn refuse_connection(&mut self, from: NodeId, to: NodeId, message: Message) {
        let short_delay = Duration::from_millis(2);
        match message {
            Message::Attempt { spec, .. } => {
                let (request, attempt) = (spec.request, spec.attempt);
                let frame = AnswerFrame::NotConnected;
                let refusal = Message::Frame {
                    request,
                    attempt,
                    frame,
                };
                self.post_directly(to, from, refusal, short_delay);
            }
            Message::Call { spec, .. } => {
                self.call_failed(from, spec.attempt, RunVerdict::NotRun, short_delay);
            }
            other => self.undeliverable(from, to, &other),
        }
    }

    /// Handles a message whose receiver is gone.
    pub fn undeliverable(&mut self, from: NodeId, to: NodeId, message: &Message) {
        let is_notification = matches!(
            message,
            Message::Frame { .. } | Message::CancelAnswer { .. } | Message::CallUpdate { .. }
        );
        if !is_notification {
            self.drop_message(from, to, message);
        }
    }

    /// Misroutes a copy to another process of the same kind or to another request, and returns the receiver of the
    /// message itself. An attempt arrives at another agent instead, whose VM has taken over the address.
    fn misroute(&mut self, from: NodeId, to: NodeId, message: &Message) -> NodeId {
        let short_delay = self.random_millis(0, 30);
        match message {
            Message::Frame {
                request,
                attempt,
                frame,
            } => {
                let others = self.submissions.iter();
                let mut others = others.filter(|(other, submission)| {
                    *other != request && submission.entry == to && !submission.is_answered
                });
                if let Some(other) = others.next().map(|(other, _)| *other) {
                    let stray = Message::Frame {
                        request: other,
                        attempt: *attempt,
                        frame: *frame,
                    };
                    self.post_directly(from, to, stray, short_delay);
                }
                to
            }
            Message::Attempt { spec, .. } => {
                let to = sibling(to);
                if let Some(connection) = self.connections.get_mut(&spec.attempt) {
                    connection.agent = to;
                }
                to
            }
            Message::Call { .. } => to,
            other => {
                self.post_directly(from, sibling(to), other.clone(), short_delay);
                to
            }
        }
    }
}

/// Returns another process of the same kind.
pub fn sibling(node: NodeId) -> NodeId {
    match node {
        0..ENTRIES => (node + 1) % ENTRIES,
        FIRST_AGENT..CALLERS => node ^ 1,
        _ => node,
    }
}
