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

/// The share of one endpoint's time: prompts are read one after the other, and each generated
/// token takes one place for one step.
pub(super) fn load_of(rate: DemandRate, figures: PoolFigures) -> f64 {
    let generating = rate.output_tokens * figures.step_s / f64::from(figures.slots.max(1));
    generating + rate.prompt_tokens * figures.prompt_s
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
    let step_us = mean(views().map(|view| view.step_us)).unwrap_or(USUAL_STEP_US);
    let prompt_ns = mean(views().map(|view| view.prompt_token_ns)).unwrap_or(USUAL_PROMPT_NS);
    PoolFigures {
        memory_mib,
        slots,
        step_s: step_us / 1e6,
        prompt_s: prompt_ns / 1e9,
    }
}

/// The mean of the figures that are known.
fn mean(figures: impl Iterator<Item = u32>) -> Option<f64> {
    let known = figures.filter(|figure| *figure > 0);
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), figure| {
        (sum + f64::from(figure), count + 1.0)
    });
    (count > 0.0).then(|| sum / count)
}
