//! Sends an attempt to an agent as an entry does.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oatpier_agent::attempt::AttemptTask;
use oatpier_agent::core::{AgentCore, AttemptArrival};
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::request::{AttemptSpec, RequestGoal, TokenDemand};
use oatpier_types::status::AdmissionTicket;
use oatpier_types::verdict::Repeat;
use oatpier_wire::attempt::{AttemptFrame, AttemptHead};
use tokio::sync::mpsc;

/// An attempt from the entry's side.
pub struct TestAttempt {
    core: Arc<AgentCore>,
    pub spec: AttemptSpec,
    pub ticket: AdmissionTicket,
    /// Name of the model in the body.
    pub model: String,
}

impl TestAttempt {
    /// Creates an attempt with a unique number for an agent.
    pub fn new(core: Arc<AgentCore>, number: u128, model: &str, tokens: u32) -> Self {
        let report = core.queue_report().unwrap();
        let spec = AttemptSpec {
            attempt: AttemptId(number),
            request: RequestId(number),
            goal: RequestGoal::Model {
                model: model.try_into().unwrap(),
                adapter: None,
            },
            class: "drafting".try_into().unwrap(),
            caller: "amara".try_into().unwrap(),
            repeat: Repeat::Idempotent,
            remaining: Duration::from_secs(20),
            tokens: TokenDemand {
                prompt: 4,
                output: tokens,
            },
            resume_after: 0,
        };
        Self {
            core,
            spec,
            ticket: AdmissionTicket::of(&report),
            model: model.to_owned(),
        }
    }

    pub fn id(&self) -> AttemptId {
        self.spec.attempt
    }

    /// Sends the attempt and returns its frames, or `None` if it is a duplicate.
    pub fn arrive(&self) -> Option<mpsc::Receiver<AttemptFrame>> {
        let arrival = self.core.arrive(self.spec.clone(), self.ticket);
        let AttemptArrival::Accepted(orders) = arrival else {
            return None;
        };
        let (frames, receiver) = mpsc::channel(16);
        let body = serde_json::json!({
            "model": self.model, "stream": true, "max_tokens": self.spec.tokens.output,
            "messages": [{"role": "user", "content": "a table"}],
        });
        let head = AttemptHead {
            spec: self.spec.clone(),
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            headers: Vec::new(),
            key: None,
            traceparent: None,
            ticket: self.ticket,
        };
        let body = Bytes::from(body.to_string());
        let core = Arc::clone(&self.core);
        let task = AttemptTask::new(core, head, body, orders, frames);
        tokio::spawn(task.run());
        Some(receiver)
    }
}

/// Returns the last frame of an attempt, and the number of tokens before it.
pub async fn last_frame(frames: &mut mpsc::Receiver<AttemptFrame>) -> (u32, AttemptFrame) {
    let mut sum = 0;
    loop {
        match frames
            .recv()
            .await
            .expect("an attempt must end with a last frame")
        {
            AttemptFrame::Started { .. } => {}
            AttemptFrame::Piece { tokens, .. } => sum += tokens,
            last => return (sum, last),
        }
    }
}
