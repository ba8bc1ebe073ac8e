//! Message delivery of the simulation, with loss, delay and duplication.

use std::time::Duration;

use oatpier_placement::orders::{OrderCommand, OrderEvent, OrderOutcome};
use oatpier_placement::record::{EndpointRecord, RecordAnswer, RecordCall, StoredRecord};
use oatpier_types::engine::EngineOrder;
use oatpier_types::ids::{BootId, OrderNumber, Revision};

use crate::simulation::{Agent, Message, Simulation, TICK};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum delay of an order.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(20);

impl Simulation {
    pub fn execute(&mut self, agent: usize, command: OrderCommand) {
        let Agent { index, boot, .. } = self.agents[agent];
        match command {
            OrderCommand::CallStore(call) => self.call_store(index, boot, call),
            OrderCommand::Send(order) => self.send_order(index, boot, order),
            OrderCommand::Poll(ticket) => {
                if self.chance(self.faults.poll_lost) {
                    let event = OrderEvent::PollFailed { ticket };
                    self.post(Message::Event(boot, event), ANSWER_TIMEOUT);
                } else {
                    self.post(Message::Poll(index, boot, ticket), TICK);
                }
            }
        }
    }

    fn call_store(&mut self, index: usize, boot: BootId, call: RecordCall) {
        if self.store_down {
            let event = OrderEvent::Record(RecordAnswer::Unavailable);
            return self.post(Message::Event(boot, event), TICK);
        }
        if !self.chance(self.faults.store_lost) {
            return self.post(Message::StoreCall(index, boot, call, true), TICK);
        }
        let event = OrderEvent::Record(RecordAnswer::AnswerLost);
        self.post(Message::Event(boot, event), ANSWER_TIMEOUT);
        if self.chance(0.7) {
            let late = self.random_duration(Duration::from_secs(5));
            self.post(Message::StoreCall(index, boot, call, false), late);
        }
    }

    fn send_order(&mut self, index: usize, boot: BootId, order: EngineOrder) {
        let number = order.number;
        let late = self.random_duration(MAX_ORDER_DELAY);
        let lost = self.chance(self.faults.order_lost);
        if lost || self.chance(self.faults.order_late) {
            self.post_outcome(boot, number, OrderOutcome::Unknown, ANSWER_TIMEOUT);
            if !lost {
                self.post(Message::Order(index, boot, order, false), late);
            }
            return;
        }
        if self.chance(self.faults.order_duplicated) {
            self.post(Message::Order(index, boot, order.clone(), false), late);
        }
        self.post(Message::Order(index, boot, order, true), TICK);
    }

    fn post_outcome(
        &mut self,
        boot: BootId,
        number: OrderNumber,
        outcome: OrderOutcome,
        after: Duration,
    ) {
        let event = OrderEvent::Answered { number, outcome };
        self.post(Message::Event(boot, event), after);
    }

    pub fn post_lossy(&mut self, message: &Message) {
        let copies = if self.chance(self.faults.order_duplicated) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.chance(self.faults.order_lost) {
                continue;
            }
            let late = self.chance(self.faults.order_late);
            let span = if late { Duration::from_secs(6) } else { TICK };
            let after = self.random_duration(span);
            self.post(message.clone(), after);
        }
    }

    fn post(&mut self, message: Message, after: Duration) {
        self.sequence += 1;
        self.queue
            .insert((self.now + after, self.sequence), message);
    }

    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Order(index, boot, order, answer) => {
                let outcome = self.take_order(index, &order);
                if answer {
                    self.post_outcome(boot, order.number, outcome, TICK);
                }
            }
            Message::StoreCall(index, boot, call, answer) => {
                let found = self.store_answer(index, call);
                if answer {
                    self.post(Message::Event(boot, OrderEvent::Record(found)), TICK);
                }
            }
            Message::Poll(index, boot, ticket) => {
                let state = Box::new(self.engines[index].state());
                let late = self.random_duration(Duration::from_millis(500));
                self.post(
                    Message::Event(boot, OrderEvent::Polled { ticket, state }),
                    late,
                );
            }
            Message::Event(boot, ref event) => {
                let (event, now) = (event.clone(), self.now);
                let config = self.config.clone();
                if let Some(agent) = self.running_agent(boot, message) {
                    agent.keeper.on_event(event, &config, now);
                }
            }
            Message::Request(index, ref request) => {
                let (request, now) = (request.clone(), self.now);
                let boot = self.current[index];
                if let Some(agent) = self.running_agent(boot, message) {
                    agent.releases.on_request(request, &mut agent.keeper, now);
                }
            }
            Message::Answer(answer) => {
                let now = self.now;
                if let Some(agent) = self.running_agent(answer.boot, message) {
                    agent.releases.on_answer(answer, now);
                }
            }
        }
    }

    /// Returns the agent if it is running. Otherwise delivers the message when the agent resumes.
    fn running_agent(&mut self, boot: BootId, message: Message) -> Option<&mut Agent> {
        let agent = self.agents.iter().position(|agent| agent.boot == boot)?;
        let resume = self.agents[agent].resumes_at;
        if resume > self.now {
            let after = resume.since(self.now);
            self.post(message, after);
            return None;
        }
        Some(&mut self.agents[agent])
    }

    fn store_answer(&mut self, index: usize, call: RecordCall) -> RecordAnswer {
        let kept = &mut self.store[index];
        let (record, expected): (EndpointRecord, Option<Revision>) = match call {
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
