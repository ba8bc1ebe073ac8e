//! Delivers the messages between agents, engines and the store.

use std::time::Duration;

use oatpier_placement::orders::{OrderCommand, OrderEvent, OrderOutcome, PollTicket};
use oatpier_placement::record::{EpochState, RecordAnswer, RecordCall, StoredRecord};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{EngineOrder, OrderAction};
use oatpier_types::event::FleetEvent;
use oatpier_types::ids::{BootId, OrderNumber};
use rand::RngExt;
use smallvec::SmallVec;

use super::inject::MessageDelivery;
use super::scenario;
use super::simulation::{OrderAgent, OrderMessage, OrderSimulation, TICK};
use crate::run::Bypass;
use crate::step::StepName;

/// Time that an agent waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

impl OrderSimulation {
    pub fn execute_command(&mut self, agent_index: usize, command: OrderCommand) {
        let Some(agent) = self.agents.get(agent_index) else {
            return;
        };
        let OrderAgent { index, boot, .. } = *agent;
        if agent.paused_until == ClockTime::NEVER {
            return;
        }
        match command {
            OrderCommand::CallStore(call) => {
                let taking = agent.keeper.epoch() == EpochState::Acquiring;
                self.call_store(index, boot, call, taking);
            }
            OrderCommand::Send(order) => self.send_order(index, boot, order),
            OrderCommand::Poll(ticket) => self.poll(index, boot, ticket),
        }
    }

    fn call_store(&mut self, index: usize, boot: BootId, call: RecordCall, taking: bool) {
        let step = if taking {
            StepName::StartEpoch
        } else {
            StepName::OrderIntent
        };
        let delivery = self.inject_at(step, index);
        if self.store_down_until > self.now {
            let event = OrderEvent::Record(RecordAnswer::Unavailable);
            return self.post(OrderMessage::Event(boot, event), TICK);
        }
        let slow = self.store_slow_until > self.now;
        let latency = if slow {
            self.random_up_to(Duration::from_millis(800))
        } else {
            TICK
        };
        let is_write = matches!(call, RecordCall::Write { .. });
        let loses_answer = is_write && self.answers_to_lose > 0;
        if loses_answer
            || delivery == MessageDelivery::Dropped
            || delivery == MessageDelivery::Delayed
        {
            self.answers_to_lose -= u32::from(loses_answer);
            let event = OrderEvent::Record(RecordAnswer::AnswerLost);
            self.post(OrderMessage::Event(boot, event), ANSWER_TIMEOUT);
            let is_delivered = delivery != MessageDelivery::Dropped || self.random.random_bool(0.5);
            let delay = if delivery == MessageDelivery::Delayed {
                self.random_up_to(Duration::from_secs(5))
            } else {
                latency
            };
            if is_delivered {
                self.post(OrderMessage::StoreCall(index, boot, call, false), delay);
            }
            return;
        }
        if delivery == MessageDelivery::Duplicated {
            let delay = self.random_up_to(Duration::from_secs(5));
            self.post(
                OrderMessage::StoreCall(index, boot, call.clone(), false),
                delay,
            );
        }
        self.post(OrderMessage::StoreCall(index, boot, call, true), latency);
    }

    fn send_order(&mut self, index: usize, boot: BootId, order: EngineOrder) {
        let mut delivery = MessageDelivery::Normal;
        for step in steps_of(&order) {
            delivery = delivery.max(self.inject_at(step, index));
        }
        let number = order.number;
        let delay = self.random_up_to(Duration::from_secs(20));
        let cut_to = self.cut_to[index] > self.now;
        let cut_from = self.cut_from[index] > self.now;
        match delivery {
            _ if cut_to => {
                self.post_outcome(boot, number, OrderOutcome::Unknown, ANSWER_TIMEOUT);
                if self.random.random_bool(0.5) {
                    self.post(OrderMessage::Order(index, boot, order, false), delay);
                }
            }
            _ if cut_from => {
                self.post_outcome(boot, number, OrderOutcome::Unknown, ANSWER_TIMEOUT);
                self.post(OrderMessage::Order(index, boot, order, false), TICK);
            }
            MessageDelivery::Dropped => {
                self.post_outcome(boot, number, OrderOutcome::Unknown, ANSWER_TIMEOUT);
            }
            MessageDelivery::Delayed => {
                self.post_outcome(boot, number, OrderOutcome::Unknown, ANSWER_TIMEOUT);
                self.post(OrderMessage::Order(index, boot, order, false), delay);
            }
            MessageDelivery::Misrouted => {
                // Reordered: it arrives after later messages, up to 5 s late, and is answered then.
                self.post_outcome(boot, number, OrderOutcome::Unknown, ANSWER_TIMEOUT);
                self.post(OrderMessage::Order(index, boot, order, true), delay / 4);
            }
            MessageDelivery::Duplicated => {
                self.post(
                    OrderMessage::Order(index, boot, order.clone(), false),
                    delay,
                );
                self.post(OrderMessage::Order(index, boot, order, true), TICK);
            }
            MessageDelivery::Normal => {
                let latency = self.latency(index);
                self.post(OrderMessage::Order(index, boot, order, true), latency);
            }
        }
    }

    fn poll(&mut self, index: usize, boot: BootId, ticket: PollTicket) {
        let delivery = self.inject_at(StepName::OrderPoll, index);
        let cut = self.cut_to[index] > self.now || self.cut_from[index] > self.now;
        if cut || delivery == MessageDelivery::Dropped {
            let event = OrderEvent::PollFailed { ticket };
            return self.post(OrderMessage::Event(boot, event), ANSWER_TIMEOUT);
        }
        let latency = self.latency(index);
        match delivery {
            MessageDelivery::Delayed => {
                let event = OrderEvent::PollFailed { ticket };
                self.post(OrderMessage::Event(boot, event), ANSWER_TIMEOUT);
                let delay = self.random_up_to(Duration::from_secs(6));
                self.post(OrderMessage::Poll(index, boot, ticket), delay);
            }
            MessageDelivery::Duplicated => {
                let delay = self.random_up_to(Duration::from_secs(6));
                self.post(OrderMessage::Poll(index, boot, ticket), latency);
                self.post(OrderMessage::Poll(index, boot, ticket), delay);
            }
            MessageDelivery::Misrouted => {
                // Answers crossed: the state arrives under the ticket of the previous poll, and this poll fails.
                let state = Box::new(self.engines[index].state());
                let previous = PollTicket(ticket.0.saturating_sub(1));
                let ticket_event = OrderEvent::Polled {
                    ticket: previous,
                    state,
                };
                self.post(OrderMessage::Event(boot, ticket_event), latency);
                let event = OrderEvent::PollFailed { ticket };
                self.post(OrderMessage::Event(boot, event), ANSWER_TIMEOUT);
            }
            MessageDelivery::Normal | MessageDelivery::Dropped => {
                self.post(OrderMessage::Poll(index, boot, ticket), latency);
            }
        }
    }

    /// Sends a release request to another agent, or the answer to one.
    pub fn send_release(&mut self, message: OrderMessage) {
        let index = match &message {
            OrderMessage::ReleaseRequest(index, _) => *index,
            OrderMessage::ReleaseAnswer(answer) => {
                let requester = self.agents.iter().find(|agent| agent.boot == answer.boot);
                requester.map_or(0, |agent| agent.index)
            }
            _ => 0,
        };
        let delivery = self.inject_at(StepName::MoveRelease, index);
        let cut = self.cut_to[index] > self.now || self.cut_from[index] > self.now;
        if cut || delivery == MessageDelivery::Dropped {
            return;
        }
        let delay = self.random_up_to(Duration::from_secs(6));
        let latency = self.latency(index);
        match delivery {
            MessageDelivery::Delayed => self.post(message, delay),
            MessageDelivery::Duplicated => {
                self.post(message.clone(), latency);
                self.post(message, delay);
            }
            MessageDelivery::Misrouted => {
                if let OrderMessage::ReleaseRequest(to, request) = &message {
                    let other = (to + 1) % scenario::ENGINES;
                    self.post(
                        OrderMessage::ReleaseRequest(other, request.clone()),
                        latency,
                    );
                }
                self.post(message, latency);
            }
            MessageDelivery::Normal | MessageDelivery::Dropped => self.post(message, latency),
        }
    }

    fn latency(&mut self, index: usize) -> Duration {
        if self.slow_until[index] > self.now {
            self.random_up_to(Duration::from_millis(900))
        } else {
            TICK
        }
    }

    fn post_outcome(
        &mut self,
        boot: BootId,
        number: OrderNumber,
        outcome: OrderOutcome,
        after: Duration,
    ) {
        let is_bypassed = self.run_spec.bypasses(Bypass::UnknownOrders);
        let outcome = match outcome {
            OrderOutcome::Unknown if is_bypassed => OrderOutcome::NotSent,
            other => other,
        };
        let event = OrderEvent::Answered { number, outcome };
        self.post(OrderMessage::Event(boot, event), after);
    }

    pub fn post(&mut self, message: OrderMessage, after: Duration) {
        self.queue.put(self.now + after, message);
    }

    pub fn random_up_to(&mut self, duration: Duration) -> Duration {
        duration.mul_f64(self.random.random_range(0.0..1.0))
    }

    pub fn deliver(&mut self, message: OrderMessage) {
        match message {
            OrderMessage::Order(index, boot, order, answer) => {
                let outcome = self.take_order(index, &order);
                if answer {
                    self.post_outcome(boot, order.number, outcome, TICK);
                }
            }
            OrderMessage::StoreCall(index, boot, call, answer) => {
                let found = self.store_answer(index, call);
                if answer {
                    self.post(OrderMessage::Event(boot, OrderEvent::Record(found)), TICK);
                }
            }
            OrderMessage::Poll(index, boot, ticket) => {
                let state = Box::new(self.engines[index].state());
                let event = OrderEvent::Polled { ticket, state };
                self.post(OrderMessage::Event(boot, event), TICK);
            }
            OrderMessage::Event(boot, ref event) => {
                let (event, now) = (event.clone(), self.now);
                let config = self.config.clone();
                if let Some(agent) = self.awake_agent(boot, message) {
                    agent.keeper.on_event(event, &config, now);
                }
            }
            OrderMessage::ReleaseRequest(index, ref request) => {
                let (request, now) = (request.clone(), self.now);
                let Some(boot) = self.current[index] else {
                    return;
                };
                if let Some(agent) = self.awake_agent(boot, message) {
                    agent.releases.on_request(request, &mut agent.keeper, now);
                }
            }
            OrderMessage::ReleaseAnswer(answer) => {
                let now = self.now;
                if let Some(agent) = self.awake_agent(answer.boot, message) {
                    agent.releases.on_answer(answer, now);
                }
            }
            OrderMessage::Start(index) => self.start_agent(index),
        }
    }

    fn take_order(&mut self, index: usize, order: &EngineOrder) -> OrderOutcome {
        let outcome = self.engines[index].take(order, self.now);
        if outcome != OrderOutcome::Accepted {
            return outcome;
        }
        self.log_event(FleetEvent::OrderTaken {
            endpoint: scenario::endpoint(index),
            number: order.number,
            action: order.action.clone(),
        });
        if let OrderAction::Unload { weights } = &order.action
            && self.has_requests(index, weights)
        {
            let text = format!("{order:?} at engine {index} cut off running requests");
            self.report.findings.push(text);
        }
        self.observe();
        outcome
    }

    /// Returns the agent if it is not paused. Otherwise the message is queued until it resumes.
    fn awake_agent(&mut self, boot: BootId, message: OrderMessage) -> Option<&mut OrderAgent> {
        let agent_index = self.agents.iter().position(|agent| agent.boot == boot)?;
        let wake: ClockTime = self.agents[agent_index].paused_until;
        if wake > self.now {
            self.queue.put(wake, message);
            return None;
        }
        Some(&mut self.agents[agent_index])
    }

    fn store_answer(&mut self, index: usize, call: RecordCall) -> RecordAnswer {
        let kept = &mut self.store[index];
        let (record, expected) = match call {
            RecordCall::Read => return RecordAnswer::Found(kept.clone()),
            RecordCall::Write { record, expected } => (record, expected),
        };
        let current = kept.as_ref().map(|stored| stored.revision);
        if current != expected {
            return RecordAnswer::Conflict;
        }
        let revision = current.unwrap_or_default().next();
        *kept = Some(StoredRecord { record, revision });
        RecordAnswer::Written(revision)
    }
}

/// Returns the steps that an order is part of.
fn steps_of(order: &EngineOrder) -> SmallVec<[StepName; 3]> {
    let mut steps = SmallVec::from_slice(&[StepName::OrderSend]);
    let (step, weights) = match &order.action {
        OrderAction::Load { weights } => (StepName::MoveLoad, weights),
        OrderAction::Unload { weights } => (StepName::MoveUnload, weights),
        OrderAction::SetRole { .. } => return steps,
    };
    steps.push(step);
    if weights.model.as_str() == "chair" {
        steps.push(StepName::VersionChange);
    }
    steps
}
