//! Where a request goes now: to an endpoint, to wait, or back to its caller.

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

/// While no engine is loading the model yet, a request waits so long for the planner to act.
const PLANNER_WAIT: Duration = Duration::from_millis(400);

/// When to come back where a model has to be loaded and no engine is heard that could.
const MODEL_RETURN: Duration = Duration::from_millis(900);

/// When to come back where an adapter found no place in time: places are free when streams end.
const ADAPTER_RETURN: Duration = Duration::from_millis(300);

/// When to come back where no endpoint is there, or none is known yet.
const ABSENT_RETURN: Duration = Duration::from_millis(500);

/// How soon a request that waits for an adapter asks again, and repeats its wish: a load takes 5 to
/// 10 ms, and a lost datagram should cost little more.
const ADAPTER_RETRY: Duration = Duration::from_millis(25);

/// How soon a request that waits for a model asks again if nothing is heard.
const MODEL_RETRY: Duration = Duration::from_millis(100);

/// After a rest requests look at its endpoint in the order of the time that they can still wait: by so much of it later.
const LOOK_SLACKS: u32 = 100;

/// The longest time for which a request that waits does not look whether its gateway is being stopped.
pub(super) const LONGEST_PAUSE: Duration = Duration::from_millis(100);

/// The latest look of a request after a rest.
const LATEST_LOOK: Duration = Duration::from_millis(30);

impl GatewayCore {
    /// What is to be done with a request now.
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

    /// The endpoint that would serve the request best now, whatever waits there.
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

    /// The refusal of a request whose endpoints have all asked to be left alone.
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

    /// The refusal of a request that has waited as long as it may.
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

/// What the engines of the request's service may hold; none for a plain service.
fn engine_of<'a>(config: Option<&'a SiteConfig>, plan: &RequestPlan) -> Option<&'a EngineRule> {
    config?.service(&plan.service)?.engine.as_ref()
}

/// Whether a request that finds no slot waits for its permit at the sidecar of the engine. The sidecar knows
/// when a slot is free and gives it to whoever would be late first; a request that waits at its gateway looks
/// at what the gateway heard last, and so do those of all other gateways, at the same slot.
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

/// A request whose endpoints asked to be left alone waits if one of them takes requests again in time, and is told at
/// once to come back when it does otherwise. Those whose callers leave first look first.
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

/// What is known of a model that nobody holds.
#[derive(Debug, Clone, Copy)]
struct ComingModel {
    /// When it will be there, if an engine loads it or is about to.
    ready_in: Option<Duration>,
    /// How long a load takes at best, if any engine is heard.
    load: Option<Duration>,
}

impl ComingModel {
    /// When the model will be there as far as can be told. No load is under way where none is known, and the
    /// planner advises one within a moment if an engine is free.
    fn expected(self) -> Duration {
        let planned = || self.load.map(|load| load + PLANNER_WAIT);
        self.ready_in.or_else(planned).unwrap_or(MODEL_RETURN)
    }
}

/// A request whose model nobody holds waits if it will be there before its caller leaves, and is told at once
/// to come back when it should be there otherwise.
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
        // Patient callers wait while their model waits for its turn, as long as a load can still be done in time.
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
