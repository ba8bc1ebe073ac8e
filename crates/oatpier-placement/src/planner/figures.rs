//! What demand means in shares of an endpoint's time.

use oatpier_types::config::{PoolKind, PoolSpec};
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::PoolName;

use super::PlannerInput;
use crate::demand::{DemandKey, DemandRate};

/// A generation step where none was measured, in microseconds.
const USUAL_STEP_US: f64 = 5_000.0;
/// The time of a prompt token where none was measured, in nanoseconds.
const USUAL_PROMPT_NS: f64 = 100_000.0;

/// What a pool's endpoints can do.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolFigures {
    pub(super) memory_mib: u64,
    pub(super) slots: u32,
    step_s: f64,
    prompt_s: f64,
}

pub(super) fn rate_of(input: &PlannerInput<'_>, weights: &WeightsKey) -> DemandRate {
    let key = DemandKey {
        model: weights.model.clone(),
        adapter: weights.adapter.clone(),
    };
    input.demand.rate_of(&key)
}

/// The share of one endpoint's places that is taken on average: the rate times the time that a
/// request keeps its place, by Little's law. Both times are measured while other requests run, so
/// what these cost each other is in them already.
pub(super) fn load_of(rate: DemandRate, figures: PoolFigures) -> f64 {
    let generating = rate.output_tokens * figures.step_s;
    let reading = rate.prompt_tokens * figures.prompt_s;
    (generating + reading) / f64::from(figures.slots.max(1))
}

pub(super) fn pool_figures(input: &PlannerInput<'_>) -> Vec<PoolFigures> {
    input
        .config
        .pools
        .iter()
        .map(|(name, pool)| pool_figure(input, name, pool))
        .collect()
}

fn pool_figure(input: &PlannerInput<'_>, name: &PoolName, pool: &PoolSpec) -> PoolFigures {
    let (memory_mib, slots) = match pool.kind {
        PoolKind::Engine {
            memory_mib, slots, ..
        } => (memory_mib, slots),
        PoolKind::Service { .. } => (0, 1),
    };
    let views = || input.endpoints.iter().filter(|view| view.pool == *name);
    let step_us = median(views().map(|view| view.step_us)).unwrap_or(USUAL_STEP_US);
    let prompt_ns = median(views().map(|view| view.prompt_token_ns)).unwrap_or(USUAL_PROMPT_NS);
    PoolFigures {
        memory_mib,
        slots,
        step_s: step_us / 1e6,
        prompt_s: prompt_ns / 1e9,
    }
}

/// The median of the figures that are known: one endpoint that was frozen tells of steps of
/// seconds, and would have the whole pool taken for overloaded.
fn median(figures: impl Iterator<Item = u32>) -> Option<f64> {
    let mut known: Vec<u32> = figures.filter(|figure| *figure > 0).collect();
    known.sort_unstable();
    known.get(known.len() / 2).copied().map(f64::from)
}
