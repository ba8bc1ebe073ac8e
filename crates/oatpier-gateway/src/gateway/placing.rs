//! Decides where a request goes now: to an endpoint, into a wait, or back to its caller with a refusal.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::admission::{AdmissionQuery, AdmissionVerdict};
use oatpier_serving::call::WeightsKey;
use oatpier_serving::choice::{self, ChoiceQuery, ChoiceVerdict, EndpointChoice, HeldService};
use oatpier_serving::message::{AdapterWish, InnerMessage};
use oatpier_serving::site::{EngineRule, SiteConfig};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use oatpier_types::refusal::{Refusal, RefusalCause};

use super::core::{CoreState, GatewayCore};
use super::placement::{PlacedSend, Placement, PlacementRefusal, RequestPlan};

/// How long a request waits for the planner to act while no engine is loading the model yet.
const PLANNER_WAIT: Duration = Duration::from_millis(400);

/// The `Retry-After` sent when a model must be loaded and no sidecar of an engine that could load it is reporting.
const MODEL_RETURN: Duration = Duration::from_millis(900);

/// The `Retry-After` sent when no adapter slot became free in time; slots become free when streams end.
const ADAPTER_RETURN: Duration = Duration::from_millis(300);

/// The `Retry-After` sent when the service has no endpoint, or none is known yet.
const ABSENT_RETURN: Duration = Duration::from_millis(500);

/// The interval at which a request that waits for an adapter is placed again and its load request is repeated.
/// Loading an adapter takes 5 to 10 ms, and a lost datagram should add little to that.
const ADAPTER_RETRY: Duration = Duration::from_millis(25);

/// The interval at which a request that waits for a model is placed again if no change is reported.
const MODEL_RETRY: Duration = Duration::from_millis(100);

/// After a back-off, waiting requests retry the endpoint in the order of their remaining wait time: each is delayed
/// by its remaining time divided by this number.
const LOOK_SLACKS: u32 = 100;

/// The longest time for which a waiting request does not check whether its gateway is being stopped.
pub(super) const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// The longest delay of a request after a back-off ends.
const LATEST_LOOK: Duration = Duration::from_millis(30);

impl GatewayCore {
    /// Decides what to do with a request now.
    pub fn place(&self, plan: &RequestPlan, excluded: &[EndpointName]) -> Placement {
        let now = self.clock.now();
        let mut state = self.lock();
        let config = state.config.clone();
        let engine = engine_of(config.as_deref(), plan);
        match self.choose(&state, plan, excluded, engine, now) {
            ChoiceVerdict::Endpoint(choice) => {
                let verdict = state.judge.judge(&AdmissionQuery {
                    choice: &choice,
                    route: &plan.route,
                    priority: plan.priority(),
                    waited: now.since(plan.arrived),
                    patience: plan.first_patience(),
                });
                if verdict != AdmissionVerdict::Send {
                    self.note_unserved(&mut state, plan, now);
                }
                let queues = queues_at_engine(&state, plan, &choice, now);
                match verdict {
                    AdmissionVerdict::Refuse(refusal) => Placement::Refuse(PlacementRefusal {
                        refusal,
                        best: Some(choice),
                        held: None,
                    }),
                    AdmissionVerdict::Wait(most) if !queues => Placement::Pause(most),
                    AdmissionVerdict::Send | AdmissionVerdict::Wait(_) => {
                        let slots = engine.map_or(0, |rule| rule.adapter_slots);
                        self.place_at(&mut state, plan, choice, slots, now)
                    }
                }
            }
            ChoiceVerdict::NoModel { ready_in, load } => {
                self.note_unserved(&mut state, plan, now);
                let coming = ComingModel { ready_in, load };
                place_without_model(&mut state, plan, coming, now)
            }
            ChoiceVerdict::Held(held) => {
                self.note_unserved(&mut state, plan, now);
                place_held(&mut state, plan, held, now)
            }
            ChoiceVerdict::NoEndpoint => {
                let refusal = state.judge.refusal(RefusalCause::NoEndpoint, ABSENT_RETURN);
                PlacementRefusal::without_endpoint(refusal)
            }
        }
    }

    /// Returns the endpoint that would serve the request best now, regardless of its queue.
    pub(super) fn best_choice(&self, plan: &RequestPlan) -> Option<EndpointChoice> {
        let state = self.lock();
        let config = state.config.clone();
        let engine = engine_of(config.as_deref(), plan);
        match self.choose(&state, plan, &[], engine, self.clock.now()) {
            ChoiceVerdict::Endpoint(choice) => Some(choice),
            ChoiceVerdict::NoModel { .. } | ChoiceVerdict::Held(_) | ChoiceVerdict::NoEndpoint => {
                None
            }
        }
    }

    /// Returns the refusal of a request whose possible endpoints have all asked for a back-off or are over their
    /// rate limit.
    pub(super) fn held_everywhere(&self, plan: &RequestPlan) -> Option<(Refusal, HeldService)> {
        let mut state = self.lock();
        let config = state.config.clone();
        let engine = engine_of(config.as_deref(), plan);
        match self.choose(&state, plan, &[], engine, self.clock.now()) {
            ChoiceVerdict::Held(held) => Some((state.judge.held(&held), held)),
            ChoiceVerdict::Endpoint(_)
            | ChoiceVerdict::NoModel { .. }
            | ChoiceVerdict::NoEndpoint => None,
        }
    }

    fn choose(
        &self,
        state: &CoreState,
        plan: &RequestPlan,
        excluded: &[EndpointName],
        engine: Option<&EngineRule>,
        now: ClockTime,
    ) -> ChoiceVerdict {
        let query = ChoiceQuery {
            service: &plan.service,
            request: &plan.request,
            zone: &self.zone,
            excluded,
            engine,
            turn_patience: plan.turn_patience(now),
        };
        choice::choose(&state.directory, &query, now)
    }

    /// Returns the refusal of a request that has waited for the maximum time.
    pub(super) fn give_up_wait(&self, plan: &RequestPlan) -> Option<Refusal> {
        let is_over = plan.has_waited_out(self.clock.now());
        is_over.then(|| self.lock().judge.too_late(Duration::ZERO))
    }

    fn place_at(
        &self,
        state: &mut CoreState,
        plan: &RequestPlan,
        choice: EndpointChoice,
        adapter_slots: usize,
        now: ClockTime,
    ) -> Placement {
        let Some(row) = state.directory.row(&choice.endpoint) else {
            return Placement::Wait(MODEL_RETRY);
        };
        let address = row.record.address;
        let slots = row.record.slots;
        let load_age = row.pulse_age(now);
        if choice.needs_adapter {
            if now.since(plan.arrived) > plan.adapter_patience() {
                self.note_unserved(state, plan, now);
                let refusal = state
                    .judge
                    .refusal(RefusalCause::WeightsMissing, ADAPTER_RETURN);
                return Placement::Refuse(PlacementRefusal {
                    refusal,
                    best: Some(choice),
                    held: None,
                });
            }
            let sidecar = SocketAddr::new(address.ip(), self.inner_port);
            self.wish(plan.request.weights.as_ref(), sidecar, adapter_slots);
            return Placement::Wait(ADAPTER_RETRY);
        }
        state.directory.note_probe(&choice.endpoint, now);
        Placement::Send(PlacedSend {
            choice,
            address,
            slots,
            load_age,
            turn: None,
            permit: None,
        })
    }

    fn wish(&self, weights: Option<&WeightsKey>, sidecar: SocketAddr, slots: usize) {
        if let Some(key) = weights.and_then(WeightsKey::adapter_key) {
            let wish = AdapterWish {
                key,
                slots: u32::try_from(slots).unwrap_or(u32::MAX),
            };
            self.outlet
                .send(sidecar, &InnerMessage::AdapterWanted(wish));
        }
    }
}

/// Returns what the engines of the request's service can hold, or `None` for a plain service.
fn engine_of<'a>(config: Option<&'a SiteConfig>, plan: &RequestPlan) -> Option<&'a EngineRule> {
    config?.service(&plan.service)?.engine.as_ref()
}

/// Returns whether a request that finds no free slot waits for its permit at the engine's sidecar. The sidecar
/// knows when a slot is free and grants it to the request with the earliest deadline. A request that waits at its
/// gateway relies on the last reported state, and so do the requests of all other gateways, for the same slot.
fn queues_at_engine(
    state: &CoreState,
    plan: &RequestPlan,
    choice: &EndpointChoice,
    now: ClockTime,
) -> bool {
    let row = state.directory.row(&choice.endpoint);
    let is_heard = row.is_some_and(|row| row.pulse(now).is_some());
    plan.route.kind.is_stream() && choice.batches && !choice.memory_full && is_heard
}

/// Places a request whose endpoints have all asked for a back-off or are over their rate limit. It waits if one of
/// them accepts requests again in time; otherwise it is refused at once with a `Retry-After`. Requests whose
/// callers time out first retry first.
fn place_held(
    state: &mut CoreState,
    plan: &RequestPlan,
    held: HeldService,
    now: ClockTime,
) -> Placement {
    let slack = plan.wait_left(now).saturating_sub(held.left);
    if slack.is_zero() {
        let refusal = state.judge.held(&held);
        return PlacementRefusal::held(refusal, held);
    }
    let until_look = held.left + (slack / LOOK_SLACKS).min(LATEST_LOOK);
    Placement::Pause(until_look.min(LONGEST_PAUSE))
}

/// The state of a model that no engine holds.
#[derive(Debug, Clone, Copy)]
struct ComingModel {
    /// The time until the model is loaded, if an engine is loading it or is about to.
    ready_in: Option<Duration>,
    /// The shortest load time, if any engine is reporting.
    load: Option<Duration>,
}

impl ComingModel {
    /// Returns the estimated time until the model is loaded. If no load is known to be in progress, the planner
    /// schedules one within a moment if an engine is free.
    fn expected(self) -> Duration {
        let planned = || self.load.map(|load| load + PLANNER_WAIT);
        self.ready_in.or_else(planned).unwrap_or(MODEL_RETURN)
    }
}

/// Places a request whose model is not loaded anywhere. It waits if the model will be ready before the caller times
/// out; otherwise it is refused at once with a `Retry-After` of the time when the model should be ready.
fn place_without_model(
    state: &mut CoreState,
    plan: &RequestPlan,
    coming: ComingModel,
    now: ClockTime,
) -> Placement {
    let waited = now.since(plan.arrived);
    let most = plan.model_patience();
    let is_in_time = match (coming.ready_in, coming.load) {
        (Some(ready_in), _) => waited + ready_in < most,
        // Callers with long timeouts wait until the load of their model starts, as long as it can still finish in
        // time.
        (None, Some(load)) => waited + load < most && waited < PLANNER_WAIT.max(plan.route.target),
        (None, None) => waited < PLANNER_WAIT.min(most),
    };
    if is_in_time {
        return Placement::Wait(MODEL_RETRY);
    }
    let refusal = state
        .judge
        .refusal(RefusalCause::WeightsMissing, coming.expected());
    PlacementRefusal::without_endpoint(refusal)
}
