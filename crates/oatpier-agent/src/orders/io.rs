//! Calls from the orders duty to the engine, the store and other agents.

use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use oatpier_placement::orders::{OrderEvent, OrderOutcome, PollTicket};
use oatpier_placement::record::{
    EndpointRecord, RecordAnswer, RecordCall, StoredRecord, record_key,
};
use oatpier_ports::engine::{EngineControl, OrderError};
use oatpier_ports::store::{ExpectedValue, KeyStore, StoreError, StoredValue};
use oatpier_types::engine::EngineOrder;
use oatpier_types::names::EndpointName;

use super::state::{OrdersTask, TaskResult};
use crate::peers::{AgentPeers, PeerFuture};

/// Starts the calls of [`OrdersTask`]s.
pub struct OrdersIo {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Control interface of the engine.
    pub control: Arc<dyn EngineControl>,
    /// The platform's key-value service.
    pub store: Arc<dyn KeyStore>,
    /// Calls to other agents.
    pub peers: Arc<dyn AgentPeers>,
}

impl OrdersIo {
    /// Returns a future that makes the call of a task and yields its result.
    #[must_use]
    pub fn start(&self, task: OrdersTask) -> PeerFuture<TaskResult> {
        match task {
            OrdersTask::Record(call) => {
                let (store, endpoint) = (Arc::clone(&self.store), self.endpoint.clone());
                async move {
                    let answer = call_record(store.as_ref(), &endpoint, call).await;
                    TaskResult::Order(OrderEvent::Record(answer))
                }
                .boxed()
            }
            OrdersTask::Send(order) => {
                let control = Arc::clone(&self.control);
                async move { TaskResult::Order(send(control.as_ref(), order).await) }.boxed()
            }
            OrdersTask::Poll(ticket) => {
                let control = Arc::clone(&self.control);
                async move { TaskResult::Order(poll(control.as_ref(), ticket).await) }.boxed()
            }
            OrdersTask::RequestRelease { to, request } => {
                let asking = self.peers.request_release(to, request);
                asking.map(TaskResult::Released).boxed()
            }
        }
    }
}

async fn send(control: &dyn EngineControl, order: EngineOrder) -> OrderEvent {
    let outcome = match control.order(&order).await {
        Ok(()) => OrderOutcome::Accepted,
        Err(OrderError::Stale { highest }) => OrderOutcome::Stale { highest },
        Err(OrderError::Refused { cause }) => {
            spdlog::warn!("engine refused an order: {cause}");
            OrderOutcome::Rejected
        }
        Err(OrderError::NotSent { .. }) => OrderOutcome::NotSent,
        Err(OrderError::Unknown { .. }) => OrderOutcome::Unknown,
    };
    let number = order.number;
    OrderEvent::Answered { number, outcome }
}

async fn poll(control: &dyn EngineControl, ticket: PollTicket) -> OrderEvent {
    match control.state().await {
        Ok(state) => OrderEvent::Polled {
            ticket,
            state: Box::new(state),
        },
        Err(_) => OrderEvent::PollFailed { ticket },
    }
}

async fn call_record(
    store: &dyn KeyStore,
    endpoint: &EndpointName,
    call: RecordCall,
) -> RecordAnswer {
    let key = record_key(endpoint);
    match call {
        RecordCall::Read => match store.get(&key).await {
            Ok(found) => read_record(found),
            Err(_) => RecordAnswer::Unavailable,
        },
        RecordCall::Write { record, expected } => {
            let Ok(value) = serde_json::to_vec(&record) else {
                return RecordAnswer::Unavailable;
            };
            let expected = expected.map_or(ExpectedValue::Absent, ExpectedValue::At);
            let written = store.put(&key, Bytes::from(value), expected, None).await;
            written.map_or_else(|error| to_record_answer(&error), RecordAnswer::Written)
        }
    }
}

fn read_record(found: Option<StoredValue>) -> RecordAnswer {
    let Some(found) = found else {
        return RecordAnswer::Found(None);
    };
    match serde_json::from_slice::<EndpointRecord>(&found.value) {
        Ok(record) => RecordAnswer::Found(Some(StoredRecord {
            record,
            revision: found.revision,
        })),
        // Overwriting an unreadable record could discard intents of another agent.
        Err(error) => {
            spdlog::error!("failed to decode the endpoint's record in the store: {error}");
            RecordAnswer::Unavailable
        }
    }
}

fn to_record_answer(error: &StoreError) -> RecordAnswer {
    match error {
        StoreError::Conflict { .. } => RecordAnswer::Conflict,
        StoreError::AnswerLost { .. } => RecordAnswer::AnswerLost,
        StoreError::Unavailable { .. } | StoreError::LeaseLapsed | StoreError::TooLarge { .. } => {
            RecordAnswer::Unavailable
        }
    }
}
