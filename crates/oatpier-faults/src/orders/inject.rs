//! Injects faults into orders and moves.

use std::time::Duration;

use oatpier_types::event::FleetEvent;
use oatpier_types::ids::BootId;
use rand::RngExt;

use super::engine::OrderedEngine;
use super::scenario::MEMORY_MIB;
use super::simulation::{OrderMessage, OrderSimulation};
use crate::fault::FaultKind;
use crate::request::name;
use crate::step::StepName;

/// How a message is delivered. If several faults apply to it, the greatest value wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum MessageDelivery {
    #[default]
    Normal,
    Duplicated,
    Misrouted,
    Delayed,
    Dropped,
}

impl OrderSimulation {
    /// Injects the faults that are due when an endpoint reaches `step`, and returns how its message is delivered.
    pub fn inject_at(&mut self, step: StepName, index: usize) -> MessageDelivery {
        if !self.is_injectable(step) {
            return MessageDelivery::Normal;
        }
        let mut delivery = MessageDelivery::Normal;
        for fault in self.plan.take_due(step) {
            match fault {
                FaultKind::Lost => delivery = MessageDelivery::Dropped,
                FaultKind::Late => delivery = MessageDelivery::Delayed,
                FaultKind::Doubled => delivery = MessageDelivery::Duplicated,
                FaultKind::Crossed => delivery = MessageDelivery::Misrouted,
                other => self.inject(other, index),
            }
        }
        delivery
    }

    fn inject(&mut self, fault: FaultKind, index: usize) {
        let duration = Duration::from_millis(self.random.random_range(1_000..9_000));
        let until = self.now + duration;
        match fault {
            FaultKind::Kill => self.kill(index, duration),
            FaultKind::Restart => self.stop_agent(index, Duration::from_millis(50)),
            FaultKind::Pause => self.pause(index, duration),
            FaultKind::LeaseLapsed => {
                self.pause(index, duration);
                self.start_agent(index);
            }
            FaultKind::CutTo => self.cut_to[index] = until,
            FaultKind::CutFrom => self.cut_from[index] = until,
            FaultKind::CutBoth => {
                self.cut_to[index] = until;
                self.cut_from[index] = until;
            }
            FaultKind::SlowPeer => {
                self.slow_until[index] = until;
                self.engines[index].slow_until = until;
            }
            FaultKind::StoreDown => self.store_down_until = until,
            FaultKind::StoreSlow => self.store_slow_until = until,
            FaultKind::AnswerLost => self.answers_to_lose = self.random.random_range(1..=2),
            _ => {}
        }
    }

    /// Ends the agent. With a probability of 0.4 the engine crashes too and loses all weights.
    fn kill(&mut self, index: usize, downtime: Duration) {
        self.stop_agent(index, downtime);
        if self.random.random_bool(0.4) {
            self.log_event(FleetEvent::Ended {
                name: name(&format!("engine-{index}")),
                killed: true,
                cut_off: 0,
            });
            self.engines[index] = OrderedEngine::new(self.checks_numbers, MEMORY_MIB);
            self.observe();
        }
    }

    /// Ends the current agent of an endpoint. Its calls and orders in flight may still take effect.
    fn stop_agent(&mut self, index: usize, downtime: Duration) {
        let Some(boot) = self.current[index].take() else {
            return;
        };
        self.end_requests(index);
        // Disabled here, since a removal at the end of the tick would come after its next command.
        if let Some(agent) = self.agents.iter_mut().find(|agent| agent.boot == boot) {
            agent.paused_until = oatpier_types::clock::ClockTime::NEVER;
            agent.boot = BootId(u128::MAX - agent.boot.0);
        }
        self.post(OrderMessage::Start(index), downtime);
    }

    fn pause(&mut self, index: usize, duration: Duration) {
        let boot = self.current[index];
        let wake = self.now + duration;
        if let Some(agent) = self
            .agents
            .iter_mut()
            .find(|agent| Some(agent.boot) == boot)
        {
            agent.paused_until = wake;
        }
    }
}
