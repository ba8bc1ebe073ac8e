//! Converts demand rates into load, as a fraction of an endpoint's capacity.

use oatpier_types::config::{PoolKind, PoolSpec};
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::PoolName;

use super::PlannerInput;
use crate::demand::{DemandKey, DemandRate};

/// Default time of a generation step if no endpoint reports one, in microseconds.
const DEFAULT_STEP_US: f64 = 5_000.0;
/// Default time per prompt token if no endpoint reports one, in nanoseconds.
const DEFAULT_PROMPT_TOKEN_NS: f64 = 100_000.0;

/// Capacity and speed of one endpoint of a pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolProfile {
    pub(super) memory_mib: u64,
    pub(super) request_slots: u32,
    seconds_per_step: f64,
    seconds_per_prompt_token: f64,
}

pub(super) fn rate_of(input: &PlannerInput<'_>, weights: &WeightsKey) -> DemandRate {
    let key = DemandKey {
        model: weights.model.clone(),
        adapter: weights.adapter.clone(),
    };
    input.demand.rate_of(&key)
}

/// Returns the average fraction of one endpoint's request slots in use.
///
/// By Little's law, this is the rate multiplied by the time that a request occupies its slot.
/// Both times come from endpoints that run other requests concurrently, so they already include
/// the mutual slowdown.
pub(super) fn compute_load(rate: DemandRate, profile: PoolProfile) -> f64 {
    let generation_load = rate.output_tokens * profile.seconds_per_step;
    let prompt_load = rate.prompt_tokens * profile.seconds_per_prompt_token;
    (generation_load + prompt_load) / f64::from(profile.request_slots.max(1))
}

pub(super) fn pool_profiles(input: &PlannerInput<'_>) -> Vec<PoolProfile> {
    input
        .config
        .pools
        .iter()
        .map(|(name, pool)| pool_profile(input, name, pool))
        .collect()
}

fn pool_profile(input: &PlannerInput<'_>, name: &PoolName, pool: &PoolSpec) -> PoolProfile {
    let (memory_mib, request_slots) = match pool.kind {
        PoolKind::Engine {
            memory_mib, slots, ..
        } => (memory_mib, slots),
        PoolKind::Service { .. } => (0, 1),
    };
    let views = || input.endpoints.iter().filter(|view| view.pool == *name);
    let step_us = median(views().map(|view| view.step_us)).unwrap_or(DEFAULT_STEP_US);
    let prompt_token_ns =
        median(views().map(|view| view.prompt_token_ns)).unwrap_or(DEFAULT_PROMPT_TOKEN_NS);
    PoolProfile {
        memory_mib,
        request_slots,
        seconds_per_step: step_us / 1e6,
        seconds_per_prompt_token: prompt_token_ns / 1e9,
    }
}

/// Returns the median of the known values; 0 means unknown.
///
/// An endpoint that was suspended reports steps of seconds. With a mean, the whole pool would
/// appear overloaded.
fn median(values: impl Iterator<Item = u32>) -> Option<f64> {
    let mut known: Vec<u32> = values.filter(|value| *value > 0).collect();
    known.sort_unstable();
    known.get(known.len() / 2).copied().map(f64::from)
}
