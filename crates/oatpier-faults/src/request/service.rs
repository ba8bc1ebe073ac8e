//! The simulated endpoints: they run calls and log each start.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::event::FleetEvent;
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::request::RequestGoal;

use super::fleet::{self, STREAM_PIECES};
use super::message::{AGENTS, CallUpdate, FIRST_ENDPOINT, Message, NodeId};
use super::simulation::RequestSimulation;
use crate::step::StepName;

/// Time until the first piece of an answer.
const FIRST_PIECE_DELAY: Duration = Duration::from_millis(15);
/// Time between two pieces of an answer.
const PIECE_INTERVAL: Duration = Duration::from_millis(8);

#[derive(Debug, Clone)]
struct RunningCall {
    attempt: AttemptId,
    next: u32,
    pieces: u32,
    due: ClockTime,
}

/// The state of an endpoint.
#[derive(Debug, Clone, Default)]
pub struct ServiceNode {
    calls: Vec<RunningCall>,
}

impl ServiceNode {
    /// Ends all calls and returns their attempts.
    pub fn end_all(&mut self) -> Vec<AttemptId> {
        self.calls.drain(..).map(|call| call.attempt).collect()
    }

    /// Removes a call whose answer is no longer needed.
    pub fn forget(&mut self, attempt: AttemptId) {
        self.calls.retain(|call| call.attempt != attempt);
    }
}

impl RequestSimulation {
    pub fn handle_endpoint_message(&mut self, node: NodeId, message: Message) {
        match message {
            Message::Call { spec, key } => {
                let stream = matches!(spec.goal, RequestGoal::Model { .. });
                let first_piece_delay = if self.stop.is_some() {
                    FIRST_PIECE_DELAY * 4
                } else {
                    FIRST_PIECE_DELAY
                };
                self.run_started(node, spec.request, spec.attempt, key);
                let call = RunningCall {
                    attempt: spec.attempt,
                    next: spec.resume_after,
                    pieces: if stream { STREAM_PIECES } else { 1 },
                    due: self.now + first_piece_delay,
                };
                self.services[node - FIRST_ENDPOINT].calls.push(call);
                self.wake_at(node, self.now + first_piece_delay);
            }
            Message::StopCall(attempt) => {
                let service = &mut self.services[node - FIRST_ENDPOINT];
                if service.calls.iter().any(|call| call.attempt == attempt) {
                    service.forget(attempt);
                    let update = CallUpdate::Failed(oatpier_types::verdict::RunVerdict::MayHaveRun);
                    self.send(
                        None,
                        node,
                        node - AGENTS,
                        Message::CallUpdate { attempt, update },
                    );
                }
            }
            _ => {}
        }
    }

    fn run_started(
        &mut self,
        node: NodeId,
        request: RequestId,
        attempt: AttemptId,
        key: Option<u64>,
    ) {
        let endpoint = fleet::endpoint(node - AGENTS);
        self.log_event(FleetEvent::RunStarted {
            request,
            attempt,
            endpoint,
            key,
        });
    }

    pub fn wake_service(&mut self, node: NodeId) {
        let now = self.now;
        let service = &mut self.services[node - FIRST_ENDPOINT];
        let mut updates = Vec::new();
        for call in service.calls.iter_mut().filter(|call| call.due <= now) {
            if call.next < call.pieces {
                updates.push((call.attempt, CallUpdate::Piece(call.next)));
                call.next += 1;
                call.due = now + PIECE_INTERVAL;
            } else {
                updates.push((call.attempt, CallUpdate::End));
                call.due = ClockTime::NEVER;
            }
        }
        service.calls.retain(|call| call.due != ClockTime::NEVER);
        let next = service.calls.iter().map(|call| call.due).min();
        for (attempt, update) in updates {
            let message = Message::CallUpdate { attempt, update };
            self.send(Some(StepName::Run), node, node - AGENTS, message);
        }
        if let Some(next) = next {
            self.wake_at(node, next);
        }
    }
}
