//! Decides where a request goes now: to an endpoint, into a wait, or back to its caller with a refusal.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::admission::{AdmissionDecision, AdmissionQuery};
use oatpier_serving::call::WeightsKey;
use oatpier_serving::choice::{
    self, ChoiceOutcome, ChoiceQuery, EndpointChoice, StreamNeed, ThrottledService, VersionPin,
};
use oatpier_serving::message::{AdapterRequest, InnerMessage, PinnedModel};
use oatpier_serving::site::{EngineRule, SiteConfig};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_wire::client::ConnectionChoice;

use super::core::{CoreState, GatewayCore};
use super::placement::{PlacedSend, Placement, PlacementRefusal, RequestContext};

/// How long a request waits for the planner to act while no engine is loading the model yet.
const MAX_PLANNER_WAIT: Duration = Duration::from_millis(400);

/// The `Retry-After` sent when a model must be loaded and no sidecar of an engine that could load it is reporting.
const MODEL_RETRY_AFTER: Duration = Duration::from_millis(900);

/// The `Retry-After` sent when no adapter slot became free in time; slots become free when streams end.
const ADAPTER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The `Retry-After` sent when the service has no endpoint, or none is known yet.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The interval at which a request that waits for an adapter is placed again and its load request is repeated.
/// Loading an adapter takes 5 to 10 ms, and a lost datagram should add little to that.
const ADAPTER_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The interval at which a request that waits for a model is placed again if no change is reported.
const MODEL_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// After a rest period, waiting requests retry the endpoint in the order of their remaining wait time: each is delayed
/// by its remaining time divided by this number.
const REST_SPREAD_DIVISOR: u32 = 100;

/// The longest time for which a waiting request does not check whether its gateway is being stopped.
pub(super) const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The longest delay of a request after a rest period ends.
const MAX_REST_SPREAD: Duration = Duration::from_millis(30);

impl GatewayCore {
    /// Decides what to do with a request now.
    ///
    /// A request that is pinned to a version is not refused by the forecast on arrival, which covers endpoints of all
    /// versions.
    pub fn place(
        &self,
        context: &RequestContext,
        excluded: &[EndpointName],
        pin: &VersionPin,
    ) -> Placement {
        let now = self.clock.now();
        let mut state = self.lock();
        let config = state.config.clone();
        let engine = engine_rule(config.as_deref(), context);
        match self.choose(&state, context, excluded, pin, now) {
            ChoiceOutcome::Endpoint(choice) => {
                if excluded.is_empty()
                    && *pin == VersionPin::Any
                    && let Some(refusal) = self.refuse_on_arrival(&mut state, context, &choice, now)
                {
                    self.record_unserved(&mut state, context, now);
                    return PlacementRefusal::overloaded(refusal, choice);
                }
                let decision = state.admission.decide(&AdmissionQuery {
                    choice: &choice,
                    route: &context.route,
                    priority: context.priority(),
                    waited: now.since(context.arrived),
                    first_chunk_timeout: context.first_chunk_timeout(),
                });
                if decision != AdmissionDecision::Send {
                    self.record_unserved(&mut state, context, now);
                }
                let waits_at_sidecar = waits_at_sidecar(&state, context, &choice, now);
                match decision {
                    AdmissionDecision::Refuse(refusal) => {
                        let scheduled = excluded
                            .is_empty()
                            .then(|| self.refuse_waited(&mut state, context, now));
                        let refusal = scheduled.flatten().unwrap_or(refusal);
                        PlacementRefusal::overloaded(refusal, choice)
                    }
                    AdmissionDecision::Wait(max_wait) if !waits_at_sidecar => {
                        Placement::Sleep(max_wait)
                    }
                    AdmissionDecision::Send | AdmissionDecision::Wait(_) => {
                        let slots = engine.map_or(0, |rule| rule.adapter_slots);
                        self.place_at(&mut state, context, choice, slots, now)
                    }
                }
            }
            ChoiceOutcome::NoModel { ready_in, load } => {
                self.record_unserved(&mut state, context, now);
                if ready_in.is_none() {
                    self.request_pinned(&mut state, context, pin, now);
                }
                let pending = PendingModel { ready_in, load };
                self.place_without_model(&mut state, context, pending, now)
            }
            ChoiceOutcome::Throttled(throttled) => {
                self.record_unserved(&mut state, context, now);
                place_throttled(&mut state, context, throttled, now)
            }
            ChoiceOutcome::NoEndpoint if *pin != VersionPin::Any => {
                PlacementRefusal::without_endpoint(Refusal {
                    cause: RefusalCause::VersionMissing,
                    retry_after: None,
                })
            }
            ChoiceOutcome::NoEndpoint => {
                let refusal = state
                    .admission
                    .refusal(RefusalCause::NoEndpoint, NO_ENDPOINT_RETRY_AFTER);
                PlacementRefusal::without_endpoint(refusal)
            }
        }
    }

    /// Returns the endpoint that would serve the request best now, regardless of its queue.
    pub(super) fn best_choice(&self, context: &RequestContext) -> Option<EndpointChoice> {
        let state = self.lock();
        match self.choose(&state, context, &[], &context.pin, self.clock.now()) {
            ChoiceOutcome::Endpoint(choice) => Some(choice),
            ChoiceOutcome::NoModel { .. }
            | ChoiceOutcome::Throttled(_)
            | ChoiceOutcome::NoEndpoint => None,
        }
    }

    /// Returns the refusal of a request whose possible endpoints are all throttled: they asked for a rest period or
    /// are over their rate limit.
    pub(super) fn refusal_if_throttled(
        &self,
        context: &RequestContext,
    ) -> Option<(Refusal, ThrottledService)> {
        let mut state = self.lock();
        match self.choose(&state, context, &[], &context.pin, self.clock.now()) {
            ChoiceOutcome::Throttled(throttled) => {
                Some((state.admission.refuse_throttled(&throttled), throttled))
            }
            ChoiceOutcome::Endpoint(_)
            | ChoiceOutcome::NoModel { .. }
            | ChoiceOutcome::NoEndpoint => None,
        }
    }

    fn choose(
        &self,
        state: &CoreState,
        context: &RequestContext,
        excluded: &[EndpointName],
        pin: &VersionPin,
        now: ClockTime,
    ) -> ChoiceOutcome {
        let config = state.config.as_deref();
        let query = ChoiceQuery {
            service: &context.service,
            request: &context.request,
            zone: &self.zone,
            excluded,
            pin,
            engine: engine_rule(config, context),
            max_turn_wait: context.max_turn_wait(now),
            stream: stream_need(state, context, now),
        };
        choice::choose(&state.directory, &query, now)
    }

    /// Returns the refusal of a request that has waited for the maximum time, or that can only be late and has no
    /// chance.
    pub(super) fn refusal_if_wait_exceeded(&self, context: &RequestContext) -> Option<Refusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        if !context.has_exceeded_wait(now) && !Self::is_given_up(&state, context, now) {
            return None;
        }
        let scheduled = self.refuse_waited(&mut state, context, now);
        Some(scheduled.unwrap_or_else(|| state.admission.refuse_late(Duration::ZERO)))
    }

    /// Places a request whose model is not loaded anywhere. It waits if the model will be ready before the caller times
    /// out; otherwise it is refused at once with a `Retry-After` of the time when the model should be ready.
    fn place_without_model(
        &self,
        state: &mut CoreState,
        context: &RequestContext,
        pending: PendingModel,
        now: ClockTime,
    ) -> Placement {
        let waited = now.since(context.arrived);
        let max_wait = context.max_model_wait();
        let is_in_time = match (pending.ready_in, pending.load) {
            (Some(ready_in), _) => waited + ready_in < max_wait,
            // Callers with long timeouts wait until the load of their model starts, as long as it can still finish in
            // time.
            (None, Some(load)) => {
                waited + load < max_wait && waited < MAX_PLANNER_WAIT.max(context.route.target)
            }
            (None, None) => waited < MAX_PLANNER_WAIT.min(max_wait),
        };
        if is_in_time {
            return Placement::WaitForChange(MODEL_POLL_INTERVAL);
        }
        let ready_in = pending.time_until_ready();
        let scheduled = self.refuse_until_ready(state, context, ready_in, now);
        let refusal = scheduled.unwrap_or_else(|| {
            state
                .admission
                .refusal(RefusalCause::WeightsMissing, ready_in)
        });
        PlacementRefusal::without_endpoint(refusal)
    }

    fn place_at(
        &self,
        state: &mut CoreState,
        context: &RequestContext,
        choice: EndpointChoice,
        adapter_slots: usize,
        now: ClockTime,
    ) -> Placement {
        let Some(row) = state.directory.row(&choice.endpoint) else {
            return Placement::WaitForChange(MODEL_POLL_INTERVAL);
        };
        let address = row.record.address;
        let slots = row.record.slots;
        let version = row.record.version.clone();
        let load_age = row.status_age(now);
        if choice.needs_adapter {
            if now.since(context.arrived) > context.max_adapter_wait() {
                self.record_unserved(state, context, now);
                let refusal = state
                    .admission
                    .refusal(RefusalCause::WeightsMissing, ADAPTER_RETRY_AFTER);
                return PlacementRefusal::overloaded(refusal, choice);
            }
            let sidecar = SocketAddr::new(address.ip(), self.inner_port);
            self.request_adapter(context.request.weights.as_ref(), sidecar, adapter_slots);
            return Placement::WaitForChange(ADAPTER_POLL_INTERVAL);
        }
        state.directory.note_probe(&choice.endpoint, now);
        Placement::Send(PlacedSend {
            choice,
            address,
            version,
            slots,
            load_age,
            turn: None,
            permit: None,
            trial: None,
            connection: ConnectionChoice::Any,
            received: None,
        })
    }

    /// Asks the planner for a model at the version that a stream is pinned to.
    fn request_pinned(
        &self,
        state: &mut CoreState,
        context: &RequestContext,
        pin: &VersionPin,
        now: ClockTime,
    ) {
        let (Some(weights), VersionPin::Only(version)) = (&context.request.weights, pin) else {
            return;
        };
        let needed = PinnedModel {
            model: weights.model.clone(),
            version: version.clone(),
        };
        let planner = state.peers.planner(now);
        if planner == state.peers.own().address {
            state.planner.note_pinned(needed, now);
        } else {
            self.outlet
                .send(planner, &InnerMessage::PinnedWanted(needed));
        }
    }

    /// Records another gateway's request for a model at a version.
    pub fn note_pinned(&self, needed: PinnedModel) {
        let now = self.clock.now();
        self.lock().planner.note_pinned(needed, now);
    }

    fn request_adapter(&self, weights: Option<&WeightsKey>, sidecar: SocketAddr, slots: usize) {
        if let Some(key) = weights.and_then(WeightsKey::adapter_key) {
            let request = AdapterRequest {
                key,
                slots: u32::try_from(slots).unwrap_or(u32::MAX),
            };
            self.outlet
                .send(sidecar, &InnerMessage::AdapterWanted(request));
        }
    }
}

/// Returns what the engines of the request's service can hold, or `None` for a plain service.
fn engine_rule<'a>(
    config: Option<&'a SiteConfig>,
    context: &RequestContext,
) -> Option<&'a EngineRule> {
    config?.service(&context.service)?.engine.as_ref()
}

/// Returns what the choice of an engine for a stream depends on, if the length of the stream can be estimated.
fn stream_need(state: &CoreState, context: &RequestContext, now: ClockTime) -> Option<StreamNeed> {
    if !context.route.kind.is_stream() {
        return None;
    }
    let lengths = &state.lengths;
    Some(StreamNeed {
        chunks: lengths.expected_chunks(&context.route.name, &context.request)?,
        target: context.route.target,
        waited: now.since(context.arrived),
    })
}

/// Returns whether a request that finds no free slot waits for its permit at the engine's sidecar. The sidecar
/// knows when a slot is free and grants it to the request with the earliest deadline. A request that waits at its
/// gateway relies on the last reported state, and so do the requests of all other gateways, for the same slot.
fn waits_at_sidecar(
    state: &CoreState,
    context: &RequestContext,
    choice: &EndpointChoice,
    now: ClockTime,
) -> bool {
    let row = state.directory.row(&choice.endpoint);
    let is_reporting = row.is_some_and(|row| row.status(now).is_some());
    context.route.kind.is_stream() && choice.is_batched && !choice.is_memory_full && is_reporting
}

/// Places a request whose endpoints are all throttled: they asked for a rest period or are over their rate limit. It
/// waits if one of them accepts requests again in time; otherwise it is refused at once with a `Retry-After`.
/// Requests whose callers time out first retry first.
fn place_throttled(
    state: &mut CoreState,
    context: &RequestContext,
    throttled: ThrottledService,
    now: ClockTime,
) -> Placement {
    let spare_wait = context
        .remaining_wait(now)
        .saturating_sub(throttled.remaining);
    if spare_wait.is_zero() {
        let refusal = state.admission.refuse_throttled(&throttled);
        return PlacementRefusal::throttled(refusal, throttled);
    }
    let delay = throttled.remaining + (spare_wait / REST_SPREAD_DIVISOR).min(MAX_REST_SPREAD);
    Placement::Sleep(delay.min(STOP_CHECK_INTERVAL))
}

/// The state of a model that no engine holds.
#[derive(Debug, Clone, Copy)]
struct PendingModel {
    /// The time until the model is loaded, if an engine is loading it or is about to.
    ready_in: Option<Duration>,
    /// The shortest load time, if any engine is reporting.
    load: Option<Duration>,
}

impl PendingModel {
    /// Returns the estimated time until the model is loaded. If no load is known to be in progress, the planner
    /// schedules one within a moment if an engine is free.
    fn time_until_ready(self) -> Duration {
        let planned = || self.load.map(|load| load + MAX_PLANNER_WAIT);
        self.ready_in.or_else(planned).unwrap_or(MODEL_RETRY_AFTER)
    }
}
