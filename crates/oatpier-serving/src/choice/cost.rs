//! Predicts the time to the first chunk at an endpoint, and the cost of sending a request there.

use std::time::Duration;

use oatpier_policy::prefix::PrefixHolder;
use oatpier_types::clock::ClockTime;

use super::finish::{ScoredEndpoint, StreamPrediction};
use super::prefixes::uncached_tokens;
use super::{ChoiceQuery, EndpointChoice};
use crate::call::CallerRequest;
use crate::directory::{AdapterState, EndpointDirectory, EndpointRow};

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
pub(super) const ALL_LOST_MS: f64 = 600.0;

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

/// Returns the cost of sending a request to an endpoint, apart from that of a late stream.
pub(super) fn score(
    directory: &EndpointDirectory,
    row: &EndpointRow,
    query: &ChoiceQuery<'_>,
    holders: &[PrefixHolder],
    now: ClockTime,
) -> ScoredEndpoint {
    let slots = f64::from(row.record.slots.max(1));
    let in_use = f64::from(row.request_count());
    let batch_share = (in_use / slots).min(1.0);
    let pace = row.pace(now);
    let turn_ms = row.min_turn_wait(now).as_secs_f64() * 1e3;
    let queue_ms = queue_ms(row, query.request, now);
    let uncached = uncached_tokens(row, query.request, holders);
    let weights = query.request.weights.as_ref();
    let own_ms = weights.map_or(0.0, |weights| {
        directory.prefill_ms(row, &weights.model, uncached, now)
    });
    let ahead_ms = row.pending_prefill_ms(now);
    let first_ms = row.first_chunk.mean_ms() + ahead_ms + own_ms;
    let adapter = adapter_ms(row, query, now);
    let mut cost = turn_ms.max(queue_ms) + first_ms + adapter + batch_share * FULL_BATCH_MS;
    if query.request.weights.is_none() {
        cost += row.first_chunk.mean_ms() * (row.work_factor(now) - 1.0);
    }
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
        stream: pace
            .zip(query.stream.as_ref())
            .and_then(|(pace, need)| StreamPrediction::at(pace, need)),
    };
    ScoredEndpoint {
        cost_ms: cost,
        choice,
    }
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

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates"
)]
fn whole_tokens(tokens: f64) -> u32 {
    tokens as u32
}
