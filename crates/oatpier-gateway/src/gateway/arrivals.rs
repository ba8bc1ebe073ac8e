//! Refuses requests by the forecast of their wait, and gives refused callers times to return.
//!
//! Forecasts are made for streams from engines whose sidecars report their pace. All other requests wait and are refused
//! as [`oatpier_serving::admission`] describes for requests without a forecast.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use oatpier_serving::admission;
use oatpier_serving::admission::appointments::{BookKey, ReturnQuery};
use oatpier_serving::admission::arrival::{ArrivalDecision, ArrivalQuery, ScheduledRefusal};
use oatpier_serving::admission::forecast::{ModelQueue, WaitForecast};
use oatpier_serving::choice::EndpointChoice;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::ModelName;
use oatpier_types::refusal::Refusal;

use super::core::{CoreState, GatewayCore};
use super::placement::RequestContext;
use crate::admission_metrics::RefusalStage;

/// Value of [`ArrivalForecast::expected_ms`] for a request without a forecast.
const NO_FORECAST: u32 = u32::MAX;

/// Prefill time of a prompt that is assumed while the time for its model is unknown.
const UNKNOWN_PREFILL: Duration = Duration::from_millis(50);

/// The forecast made when a request arrived.
#[derive(Debug)]
pub struct ArrivalForecast {
    expected_ms: AtomicU32,
    is_decided: AtomicBool,
    is_probe: AtomicBool,
}

impl Default for ArrivalForecast {
    fn default() -> Self {
        Self {
            expected_ms: AtomicU32::new(NO_FORECAST),
            is_decided: AtomicBool::new(false),
            is_probe: AtomicBool::new(false),
        }
    }
}

impl ArrivalForecast {
    /// Returns the expected wait in milliseconds, if there was a forecast.
    pub(super) fn expected_ms(&self) -> Option<u32> {
        let expected_ms = self.expected_ms.load(Ordering::Relaxed);
        (expected_ms != NO_FORECAST).then_some(expected_ms)
    }

    fn set(&self, forecast: WaitForecast) {
        let expected_ms = u32::try_from(forecast.expected.as_millis()).unwrap_or(NO_FORECAST);
        self.expected_ms.store(expected_ms, Ordering::Relaxed);
    }

    fn is_probe(&self) -> bool {
        self.is_probe.load(Ordering::Relaxed)
    }
}

/// A request with the queues for its model.
struct QueuedArrival<'a> {
    context: &'a RequestContext,
    key: BookKey,
    queue: ModelQueue,
    gateways: usize,
}

impl<'a> QueuedArrival<'a> {
    /// Returns `None` if no forecast can be made for the request.
    fn observe(state: &CoreState, context: &'a RequestContext, now: ClockTime) -> Option<Self> {
        let model = &context.request.weights.as_ref()?.model;
        if !context.route.kind.is_stream() {
            return None;
        }
        Some(Self {
            context,
            key: book_key(context, model),
            queue: ModelQueue::observe(&state.directory, &context.service, model, now)?,
            gateways: state.peers.count(now),
        })
    }

    fn query(&self, now: ClockTime) -> ArrivalQuery<'_> {
        ArrivalQuery {
            key: &self.key,
            route: &self.context.route,
            request: &self.context.fingerprint,
            waited: now.since(self.context.arrived),
            first_chunk_timeout: self.context.first_chunk_timeout(),
            time_left: self.context.deadline.since(now),
            queue: self.queue,
            gateways: self.gateways,
        }
    }
}

fn book_key(context: &RequestContext, model: &ModelName) -> BookKey {
    BookKey {
        service: context.service.clone(),
        model: model.clone(),
    }
}

impl GatewayCore {
    /// Returns the refusal of a request that arrives, if the forecast gives it no chance. A request is decided on once.
    pub(super) fn refuse_on_arrival(
        &self,
        state: &mut CoreState,
        context: &RequestContext,
        choice: &EndpointChoice,
        now: ClockTime,
    ) -> Option<Refusal> {
        if context.forecast.is_decided.swap(true, Ordering::Relaxed) {
            return None;
        }
        let arrival = QueuedArrival::observe(state, context, now)?;
        let query = arrival.query(now);
        let decision = state.admission.decide_arrival(&query, now);
        match decision {
            ArrivalDecision::Admit(forecast) => {
                context.forecast.set(forecast);
                let has_room = forecast.expected.is_zero() && choice.occupancy < 1.0;
                if has_room && state.admission.is_idle_room(&arrival.key, now) {
                    self.metrics.admission.count_idle_room();
                }
                None
            }
            ArrivalDecision::Probe(forecast) => {
                context.forecast.set(forecast);
                context.forecast.is_probe.store(true, Ordering::Relaxed);
                None
            }
            ArrivalDecision::Refuse(forecast, refused) => {
                context.forecast.set(forecast);
                Some(self.count_refused(state, refused, RefusalStage::Arrival, now))
            }
        }
    }

    /// Returns whether a request that waits has become late and has no chance.
    pub(super) fn is_given_up(state: &CoreState, context: &RequestContext, now: ClockTime) -> bool {
        let is_late = now.since(context.arrived) > admission::max_timely_wait(&context.route);
        if !is_late || context.forecast.is_probe() {
            return false;
        }
        let arrival = QueuedArrival::observe(state, context, now);
        arrival.is_some_and(|arrival| state.admission.is_given_up(&arrival.query(now)))
    }

    /// Returns the refusal of a request whose wait has ended without a permit; `None` if there is no forecast.
    pub(super) fn refuse_waited(
        &self,
        state: &mut CoreState,
        context: &RequestContext,
        now: ClockTime,
    ) -> Option<Refusal> {
        let arrival = QueuedArrival::observe(state, context, now)?;
        let refused = state.admission.refuse_waited(&arrival.query(now), now);
        if context.forecast.is_probe() {
            self.metrics.admission.count_probe(false);
        }
        let refusal_stage = if context.has_exceeded_wait(now) {
            RefusalStage::WaitEnd
        } else {
            RefusalStage::Late
        };
        Some(self.count_refused(state, refused, refusal_stage, now))
    }

    /// Returns the refusal of a request whose model is ready after `ready_in`; `None` if no sidecar of the service
    /// reports its engine's pace.
    pub(super) fn refuse_until_ready(
        &self,
        state: &mut CoreState,
        context: &RequestContext,
        ready_in: Duration,
        now: ClockTime,
    ) -> Option<Refusal> {
        let model = &context.request.weights.as_ref()?.model;
        let has_pace = state
            .directory
            .service(&context.service)
            .any(|row| row.pace(now).is_some());
        if !has_pace {
            return None;
        }
        let tokens = f64::from(context.request.prompt_tokens);
        let known_ms = state
            .directory
            .prefill_estimator()
            .prefill_ms(model, tokens);
        let prefill_ms = if known_ms > 0.0 {
            known_ms
        } else {
            UNKNOWN_PREFILL.as_secs_f64() * 1e3
        };
        let query = ReturnQuery {
            request: &context.fingerprint,
            room_in: ready_in,
            time_left: context.deadline.since(now),
            served_per_s: 1e3 / prefill_ms,
            gateways: state.peers.count(now),
        };
        let key = book_key(context, model);
        let refused = state.admission.refuse_until_ready(&key, &query, now);
        Some(self.count_refused(state, refused, RefusalStage::ModelMissing, now))
    }

    /// Records that a request got its permit.
    pub(super) fn record_permit(&self, context: &RequestContext) {
        if context.forecast.expected_ms().is_none() {
            return;
        }
        let now = self.clock.now();
        let waited = now.since(context.arrived);
        self.lock()
            .admission
            .note_served(&context.route.name, waited, now);
        if context.forecast.is_probe() {
            self.metrics.admission.count_probe(true);
        }
    }

    fn count_refused(
        &self,
        state: &mut CoreState,
        refused: ScheduledRefusal,
        at_stage: RefusalStage,
        now: ClockTime,
    ) -> Refusal {
        let metrics = &self.metrics.admission;
        metrics.count_refusal(at_stage);
        metrics.count_return_time(refused.has_room);
        metrics.set_outstanding(state.admission.outstanding_returns(now));
        refused.refusal
    }
}
