//! Selects the endpoint that gets a request.
//!
//! Every candidate gets a predicted time to the first chunk of the response, and a cost that adds what the
//! prediction leaves out: another availability zone, an adapter that is not loaded yet, and recent
//! failures. Where engines differ in pace, streams are also weighed by whether they would finish in time there. The
//! candidate with the lowest cost is selected.

mod cost;
mod finish;
mod prefixes;
mod version_pin;

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, PoolName, ZoneName};
use smallvec::SmallVec;

use crate::call::{CallerRequest, WeightsKey};
use crate::directory::{EndpointDirectory, EndpointRow};
use crate::site::EngineRule;

use finish::ScoredEndpoint;
pub use finish::{StreamNeed, StreamPrediction};
pub use prefixes::{prefix_chain, uncached_tokens_at};
pub use version_pin::VersionPin;

/// Time until a request is offered again to an endpoint that was in a rest period and has just been sent a first
/// request.
const PROBE_INTERVAL: Duration = Duration::from_millis(25);

/// Input of a selection.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'a> {
    /// The service.
    pub service: &'a PoolName,
    /// The request.
    pub request: &'a CallerRequest,
    /// Availability zone of the gateway.
    pub zone: &'a ZoneName,
    /// Endpoints that were already sent the request.
    pub excluded: &'a [EndpointName],
    /// Software versions at which the request may be served.
    pub pin: &'a VersionPin,
    /// Configuration of the service's engines; `None` for a plain service.
    pub engine: Option<&'a EngineRule>,
    /// Longest time that the request can wait for its turn at a rate-limited endpoint.
    pub max_turn_wait: Duration,
    /// What the choice depends on for a stream; `None` for other responses, or if nothing is known about its length.
    pub stream: Option<StreamNeed>,
}

/// The endpoint selected for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointChoice {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Predicted time to the first chunk of the response.
    pub predicted: Duration,
    /// Part of that time until a slot is free.
    pub queue: Duration,
    /// Whether the adapter has to be loaded first.
    pub needs_adapter: bool,
    /// Share of slots that are taken. Above 1 if requests wait.
    pub occupancy: f64,
    /// Whether the endpoint has no memory for the request.
    pub is_memory_full: bool,
    /// Whether the endpoint is an engine, which serves all its requests in one batch.
    pub is_batched: bool,
    /// Time to prefill the prompt of the request. Zero also while the speed of the endpoint is unknown.
    pub own_prefill: Duration,
    /// Number of prompt tokens that the endpoint has to prefill, as far as known.
    pub prefill_tokens: u32,
    /// Predicted course of a stream there, if the pace of the engine is known.
    pub stream: Option<StreamPrediction>,
}

/// Result of a selection.
#[derive(Debug, Clone, PartialEq)]
pub enum ChoiceOutcome {
    /// The request can go to this endpoint.
    Endpoint(EndpointChoice),
    /// No endpoint holds the model: it is being loaded or has to be loaded.
    NoModel {
        /// Time until the model is loaded, if an engine is loading it or is about to.
        ready_in: Option<Duration>,
        /// Duration of the shortest possible load on any engine whose state is known.
        load: Option<Duration>,
    },
    /// All endpoints that could serve the request are rate limited or in a rest period.
    Throttled(ThrottledService),
    /// The service has no endpoint at an allowed version, or all of them were already sent the request.
    NoEndpoint,
}

/// Reason and duration for which no endpoint accepts a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ThrottledService {
    /// The endpoint that accepts requests again first.
    pub endpoint: EndpointName,
    /// Reason at that endpoint.
    pub cause: ThrottleCause,
    /// Time until it accepts requests again.
    pub remaining: Duration,
}

/// Reason not to send a request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ThrottleCause {
    /// The endpoint's rate limit over all gateways.
    RateLimit,
    /// The rest period that the endpoint requested from this gateway.
    RestPeriod,
}

impl ThrottleCause {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RateLimit => "limit",
            Self::RestPeriod => "rest",
        }
    }
}

/// Selects an endpoint for a request.
#[must_use]
pub fn choose(
    directory: &EndpointDirectory,
    query: &ChoiceQuery<'_>,
    now: ClockTime,
) -> ChoiceOutcome {
    let chain = prefix_chain(query.request);
    let holders = directory.prefixes().holders(&chain, now);
    let mut endpoints: SmallVec<[ScoredEndpoint; 4]> = SmallVec::new();
    let mut skipped = SkippedEndpoints::default();
    for row in directory.service(query.service) {
        let is_allowed = query.pin.allows(row.record.version.as_ref());
        if !is_allowed || !row.is_open(now) || query.excluded.contains(&row.record.name) {
            continue;
        }
        skipped.has_open = true;
        if !holds_model(row, query.request.weights.as_ref(), now) {
            skipped.note_model_missing(row, query, now);
            continue;
        }
        if !row.allows_request(now) {
            skipped.note_throttled(
                row,
                ThrottleCause::RestPeriod,
                row.rest_left(now).max(PROBE_INTERVAL),
            );
            continue;
        }
        let turn_wait = row.min_turn_wait(now);
        if turn_wait > query.max_turn_wait {
            skipped.note_throttled(row, ThrottleCause::RateLimit, turn_wait);
            continue;
        }
        endpoints.push(cost::score(directory, row, query, &holders, now));
    }
    if let Some(need) = &query.stream {
        finish::add_late_costs(&mut endpoints, need);
    }
    let costs =
        |one: &ScoredEndpoint, other: &ScoredEndpoint| one.cost_ms.total_cmp(&other.cost_ms);
    match (endpoints.into_iter().min_by(costs), skipped.throttled) {
        (Some(best), _) => ChoiceOutcome::Endpoint(best.choice),
        (None, Some(throttled)) => ChoiceOutcome::Throttled(throttled),
        (None, None) if skipped.has_open => ChoiceOutcome::NoModel {
            ready_in: skipped.ready_in,
            load: skipped.load,
        },
        (None, None) => ChoiceOutcome::NoEndpoint,
    }
}

/// Summary of the endpoints that cannot serve the request.
#[derive(Debug, Default)]
struct SkippedEndpoints {
    has_open: bool,
    ready_in: Option<Duration>,
    load: Option<Duration>,
    throttled: Option<ThrottledService>,
}

impl SkippedEndpoints {
    fn note_throttled(&mut self, row: &EndpointRow, cause: ThrottleCause, remaining: Duration) {
        if self
            .throttled
            .as_ref()
            .is_none_or(|earliest| remaining < earliest.remaining)
        {
            self.throttled = Some(ThrottledService {
                endpoint: row.record.name.clone(),
                cause,
                remaining,
            });
        }
    }

    fn note_model_missing(&mut self, row: &EndpointRow, query: &ChoiceQuery<'_>, now: ClockTime) {
        let Some((weights, rule)) = query.request.weights.as_ref().zip(query.engine) else {
            return;
        };
        let ready_in = row.ready_in(&weights.model, rule, now);
        self.ready_in = earlier(self.ready_in, ready_in);
        self.load = earlier(self.load, row.load_time(&weights.model, rule, now));
    }
}

fn earlier(one: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    one.into_iter().chain(other).min()
}

fn holds_model(row: &EndpointRow, weights: Option<&WeightsKey>, now: ClockTime) -> bool {
    weights.is_none_or(|weights| row.holds(&weights.model, now))
}
