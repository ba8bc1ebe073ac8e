//! What becomes of requests, for the directory, the demand and the allowance.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use oatpier_serving::choice;
use oatpier_serving::directory::EndpointOutcome;
use oatpier_serving::engine::EndpointLoad;
use oatpier_serving::failures::EngineFailure;
use oatpier_serving::message::InnerMessage;
use oatpier_serving::reading::SentPrompt;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::core::{CoreState, GatewayCore};
use super::placement::RequestPlan;

impl GatewayCore {
    /// A request came in.
    pub fn note_arrival(&self, plan: &RequestPlan) {
        if let Some(workspace) = plan.identity.name() {
            self.metrics.workspaces.asked(workspace, "taken");
        }
        let mut state = self.lock();
        state.allowance.note_request(&plan.service, plan.arrived);
        if let Some(weights) = &plan.request.weights {
            state.demand.note_asked(weights, plan.arrived);
        }
    }

    /// Counts a request once, however often it looks again.
    pub(super) fn note_unserved(&self, state: &mut CoreState, plan: &RequestPlan, now: ClockTime) {
        if plan.unserved.swap(true, Ordering::Relaxed) {
            return;
        }
        if let Some(weights) = &plan.request.weights {
            state.demand.note_unserved(&weights.model, now);
            if !state.urgent {
                state.urgent = true;
                self.pressed.notify_one();
            }
        }
    }

    /// A request goes to an endpoint.
    pub fn note_sent(&self, plan: &RequestPlan, endpoint: &EndpointName) -> SentPrompt {
        let now = self.clock.now();
        let chain = choice::prefix_chain(&plan.request);
        let mut state = self.lock();
        let weights = plan.request.weights.as_ref();
        state.crashes.begin(plan.fingerprint);
        state.directory.note_sent(endpoint, weights);
        state.directory.note_try(endpoint, now);
        let Some(weights) = weights else {
            return state.directory.sent_without_prompt(endpoint);
        };
        let unread = choice::unread_at(&state.directory, endpoint, &plan.request, now);
        state.directory.note_prompt(endpoint, &chain, now);
        state.demand.note_sent(&weights.model, now);
        state.directory.note_reading(endpoint, weights, unread)
    }

    /// An endpoint has read a request's prompt, or will not.
    pub fn note_read(&self, endpoint: &EndpointName, prompt: &SentPrompt) {
        self.lock().directory.note_read(endpoint, prompt);
    }

    /// A request is over at an endpoint.
    pub fn note_end(
        &self,
        plan: &RequestPlan,
        endpoint: &EndpointName,
        sent: &SentPrompt,
        outcome: EndpointOutcome,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        let weights = plan.request.weights.as_ref();
        let makes_room = state
            .directory
            .note_end(endpoint, weights, sent, outcome, now);
        if let Some(weights) = weights {
            state.demand.note_ended(&weights.model, now);
        }
        self.tell_failure(&state, plan, endpoint, outcome);
        let greeting = makes_room.then(|| self.greeting(&mut state, &plan.service, endpoint));
        drop(state);
        if let Some(due) = greeting.flatten() {
            due.send(self);
        }
        self.note_suspect_end(plan, endpoint, sent, outcome);
    }

    /// Tells an engine's sidecar that a request failed there, so that all gateways know soon which engines lose them.
    fn tell_failure(
        &self,
        state: &CoreState,
        plan: &RequestPlan,
        endpoint: &EndpointName,
        outcome: EndpointOutcome,
    ) {
        let failure = match outcome {
            EndpointOutcome::Broken => EngineFailure::Broken,
            EndpointOutcome::ServerError => EngineFailure::ServerError,
            _ => return,
        };
        let row = state.directory.row(endpoint);
        let Some(row) = row.filter(|_| plan.request.weights.is_some()) else {
            return;
        };
        let sidecar = SocketAddr::new(row.record.address.ip(), self.inner_port);
        self.outlet
            .send(sidecar, &InnerMessage::AttemptFailed(failure));
    }

    /// The first piece of an answer came.
    pub fn note_first(
        &self,
        plan: &RequestPlan,
        endpoint: &EndpointName,
        prompt: &SentPrompt,
        took: Duration,
    ) {
        let now = self.clock.now();
        let weights = plan.request.weights.as_ref();
        let mut state = self.lock();
        state
            .directory
            .note_first(endpoint, weights, prompt, took, now);
    }

    /// An answer told how busy its endpoint is.
    pub fn note_load(&self, endpoint: &EndpointName, load: EndpointLoad) {
        self.lock().directory.take_load(endpoint, load);
    }

    /// Nothing came from an endpoint since `since`.
    pub fn note_silence(&self, endpoint: &EndpointName, since: ClockTime) {
        let now = self.clock.now();
        self.lock().directory.note_silence(endpoint, since, now);
    }

    /// Another instance answered at an endpoint's address.
    pub fn note_replaced(&self, endpoint: &EndpointName, successor: Option<&EndpointName>) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.directory.note_replaced(endpoint, successor, now);
        drop(state);
        self.settle_cuts();
    }
}
