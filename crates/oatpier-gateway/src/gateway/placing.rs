//! Where a request goes now: to an endpoint, to wait, or back to its caller.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_serving::admission::AdmissionVerdict;
use oatpier_serving::call::WeightsKey;
use oatpier_serving::choice::{self, ChoiceQuery, ChoiceVerdict, EndpointChoice};
use oatpier_serving::message::{AdapterWish, InnerMessage};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use oatpier_types::refusal::RefusalCause;

use super::core::{CoreState, GatewayCore};
use super::placement::{PlacedSend, Placement, PlacementRefusal, RequestPlan};

/// While no engine is loading the model yet, a request waits so long for the planner to act.
const PLANNER_WAIT: Duration = Duration::from_millis(400);

/// When to come back where a model has to be loaded: about one load.
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

impl GatewayCore {
    /// What is to be done with a request now.
    pub fn place(&self, plan: &RequestPlan, excluded: &[EndpointName]) -> Placement {
        let now = self.clock.now();
        let mut state = self.lock();
        let engine = state.config.as_ref().and_then(|config| {
            let service = config.service(&plan.service)?;
            service.engine.as_ref().map(|rule| rule.adapter_slots)
        });
        let query = ChoiceQuery {
            service: &plan.service,
            request: &plan.request,
            zone: &self.zone,
            excluded,
        };
        match choice::choose(&state.directory, &query, now) {
            ChoiceVerdict::Endpoint(choice) => {
                let verdict = state.judge.judge(&choice, &plan.route, plan.arrived, now);
                if verdict != AdmissionVerdict::Send {
                    self.note_unserved(&mut state, plan, now);
                }
                match verdict {
                    AdmissionVerdict::Send => self.place_at(&mut state, plan, choice, engine, now),
                    AdmissionVerdict::Wait(most) => Placement::Pause(most),
                    AdmissionVerdict::Refuse(refusal) => Placement::Refuse(PlacementRefusal {
                        refusal,
                        best: Some(choice),
                    }),
                }
            }
            ChoiceVerdict::NoModel { loading } => {
                self.note_unserved(&mut state, plan, now);
                place_without_model(&mut state, plan, loading, now)
            }
            ChoiceVerdict::NoEndpoint => {
                let refusal = state.judge.refusal(RefusalCause::NoEndpoint, ABSENT_RETURN);
                PlacementRefusal::without_endpoint(refusal)
            }
        }
    }

    fn place_at(
        &self,
        state: &mut CoreState,
        plan: &RequestPlan,
        choice: EndpointChoice,
        engine: Option<usize>,
        now: ClockTime,
    ) -> Placement {
        let Some(row) = state.directory.row(&choice.endpoint) else {
            return Placement::Wait(MODEL_RETRY);
        };
        let address = row.record.address;
        let load_age = row.pulse_age(now);
        if choice.needs_adapter {
            if now.since(plan.arrived) > plan.weights_patience() {
                self.note_unserved(state, plan, now);
                let refusal = state
                    .judge
                    .refusal(RefusalCause::WeightsMissing, ADAPTER_RETURN);
                return Placement::Refuse(PlacementRefusal {
                    refusal,
                    best: Some(choice),
                });
            }
            let sidecar = SocketAddr::new(address.ip(), self.inner_port);
            self.wish(plan.request.weights.as_ref(), sidecar, engine.unwrap_or(0));
            return Placement::Wait(ADAPTER_RETRY);
        }
        state.directory.note_probe(&choice.endpoint, now);
        Placement::Send(PlacedSend {
            choice,
            address,
            load_age,
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

/// A request whose model nobody holds waits while there is a good chance that it is loaded in
/// time, and is told to come back otherwise.
fn place_without_model(
    state: &mut CoreState,
    plan: &RequestPlan,
    loading: bool,
    now: ClockTime,
) -> Placement {
    let waited = now.since(plan.arrived);
    let most = plan.weights_patience();
    let patience = if loading {
        most
    } else {
        most.min(PLANNER_WAIT)
    };
    if waited < patience {
        return Placement::Wait(MODEL_RETRY.min(patience.saturating_sub(waited)));
    }
    let refusal = state
        .judge
        .refusal(RefusalCause::WeightsMissing, MODEL_RETURN);
    PlacementRefusal::without_endpoint(refusal)
}
