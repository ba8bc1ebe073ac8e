//! Finds out how much of a request's prompt is in the prefix caches of endpoints.

use oatpier_policy::prefix::PrefixHolder;
use oatpier_types::clock::ClockTime;
use oatpier_types::names::EndpointName;
use smallvec::SmallVec;

use crate::call::{CallerRequest, PromptPart, WeightsKey};
use crate::directory::{EndpointDirectory, EndpointRow, UNITS_PER_PART};

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

pub(super) fn uncached_tokens(
    row: &EndpointRow,
    request: &CallerRequest,
    holders: &[PrefixHolder],
) -> f64 {
    let cached = cached_tokens(row, &request.parts, holders);
    (f64::from(request.prompt_tokens) - cached).max(0.0)
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
