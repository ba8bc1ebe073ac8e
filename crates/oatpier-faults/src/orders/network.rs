//! The messages of agents, engines and the store.

use std::time::Duration;

use oatpier_placement::orders::{OrderCommand, OrderEvent, OrderOutcome, PollTicket};
use oatpier_placement::record::{EpochState, RecordAnswer, RecordCall, StoredRecord};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{EngineOrder, OrderAction};
use oatpier_types::event::FleetEvent;
use oatpier_types::ids::{BootId, OrderNumber};
use rand::RngExt;
use smallvec::SmallVec;

use super::inflict::MessageFate;
use super::scenario;
use super::world::{OrderAgent, OrderMessage, OrderWorld, TICK};
use crate::run::Bypass;
use crate::step::StepName;

/// How long an agent waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

impl OrderWorld {
    pub fn carry_out(&mut self, place: usize, command: OrderCommand) {
        let Some(agent) = self.agents.get(place) else {
            return;
        };
        let OrderAgent { index, boot, .. } = *agent;
        if agent.awake_from == ClockTime::NEVER {
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
        let fate = self.pass(step, index);
        if self.store_down_until > self.now {
            let event = OrderEvent::Record(RecordAnswer::Unavailable);
            return self.post(OrderMessage::Event(boot, event), TICK);
        }
        let slow = self.store_slow_until > self.now;
        let takes = if slow {
            self.up_to(Duration::from_millis(800))
        } else {
            TICK
        };
        let is_write = matches!(call, RecordCall::Write { .. });
        let forgets = is_write && self.answers_to_lose > 0;
        if forgets || fate == MessageFate::Lost || fate == MessageFate::Late {
            self.answers_to_lose -= u32::from(forgets);
            let event = OrderEvent::Record(RecordAnswer::AnswerLost);
            self.post(OrderMessage::Event(boot, event), ANSWER_TIMEOUT);
            let seen = fate != MessageFate::Lost || self.random.random_bool(0.5);
            let late = if fate == MessageFate::Late {
                self.up_to(Duration::from_secs(5))
            } else {
                takes
            };
            if seen {
                self.post(OrderMessage::StoreCall(index, boot, call, false), late);
            }
            return;
        }
        if fate == MessageFate::Doubled {
            let late = self.up_to(Duration::from_secs(5));
            self.post(
                OrderMessage::StoreCall(index, boot, call.clone(), false),
                late,
            );
        }
        self.post(OrderMessage::StoreCall(index, boot, call, true), takes);
    }

    fn send_order(&mut self, index: usize, boot: BootId, order: EngineOrder) {
        let mut fate = MessageFate::Kept;
        for step in steps_of(&order) {
            fate = fate.max(self.pass(step, index));
        }
        let number = order.number;
        let late = self.up_to(Duration::from_secs(20));
        let cut_to = self.cut_to[index] > self.now;
        let cut_from = self.cut_from[index] > self.now;
        match fate {
            _ if cut_to => {
                self.post_outcome(boot, number, OrderOutcome::Unknown, ANSWER_TIMEOUT);
                if self.random.random_bool(0.5) {
                    self.post(OrderMessage::Order(index, boot, order, false), late);
                }
            }
            _ if cut_from => {
                self.post_outcome(boot, number, OrderOutcome::Unknown, ANSWER_TIMEOUT);
                self.post(OrderMessage::Order(index, boot, order, false), TICK);
            }
            MessageFate::Lost => {
                self.post_outcome(boot, number, OrderOutcome::Unknown, ANSWER_TIMEOUT);
            }
            MessageFate::Late => {
                self.post_outcome(boot, number, OrderOutcome::Unknown, ANSWER_TIMEOUT);
                self.post(OrderMessage::Order(index, boot, order, false), late);
            }
            MessageFate::Crossed => {
                // Overtaken by all that is sent in the next seconds, and answered then.
                self.post_outcome(boot, number, OrderOutcome::Unknown, ANSWER_TIMEOUT);
                self.post(OrderMessage::Order(index, boot, order, true), late / 4);
            }
            MessageFate::Doubled => {
                self.post(OrderMessage::Order(index, boot, order.clone(), false), late);
                self.post(OrderMessage::Order(index, boot, order, true), TICK);
            }
            MessageFate::Kept => {
                let takes = self.takes(index);
                self.post(OrderMessage::Order(index, boot, order, true), takes);
            }
        }
    }

    fn poll(&mut self, index: usize, boot: BootId, ticket: PollTicket) {
        let fate = self.pass(StepName::OrderPoll, index);
        let cut = self.cut_to[index] > self.now || self.cut_from[index] > self.now;
        if cut || fate == MessageFate::Lost {
            let event = OrderEvent::PollFailed { ticket };
            return self.post(OrderMessage::Event(boot, event), ANSWER_TIMEOUT);
        }
        let takes = self.takes(index);
        match fate {
            MessageFate::Late => {
                let event = OrderEvent::PollFailed { ticket };
                self.post(OrderMessage::Event(boot, event), ANSWER_TIMEOUT);
                let late = self.up_to(Duration::from_secs(6));
                self.post(OrderMessage::Poll(index, boot, ticket), late);
            }
            MessageFate::Doubled => {
                let late = self.up_to(Duration::from_secs(6));
                self.post(OrderMessage::Poll(index, boot, ticket), takes);
                self.post(OrderMessage::Poll(index, boot, ticket), late);
            }
            MessageFate::Crossed => {
                // The answer of another poll: this one's comes as a former one's.
                let state = Box::new(self.engines[index].state());
                let former = PollTicket(ticket.0.saturating_sub(1));
                let ticket_event = OrderEvent::Polled {
                    ticket: former,
                    state,
                };
                self.post(OrderMessage::Event(boot, ticket_event), takes);
                let event = OrderEvent::PollFailed { ticket };
                self.post(OrderMessage::Event(boot, event), ANSWER_TIMEOUT);
            }
            MessageFate::Kept | MessageFate::Lost => {
                self.post(OrderMessage::Poll(index, boot, ticket), takes);
            }
        }
    }

    /// Sends an ask for a release, or its answer.
    pub fn send_between(&mut self, message: OrderMessage) {
        let index = match &message {
            OrderMessage::Ask(index, _) => *index,
            OrderMessage::Answer(answer) => {
                let asker = self.agents.iter().find(|agent| agent.boot == answer.boot);
                asker.map_or(0, |agent| agent.index)
            }
            _ => 0,
        };
        let fate = self.pass(StepName::MoveRelease, index);
        let cut = self.cut_to[index] > self.now || self.cut_from[index] > self.now;
        if cut || fate == MessageFate::Lost {
            return;
        }
        let late = self.up_to(Duration::from_secs(6));
        let takes = self.takes(index);
        match fate {
            MessageFate::Late => self.post(message, late),
            MessageFate::Doubled => {
                self.post(message.clone(), takes);
                self.post(message, late);
            }
            MessageFate::Crossed => {
                if let OrderMessage::Ask(to, ask) = &message {
                    let other = (to + 1) % scenario::ENGINES;
                    self.post(OrderMessage::Ask(other, ask.clone()), takes);
                }
                self.post(message, takes);
            }
            MessageFate::Kept | MessageFate::Lost => self.post(message, takes),
        }
    }

    fn takes(&mut self, index: usize) -> Duration {
        if self.slow_until[index] > self.now {
            self.up_to(Duration::from_millis(900))
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
        let forgets = self.order.omits(Bypass::UnknownOrders);
        let outcome = match outcome {
            OrderOutcome::Unknown if forgets => OrderOutcome::NotSent,
            other => other,
        };
        let event = OrderEvent::Answered { number, outcome };
        self.post(OrderMessage::Event(boot, event), after);
    }

    pub fn post(&mut self, message: OrderMessage, after: Duration) {
        self.queue.put(self.now + after, message);
    }

    pub fn up_to(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.random_range(0.0..1.0))
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
            OrderMessage::Ask(index, ref ask) => {
                let (ask, now) = (ask.clone(), self.now);
                let Some(boot) = self.current[index] else {
                    return;
                };
                if let Some(agent) = self.awake_agent(boot, message) {
                    agent.releases.on_request(ask, &mut agent.keeper, now);
                }
            }
            OrderMessage::Answer(answer) => {
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
        self.note(FleetEvent::OrderTaken {
            endpoint: scenario::endpoint(index),
            number: order.number,
            action: order.action.clone(),
        });
        if let OrderAction::Unload { weights } = &order.action
            && self.is_working(index, weights)
        {
            let text = format!("{order:?} at {index} cut off what ran");
            self.report.findings.push(text);
        }
        self.observe();
        outcome
    }

    /// The agent, if it is awake; else the message waits for it.
    fn awake_agent(&mut self, boot: BootId, message: OrderMessage) -> Option<&mut OrderAgent> {
        let place = self.agents.iter().position(|agent| agent.boot == boot)?;
        let wake: ClockTime = self.agents[place].awake_from;
        if wake > self.now {
            self.queue.put(wake, message);
            return None;
        }
        Some(&mut self.agents[place])
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

/// The steps that an order passes on its way.
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
