//! Which endpoint gets a request.
//!
//! Every candidate gets a predicted time to the first piece of the answer, and a cost that adds
//! what the prediction leaves out: another availability zone, an adapter that is not there yet,
//! failures seen lately. The lowest cost wins.

use std::time::Duration;

use oatpier_policy::prefix::PrefixHolder;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::{EndpointName, PoolName, ZoneName};
use smallvec::SmallVec;

use crate::call::{CallerRequest, PromptPart, WeightsKey};
use crate::directory::{AdapterState, EndpointDirectory, EndpointRow, PART_UNITS};
use crate::site::EngineRule;

/// The price of sending a request to another availability zone, in milliseconds of waiting: the
/// way there and back (about 3 ms), and bytes between zones, which are charged for.
const OTHER_ZONE_MS: f64 = 8.0;

/// The price of an adapter that is being loaded, in milliseconds.
const ADAPTER_COMING_MS: f64 = 8.0;

/// The price of an adapter that has to be loaded where there is room: a load of 5 to 10 ms, the way
/// to the sidecar, and the adapter that may have to go.
const ADAPTER_LOAD_MS: f64 = 25.0;

/// The same where all places are in use, or the engine is busy with an order for a model: a place is free
/// when some request's stream has ended.
const ADAPTER_FULL_MS: f64 = 400.0;

/// The price of an endpoint all of whose requests fail. Beside it a queue of a second is better.
const FAILING_MS: f64 = 1_500.0;

/// The price of an engine that loses all requests, by the count of all gateways. A request that is lost there is
/// worth a wait that leaves it in time, in proportion.
const LOSING_MS: f64 = 600.0;

/// The price of an endpoint that was ejected: only where nothing else holds the model.
const EJECTED_MS: f64 = 5_000.0;

/// The price of an engine whose sidecar is overdue, in milliseconds: its VM may be frozen or cut off, and
/// then whatever is sent there is lost. More than a queue that is still in time costs, so that requests
/// go there only where nothing else is left; a sidecar that was merely restarted is back in a second.
const OVERDUE_MS: f64 = 300.0;

/// The price of a full batch beside an empty one, in milliseconds. Steps get slower as the batch
/// grows, so requests are spread before slots run out.
const CROWD_MS: f64 = 40.0;

/// The share of an engine's memory above which new requests would drive running ones out.
const MEMORY_BOUND: f64 = 0.93;

/// How soon to look again at an endpoint that has rested and was sent a first request.
const NEXT_TRY: Duration = Duration::from_millis(25);

/// What the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'a> {
    /// The service.
    pub service: &'a PoolName,
    /// The request.
    pub request: &'a CallerRequest,
    /// The gateway's availability zone.
    pub zone: &'a ZoneName,
    /// Endpoints that had the request already.
    pub excluded: &'a [EndpointName],
    /// What the service's engines may hold; none for a plain service.
    pub engine: Option<&'a EngineRule>,
    /// How long the request can wait for its turn at an endpoint that names a limit.
    pub turn_patience: Duration,
}

/// An endpoint for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointChoice {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// How long until the first piece of the answer.
    pub predicted: Duration,
    /// Of that, how long until a slot is free.
    pub queue: Duration,
    /// Whether its adapter has to be loaded first.
    pub needs_adapter: bool,
    /// The share of its slots that are taken, above 1 where requests wait.
    pub occupancy: f64,
    /// Whether its memory has no room for the request.
    pub memory_full: bool,
    /// Whether it is an engine, which serves all its requests in one batch.
    pub batches: bool,
    /// How long it takes to read the request's prompt.
    pub own_reading: Duration,
}

/// Where a request can go.
#[derive(Debug, Clone, PartialEq)]
pub enum ChoiceVerdict {
    /// To this endpoint.
    Endpoint(EndpointChoice),
    /// Nowhere yet: the model is being loaded, or has to be.
    NoModel {
        /// When it will be there, if an engine loads it or is about to.
        ready_in: Option<Duration>,
        /// How long a load takes at the engine that has it nearest, if any engine is heard.
        load: Option<Duration>,
    },
    /// Nowhere for this long: all endpoints that could serve it have asked to be left alone.
    Held(HeldService),
    /// No endpoint of the service is there, or all of them had it already.
    NoEndpoint,
}

/// Why a request can go to none of the endpoints that could serve it, and for how long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldService {
    /// The endpoint that takes requests again first.
    pub endpoint: EndpointName,
    /// What it said.
    pub cause: HoldCause,
    /// Until then.
    pub left: Duration,
}

/// What keeps an endpoint from being sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldCause {
    /// Its limit on the requests of all gateways.
    Limit,
    /// The rest that it asked this gateway for.
    Rest,
}

impl HoldCause {
    /// The word that logs use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Rest => "rest",
        }
    }
}

/// Chooses an endpoint.
#[must_use]
pub fn choose(
    directory: &EndpointDirectory,
    query: &ChoiceQuery<'_>,
    now: ClockTime,
) -> ChoiceVerdict {
    let chain = prefix_chain(query.request);
    let holders = directory.prefixes().holders(&chain, now);
    let mut best: Option<(f64, EndpointChoice)> = None;
    let mut seen = SeenEndpoints::default();
    for row in directory.service(query.service) {
        if !row.is_open(now) || query.excluded.contains(&row.record.name) {
            continue;
        }
        seen.open = true;
        if !has_model(row, query.request.weights.as_ref(), now) {
            seen.note_missing(row, query, now);
            continue;
        }
        if !row.is_rested(now) {
            seen.note_held(row, HoldCause::Rest, row.rest_left(now).max(NEXT_TRY));
            continue;
        }
        let turn_wait = row.turn_wait(now);
        if turn_wait > query.turn_patience {
            seen.note_held(row, HoldCause::Limit, turn_wait);
            continue;
        }
        let scored = score(directory, row, query, &holders, now);
        if best.as_ref().is_none_or(|(cost, _)| scored.0 < *cost) {
            best = Some(scored);
        }
    }
    match (best, seen.held) {
        (Some((_, choice)), _) => ChoiceVerdict::Endpoint(choice),
        (None, Some(held)) => ChoiceVerdict::Held(held),
        (None, None) if seen.open => ChoiceVerdict::NoModel {
            ready_in: seen.ready_in,
            load: seen.load,
        },
        (None, None) => ChoiceVerdict::NoEndpoint,
    }
}

/// What was seen of endpoints that can't serve.
#[derive(Debug, Default)]
struct SeenEndpoints {
    open: bool,
    ready_in: Option<Duration>,
    load: Option<Duration>,
    held: Option<HeldService>,
}

impl SeenEndpoints {
    fn note_held(&mut self, row: &EndpointRow, cause: HoldCause, left: Duration) {
        if self.held.as_ref().is_none_or(|held| left < held.left) {
            self.held = Some(HeldService {
                endpoint: row.record.name.clone(),
                cause,
                left,
            });
        }
    }

    fn note_missing(&mut self, row: &EndpointRow, query: &ChoiceQuery<'_>, now: ClockTime) {
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

fn has_model(row: &EndpointRow, weights: Option<&WeightsKey>, now: ClockTime) -> bool {
    weights.is_none_or(|weights| row.holds(&weights.model, now))
}

fn score(
    directory: &EndpointDirectory,
    row: &EndpointRow,
    query: &ChoiceQuery<'_>,
    holders: &[PrefixHolder],
    now: ClockTime,
) -> (f64, EndpointChoice) {
    let slots = f64::from(row.record.slots.max(1));
    let present = f64::from(row.present());
    let crowd = (present / slots).min(1.0);
    let turn_ms = row.turn_wait(now).as_secs_f64() * 1e3;
    let queue_ms = queue_ms(row, query.request, now);
    let unread = unread_tokens(row, query.request, holders);
    let own_ms = reading_ms(directory, query.request, unread);
    let ahead_ms = row.reading_ahead_ms(now);
    let first_ms = row.first.mean_ms() + ahead_ms + own_ms;
    let adapter = adapter_ms(row, query, now);
    let mut cost = turn_ms.max(queue_ms) + first_ms + adapter + crowd * CROWD_MS;
    cost += row.failure_share(now).powi(2) * FAILING_MS;
    cost += row.fleet_failure_share(now) * LOSING_MS;
    cost += row.record.cold.as_secs_f64().min(1.0) * CROWD_MS;
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
        occupancy: present / slots,
        memory_full: row.memory_share(query.request.memory_tokens(), now) > MEMORY_BOUND,
        batches: query.request.weights.is_some(),
        own_reading: Duration::from_secs_f64(own_ms / 1e3),
    };
    (cost, choice)
}

/// How long until a slot and memory are free: each end of a request frees one, and ends come
/// evenly over the time that requests hold a slot.
fn queue_ms(row: &EndpointRow, request: &CallerRequest, now: ClockTime) -> f64 {
    let slots = f64::from(row.record.slots.max(1));
    let ahead = f64::from(row.present()) + 1.0 - slots;
    let over_memory = row.memory_share(request.memory_tokens(), now) - MEMORY_BOUND;
    let wanted_slots = ahead.max(over_memory * slots).max(0.0);
    wanted_slots * row.hold.mean_ms() / slots
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
        AdapterState::Coming => ADAPTER_COMING_MS,
        // An engine that loads or unloads a model takes no order for an adapter before it is done.
        AdapterState::Absent if row.adapter_room(now) > 0 && !row.is_changing(now) => {
            ADAPTER_LOAD_MS
        }
        AdapterState::Absent => ADAPTER_FULL_MS,
    }
}

fn reading_ms(directory: &EndpointDirectory, request: &CallerRequest, tokens: f64) -> f64 {
    let weights = request.weights.as_ref();
    weights.map_or(0.0, |weights| {
        directory.paces().reading_ms(&weights.model, tokens)
    })
}

/// Prompt tokens that an endpoint has to read for a request, as far as is known of what it keeps.
#[must_use]
pub fn unread_at(
    directory: &EndpointDirectory,
    endpoint: &EndpointName,
    request: &CallerRequest,
    now: ClockTime,
) -> f64 {
    let chain = prefix_chain(request);
    let holders = directory.prefixes().holders(&chain, now);
    let row = directory.row(endpoint);
    row.map_or(0.0, |row| unread_tokens(row, request, &holders))
}

fn unread_tokens(row: &EndpointRow, request: &CallerRequest, holders: &[PrefixHolder]) -> f64 {
    let saved = saved_tokens(row, &request.parts, holders);
    (f64::from(request.prompt_tokens) - saved).max(0.0)
}

/// Prompt tokens that the endpoint need not read again.
fn saved_tokens(row: &EndpointRow, parts: &[PromptPart], holders: &[PrefixHolder]) -> f64 {
    let holder = holders.iter().find(|holder| holder.endpoint == row.index);
    let Some(holder) = holder else {
        return 0.0;
    };
    let depth = (holder.tokens + PART_UNITS / 2) / PART_UNITS;
    let kept = parts.iter().take(depth as usize);
    f64::from(kept.map(|part| part.tokens).sum::<u32>())
}

/// Hashes of a prompt's growing prefixes. Parts are kept for one model and adapter only, so these
/// are the chain's start.
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

/// One round of a multiplicative hash; only equality matters here, within one process.
fn mix(state: u64, value: u64) -> u64 {
    let mixed = (state ^ value).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    mixed ^ (mixed >> 29)
}
