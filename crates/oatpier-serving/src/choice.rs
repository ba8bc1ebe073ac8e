//! Selects the endpoint that gets a request.
//!
//! Every candidate gets a predicted time to the first chunk of the response, and a cost that adds what the
//! prediction leaves out: another availability zone, an adapter that is not loaded yet, and recent
//! failures. The candidate with the lowest cost is selected.

use std::time::Duration;

use oatpier_policy::prefix::PrefixHolder;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, PoolName, ZoneName};
use smallvec::SmallVec;

use crate::call::{CallerRequest, PromptPart, WeightsKey};
use crate::directory::{AdapterState, EndpointDirectory, EndpointRow, UNITS_PER_PART};
use crate::site::EngineRule;

/// Cost of sending a request to another availability zone, in milliseconds of waiting. Covers the round
/// trip of about 3 ms and the charge for traffic between zones.
const OTHER_ZONE_MS: f64 = 8.0;

/// Cost of an adapter that is being loaded, in milliseconds.
const ADAPTER_LOADING_MS: f64 = 8.0;

/// Cost of an adapter that has to be loaded into a free slot, in milliseconds. Covers a load of 5 to 10 ms,
/// the message to the sidecar, and the adapter that may have to be unloaded.
const ADAPTER_LOAD_MS: f64 = 25.0;

/// Cost of an adapter that has to be loaded while all adapter slots are in use or the engine carries out an
/// order for a model, in milliseconds. A slot is free when the streams of another adapter have ended.
const ADAPTER_FULL_MS: f64 = 400.0;

/// Cost of an endpoint whose requests all fail, in milliseconds. Waiting for one second in a queue
/// elsewhere costs less.
const ALL_FAILED_MS: f64 = 1_500.0;

/// Cost of an engine that loses all requests according to all gateways together, in milliseconds. In
/// proportion to the share of lost requests, avoiding a loss justifies waiting as long as the response is
/// still in time.
const ALL_LOST_MS: f64 = 600.0;

/// Cost of an endpoint that was ejected, in milliseconds. Such an endpoint is selected only if no other one
/// holds the model.
const EJECTED_MS: f64 = 5_000.0;

/// Cost of an engine whose sidecar is overdue, in milliseconds. Its VM may be frozen or partitioned, and
/// all requests sent there are lost in that case. The cost is higher than that of any queue that is still
/// in time, so that requests go there only if there is no alternative. A sidecar that was merely restarted
/// is back within a second.
const OVERDUE_MS: f64 = 300.0;

/// Cost of a full batch compared with an empty one, in milliseconds. Decoding steps get slower as the batch
/// grows, so requests are spread over engines before slots run out.
const FULL_BATCH_MS: f64 = 40.0;

/// Share of an engine's memory above which new requests would evict running ones.
const MAX_MEMORY_SHARE: f64 = 0.93;

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
    /// Configuration of the service's engines; `None` for a plain service.
    pub engine: Option<&'a EngineRule>,
    /// Longest time that the request can wait for its turn at a rate-limited endpoint.
    pub max_turn_wait: Duration,
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
    /// The service has no endpoint, or all of them were already sent the request.
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
    let mut best: Option<(f64, EndpointChoice)> = None;
    let mut skipped = SkippedEndpoints::default();
    for row in directory.service(query.service) {
        if !row.is_open(now) || query.excluded.contains(&row.record.name) {
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
        let scored = score(directory, row, query, &holders, now);
        if best.as_ref().is_none_or(|(cost, _)| scored.0 < *cost) {
            best = Some(scored);
        }
    }
    match (best, skipped.throttled) {
        (Some((_, choice)), _) => ChoiceOutcome::Endpoint(choice),
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

/// Returns the cost of sending a request to an endpoint, and the choice of that endpoint.
fn score(
    directory: &EndpointDirectory,
    row: &EndpointRow,
    query: &ChoiceQuery<'_>,
    holders: &[PrefixHolder],
    now: ClockTime,
) -> (f64, EndpointChoice) {
    let slots = f64::from(row.record.slots.max(1));
    let in_use = f64::from(row.request_count());
    let batch_share = (in_use / slots).min(1.0);
    let turn_ms = row.min_turn_wait(now).as_secs_f64() * 1e3;
    let queue_ms = queue_ms(row, query.request, now);
    let uncached = uncached_tokens(row, query.request, holders);
    let own_ms = prefill_ms(directory, query.request, uncached);
    let ahead_ms = row.pending_prefill_ms(now);
    let first_ms = row.first_chunk.mean_ms() + ahead_ms + own_ms;
    let adapter = adapter_ms(row, query, now);
    let mut cost = turn_ms.max(queue_ms) + first_ms + adapter + batch_share * FULL_BATCH_MS;
    cost += row.failure_share(now).powi(2) * ALL_FAILED_MS;
    cost += row.fleet_failure_share(now) * ALL_LOST_MS;
    cost += row.record.cold.as_secs_f64().min(1.0) * FULL_BATCH_MS;
    if row.record.zone != *query.zone {
        cost += OTHER_ZONE_MS;
    }
    if row.is_overdue(now) {
        cost += OVERDUE_MS;
    }
    if directory.fault(row, now).is_some() {
        cost += EJECTED_MS;
    }
    let choice = EndpointChoice {
        endpoint: row.record.name.clone(),
        predicted: Duration::from_secs_f64((queue_ms + first_ms + adapter) / 1e3),
        queue: Duration::from_secs_f64(queue_ms / 1e3),
        needs_adapter: adapter > 0.0,
        occupancy: in_use / slots,
        is_memory_full: row.memory_share(query.request.memory_tokens(), now) > MAX_MEMORY_SHARE,
        is_batched: query.request.weights.is_some(),
        own_prefill: Duration::from_secs_f64(own_ms / 1e3),
        prefill_tokens: whole_tokens(uncached),
    };
    (cost, choice)
}

/// Returns the time until a slot and memory are free, in milliseconds. Each request that ends frees one
/// slot, and the ends are assumed to be spread evenly over the time that requests occupy a slot.
fn queue_ms(row: &EndpointRow, request: &CallerRequest, now: ClockTime) -> f64 {
    let slots = f64::from(row.record.slots.max(1));
    let excess_requests = f64::from(row.request_count()) + 1.0 - slots;
    let excess_memory = row.memory_share(request.memory_tokens(), now) - MAX_MEMORY_SHARE;
    let wanted_slots = excess_requests.max(excess_memory * slots).max(0.0);
    wanted_slots * row.slot_time.mean_ms() / slots
}

fn adapter_ms(row: &EndpointRow, query: &ChoiceQuery<'_>, now: ClockTime) -> f64 {
    let Some(weights) = &query.request.weights else {
        return 0.0;
    };
    let Some(adapter) = &weights.adapter else {
        return 0.0;
    };
    match row.adapter(&weights.model, adapter, now) {
        AdapterState::Ready => 0.0,
        AdapterState::Coming => ADAPTER_LOADING_MS,
        // An engine that loads or unloads a model accepts no order for an adapter until it is done.
        AdapterState::Absent if row.adapter_room(now) > 0 && !row.is_changing(now) => {
            ADAPTER_LOAD_MS
        }
        AdapterState::Absent => ADAPTER_FULL_MS,
    }
}

fn prefill_ms(directory: &EndpointDirectory, request: &CallerRequest, tokens: f64) -> f64 {
    let weights = request.weights.as_ref();
    weights.map_or(0.0, |weights| {
        directory
            .prefill_estimator()
            .prefill_ms(&weights.model, tokens)
    })
}

/// Returns the number of prompt tokens that an endpoint has to prefill for a request, as far as its prefix
/// cache is known.
#[must_use]
pub fn uncached_tokens_at(
    directory: &EndpointDirectory,
    endpoint: &EndpointName,
    request: &CallerRequest,
    now: ClockTime,
) -> f64 {
    let chain = prefix_chain(request);
    let holders = directory.prefixes().holders(&chain, now);
    let row = directory.row(endpoint);
    row.map_or(0.0, |row| uncached_tokens(row, request, &holders))
}

fn uncached_tokens(row: &EndpointRow, request: &CallerRequest, holders: &[PrefixHolder]) -> f64 {
    let cached = cached_tokens(row, &request.parts, holders);
    (f64::from(request.prompt_tokens) - cached).max(0.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates"
)]
fn whole_tokens(tokens: f64) -> u32 {
    tokens as u32
}

/// Returns the number of prompt tokens in the endpoint's prefix cache.
fn cached_tokens(row: &EndpointRow, parts: &[PromptPart], holders: &[PrefixHolder]) -> f64 {
    let holder = holders.iter().find(|holder| holder.endpoint == row.index);
    let Some(holder) = holder else {
        return 0.0;
    };
    let depth = (holder.tokens + UNITS_PER_PART / 2) / UNITS_PER_PART;
    let cached = parts.iter().take(depth as usize);
    f64::from(cached.map(|part| part.tokens).sum::<u32>())
}

/// Returns the hashes of a prompt's prefixes of increasing length. Prefixes are cached per model and
/// adapter, so these start the hash chain.
#[must_use]
pub fn prefix_chain(request: &CallerRequest) -> SmallVec<[u64; 8]> {
    let mut state = weights_hash(request.weights.as_ref());
    let mut chain = SmallVec::new();
    for part in &request.parts {
        state = mix(state, part.id);
        chain.push(state);
    }
    chain
}

fn weights_hash(weights: Option<&WeightsKey>) -> u64 {
    let Some(weights) = weights else {
        return 0;
    };
    let adapter = weights.adapter.as_ref().map_or("", |name| name.as_str());
    let bytes = weights.model.as_str().bytes().chain([b'/']);
    let bytes = bytes.chain(adapter.bytes());
    bytes.fold(0, |state, byte| mix(state, u64::from(byte)))
}

/// Mixes a value into a multiplicative hash. The hashes are only compared for equality within one process.
fn mix(state: u64, value: u64) -> u64 {
    let mixed = (state ^ value).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed ^ (mixed >> 29)
}
