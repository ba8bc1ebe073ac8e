//! Delivers messages, and applies faults to them.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::verdict::RunVerdict;
use rand::RngExt;

use super::message::{
    AGENTS, AnswerFrame, CALLERS, CallWord, ENTRIES, FIRST_AGENT, FIRST_ENDPOINT, Happening,
    Message, NodeId,
};
use super::world::RequestWorld;
use crate::step::StepName;

/// How a message is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Treatment {
    #[default]
    Deliver,
    Lose,
    Delay,
    Double,
    Cross,
}

impl RequestWorld {
    /// Sends a message; faults at `step` are injected here.
    pub fn send(&mut self, step: Option<StepName>, from: NodeId, to: NodeId, message: Message) {
        let treatment = match step {
            Some(step) => self.pass(step, from, to),
            None => Treatment::Deliver,
        };
        if !self.nodes[from].up {
            return;
        }
        if !self.nodes[to].up {
            self.refuse_connection(from, to, message);
            return;
        }
        match treatment {
            Treatment::Deliver => self.post(from, to, message, Duration::ZERO),
            Treatment::Lose => self.lose(from, to, &message),
            Treatment::Delay => {
                let late = self.draw_millis(50, 2_500);
                self.post(from, to, message, late);
            }
            Treatment::Double => {
                let late = self.draw_millis(1, 1_500);
                self.post(from, to, message.clone(), Duration::ZERO);
                self.post(from, to, message, late);
            }
            Treatment::Cross => {
                let to = self.cross(from, to, &message);
                self.post(from, to, message, Duration::ZERO);
            }
        }
    }

    fn post(&mut self, from: NodeId, to: NodeId, message: Message, late: Duration) {
        let micros = self.random.random_range(500..2_500);
        let mut at = self.now + Duration::from_micros(micros) + late;
        let slow = [from, to]
            .iter()
            .any(|node| self.nodes[*node].slow_until > self.now);
        if slow {
            at = at + self.draw_millis(50, 400);
        }
        if let Some(until) = self.blocked_until(from, to) {
            // The transport retransmits the message after the cut, or drops it with the connection.
            if self.random.random_bool(0.5) {
                self.lose(from, to, &message);
                return;
            }
            at = at.max(until) + self.draw_millis(1, 200);
        }
        let Some(at) = self.in_stream(&message, at) else {
            return;
        };
        let boot = self.nodes[to].boot;
        let happening = Happening::Deliver {
            from,
            to,
            boot,
            message,
        };
        self.queue.put(at, happening);
    }

    fn blocked_until(&self, from: NodeId, to: NodeId) -> Option<ClockTime> {
        let until = self.blocked.get(&(from, to))?;
        (*until > self.now).then_some(*until)
    }

    /// Returns the arrival time that keeps the frames of an attempt in order, or `None` if its connection is broken.
    fn in_stream(&mut self, message: &Message, at: ClockTime) -> Option<ClockTime> {
        let attempt = match message {
            Message::Frame { attempt, .. } => attempt,
            Message::Word { attempt, word } if !matches!(word, CallWord::Up(_)) => {
                let floor = self.word_floors.entry(*attempt).or_insert(at);
                *floor = at.max(*floor);
                return Some(*floor);
            }
            _ => return Some(at),
        };
        let Some(connection) = self.connections.get_mut(attempt) else {
            return Some(at);
        };
        if connection.broken {
            return None;
        }
        connection.floor = connection.floor.max(at);
        Some(connection.floor)
    }

    /// Drops a message, and breaks its connection.
    fn lose(&mut self, from: NodeId, to: NodeId, message: &Message) {
        let after = self.draw_millis(200, 3_000);
        let (attempt, entry, agent) = match message {
            Message::Attempt { spec, .. } => (spec.attempt, from, to),
            Message::Frame { attempt, .. } => (*attempt, to, from),
            Message::Call { spec, .. } => {
                let attempt = spec.attempt;
                return self.call_failed(from, attempt, RunVerdict::MayHaveRun, after);
            }
            Message::Word { attempt, word } => {
                if !matches!(word, CallWord::Up(_)) {
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
                return self.put_directly(to, from, answer, after);
            }
            Message::CancelAnswer {
                request, attempt, ..
            } => {
                let answer = Message::CancelAnswer {
                    request: *request,
                    attempt: *attempt,
                    verdict: RunVerdict::MayHaveRun,
                };
                return self.put_directly(from, to, answer, after);
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
        if connection.broken {
            return;
        }
        connection.broken = true;
        let request = connection.request;
        let frame = AnswerFrame::Cut;
        let cut = Message::Frame {
            request,
            attempt,
            frame,
        };
        self.put_directly(agent, entry, cut, after);
        self.put_directly(entry, agent, Message::EntryGone(attempt), after);
    }

    fn call_failed(
        &mut self,
        agent: NodeId,
        attempt: oatpier_types::ids::AttemptId,
        verdict: RunVerdict,
        after: Duration,
    ) {
        let word = CallWord::Failed(verdict);
        let from = agent + AGENTS;
        self.put_directly(from, agent, Message::Word { attempt, word }, after);
    }

    /// Sends a message without fault injection, as a notification of the local transport.
    pub fn put_directly(&mut self, from: NodeId, to: NodeId, message: Message, after: Duration) {
        let boot = self.nodes[to].boot;
        let happening = Happening::Deliver {
            from,
            to,
            boot,
            message,
        };
        self.queue.put(self.now + after, happening);
    }

    /// Refuses a connection to a process that is down; no byte was sent.
    fn refuse_connection(&mut self, from: NodeId, to: NodeId, message: Message) {
        let soon = Duration::from_millis(2);
        match message {
            Message::Attempt { spec, .. } => {
                let (request, attempt) = (spec.request, spec.attempt);
                let frame = AnswerFrame::NotConnected;
                let word = Message::Frame {
                    request,
                    attempt,
                    frame,
                };
                self.put_directly(to, from, word, soon);
            }
            Message::Call { spec, .. } => {
                self.call_failed(from, spec.attempt, RunVerdict::NotRun, soon);
            }
            other => self.undeliverable(from, to, &other),
        }
    }

    /// Handles a message whose receiver is gone.
    pub fn undeliverable(&mut self, from: NodeId, to: NodeId, message: &Message) {
        let is_word = matches!(
            message,
            Message::Frame { .. } | Message::CancelAnswer { .. } | Message::Word { .. }
        );
        if !is_word {
            self.lose(from, to, message);
        }
    }

    /// Misroutes a copy to another process of the same kind or to another request, and returns the receiver of the
    /// message itself. An attempt arrives at another agent instead, whose VM has taken over the address.
    fn cross(&mut self, from: NodeId, to: NodeId, message: &Message) -> NodeId {
        let soon = self.draw_millis(0, 30);
        match message {
            Message::Frame {
                request,
                attempt,
                frame,
            } => {
                let others = self.submissions.iter();
                let mut others = others.filter(|(other, submission)| {
                    *other != request && submission.entry == to && !submission.answered
                });
                if let Some(other) = others.next().map(|(other, _)| *other) {
                    let stray = Message::Frame {
                        request: other,
                        attempt: *attempt,
                        frame: *frame,
                    };
                    self.put_directly(from, to, stray, soon);
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
                self.put_directly(from, sibling(to), other.clone(), soon);
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
