//! Records the progress and outcome of requests in the endpoint directory, the demand and the retry budget.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use oatpier_serving::capacity::host::HostPace;
use oatpier_serving::choice;
use oatpier_serving::crashes::prompt_parts::PartAttempt;
use oatpier_serving::crashes::prompt_parts::trials::PartTrial;
use oatpier_serving::directory::RequestOutcome;
use oatpier_serving::engine::EndpointLoad;
use oatpier_serving::failures::EngineFailure;
use oatpier_serving::message::InnerMessage;
use oatpier_serving::prefill::SentPrompt;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;

use super::core::{CoreState, GatewayCore};
use super::placement::RequestContext;
use super::prompt_parts;

impl GatewayCore {
    /// Records the arrival of a request.
    pub fn record_arrival(&self, context: &RequestContext) {
        if let Some(workspace) = context.identity.workspace_name() {
            self.metrics.workspaces.count_request(workspace, "taken");
        }
        let mut state = self.lock();
        state
            .allowance
            .note_request(&context.service, context.arrived);
        if let Some(weights) = &context.request.weights {
            state.demand.note_arrival(weights, context.arrived);
        }
    }

    /// Records that a request could not be served at once; each request is counted once, however often it is
    /// placed.
    pub(super) fn record_unserved(
        &self,
        state: &mut CoreState,
        context: &RequestContext,
        now: ClockTime,
    ) {
        if context.is_counted_unserved.swap(true, Ordering::Relaxed) {
            return;
        }
        if let Some(weights) = &context.request.weights {
            state.demand.note_unserved(&weights.model, now);
            if !state.has_unserved_demand {
                state.has_unserved_demand = true;
                self.demand_unserved.notify_one();
            }
        }
    }

    /// Records that a request is sent to an endpoint, and the trial that it was granted.
    pub fn record_sent(
        &self,
        context: &RequestContext,
        endpoint: &EndpointName,
        trial: Option<&PartTrial>,
    ) -> (SentPrompt, PartAttempt) {
        let now = self.clock.now();
        let chain = choice::prefix_chain(&context.request);
        let mut state = self.lock();
        let weights = context.request.weights.as_ref();
        state.suspects.begin_run(context.fingerprint);
        let attempt = prompt_parts::begin_attempt(&mut state, context, trial);
        state.directory.note_sent(endpoint, weights);
        state.directory.note_rest_probe(endpoint, now);
        let Some(weights) = weights else {
            return (state.directory.sent_without_prompt(endpoint), attempt);
        };
        let uncached =
            choice::uncached_tokens_at(&state.directory, endpoint, &context.request, now);
        state.directory.note_cached_prompt(endpoint, &chain, now);
        state.demand.note_sent(&weights.model, now);
        let sent = state
            .directory
            .note_prefill(endpoint, weights, uncached, now);
        (sent, attempt)
    }

    /// Records that an endpoint has finished the prefill of a request's prompt, or will not start it.
    pub fn record_prefill_end(&self, endpoint: &EndpointName, prompt: &SentPrompt) {
        self.lock().directory.note_prefill_end(endpoint, prompt);
    }

    /// Records the end of a request at an endpoint.
    pub fn record_end(
        &self,
        context: &RequestContext,
        endpoint: &EndpointName,
        sent: &SentPrompt,
        outcome: RequestOutcome,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        let weights = context.request.weights.as_ref();
        let makes_room = state
            .directory
            .note_end(endpoint, weights, sent, outcome, now);
        if let Some(weights) = weights {
            state.demand.note_ended(&weights.model, now);
        }
        self.report_failure(&state, context, endpoint, outcome);
        let subscription =
            makes_room.then(|| self.subscription(&mut state, &context.service, endpoint));
        drop(state);
        if let Some(due) = subscription.flatten() {
            due.send(self);
        }
        self.record_suspect_end(context, endpoint, sent, outcome);
    }

    /// Reports a failed request to the engine's sidecar, so that all gateways soon know which engines fail
    /// requests.
    fn report_failure(
        &self,
        state: &CoreState,
        context: &RequestContext,
        endpoint: &EndpointName,
        outcome: RequestOutcome,
    ) {
        let failure = match outcome {
            RequestOutcome::Broken | RequestOutcome::Untrusted => EngineFailure::Broken,
            RequestOutcome::ServerError => EngineFailure::ServerError,
            _ => return,
        };
        let row = state.directory.row(endpoint);
        let Some(row) = row.filter(|_| context.request.weights.is_some()) else {
            return;
        };
        let sidecar = SocketAddr::new(row.record.address.ip(), self.inner_port);
        self.outlet
            .send(sidecar, &InnerMessage::AttemptFailed(failure));
    }

    /// Records the first chunk of a response.
    pub fn record_first_chunk(
        &self,
        context: &RequestContext,
        endpoint: &EndpointName,
        prompt: &SentPrompt,
        took: Duration,
    ) {
        let now = self.clock.now();
        let weights = context.request.weights.as_ref();
        let mut state = self.lock();
        state
            .directory
            .note_first_chunk(endpoint, weights, prompt, took, now);
    }

    /// Records the number of chunks of a complete stream.
    pub(super) fn record_length(&self, context: &RequestContext, chunks: u32) {
        let mut state = self.lock();
        let lengths = &mut state.lengths;
        lengths.note(&context.route.name, &context.request, chunks);
    }

    /// Records the load that an endpoint reported in a response.
    pub fn record_load(&self, endpoint: &EndpointName, load: EndpointLoad) {
        self.lock().directory.apply_load(endpoint, load);
    }

    /// Records how long work takes on an endpoint's VM, as a response reported it.
    pub fn record_host_pace(&self, endpoint: &EndpointName, pace: HostPace) {
        let now = self.clock.now();
        self.lock().directory.apply_host_pace(endpoint, pace, now);
    }

    /// Records that nothing arrived from an endpoint since `since`.
    pub fn record_timeout(&self, endpoint: &EndpointName, since: ClockTime) {
        let now = self.clock.now();
        self.lock().directory.note_silence(endpoint, since, now);
    }

    /// Records that another instance responded at an endpoint's address.
    pub fn record_replaced(&self, endpoint: &EndpointName, successor: Option<&EndpointName>) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.directory.note_replaced(endpoint, successor, now);
        Self::observe_versions(&mut state, now);
        let lines = Self::take_adopted_lines(&mut state);
        drop(state);
        for line in lines {
            self.log.write(line);
        }
        self.resolve_broken();
    }
}
