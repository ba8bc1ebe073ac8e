//! Generation of request arrivals from a seed.
//!
//! The popularity of a model falls with its rank. In a burst, the demand for some models rises tenfold. Arrivals are a
//! Poisson process. Prompts of one model share prefixes, as the requests of one conversation do.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{AdapterName, ClassName, ModelName};
use oatpier_types::request::{PrefixChain, TokenDemand};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployment::{adapter_name, model_name};
use super::scenario::{BenchCase, BenchScenario};
use crate::units::size_f64;

/// Number of tokens in one block of a prompt prefix.
pub const BLOCK_TOKENS: u32 = 64;

const BURST_FACTOR: f64 = 10.0;
const BURST_LENGTH: Duration = Duration::from_secs(30);
const BURST_MODELS: usize = 3;
const CONVERSATIONS: u32 = 12;
const ADAPTER_SHARE: f64 = 0.4;
const POPULARITY_POWER: f64 = 0.9;

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct BenchArrival {
    /// Time at which it reaches its entry.
    pub at: ClockTime,
    /// Index of the entry to which the load balancer sends it.
    pub entry: usize,
    /// Requested model.
    pub model: ModelName,
    /// Requested adapter of the model, if any.
    pub adapter: Option<AdapterName>,
    /// Request class.
    pub class: ClassName,
    /// Token counts of prompt and output.
    pub tokens: TokenDemand,
    /// Prefix chain of the prompt.
    pub prefixes: PrefixChain,
}

/// Generates the arrivals of one run.
pub struct DemandGenerator<'a> {
    case: BenchCase<'a>,
    random: ChaCha8Rng,
    base_weights: Vec<f64>,
}

impl<'a> DemandGenerator<'a> {
    /// Creates a generator for one run. Equal seeds give equal arrivals.
    #[must_use]
    pub fn new(case: BenchCase<'a>, seed: u64) -> Self {
        let base_weights = (1..=case.deployment.config.models.len())
            .map(rank_weight)
            .collect();
        Self {
            case,
            random: ChaCha8Rng::seed_from_u64(seed),
            base_weights,
        }
    }

    /// Returns all arrivals, ordered by time.
    #[must_use]
    pub fn arrivals(mut self, entries: usize) -> Vec<BenchArrival> {
        let total: f64 = self.base_weights.iter().sum();
        let rate_scale = self.case.deployment.rate
            * self
                .case
                .scenario
                .demand_factor(self.case.deployment.capacity_factor)
            / total;
        let mut arrivals = Vec::new();
        for index in 0..self.base_weights.len() {
            self.model_arrivals(index, rate_scale, entries, &mut arrivals);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }

    /// Generates the arrivals of one model by thinning a Poisson process.
    ///
    /// The process has the model's highest rate; each arrival is kept with the ratio of the current rate to it.
    fn model_arrivals(
        &mut self,
        index: usize,
        rate_scale: f64,
        entries: usize,
        arrivals: &mut Vec<BenchArrival>,
    ) {
        let base = self.base_weights[index] * rate_scale;
        let highest = base * BURST_FACTOR;
        let mut at = 0.0;
        loop {
            let uniform: f64 = self.random.random();
            at += -(1.0 - uniform).ln() / highest;
            if at >= self.case.span.length.as_secs_f64() {
                return;
            }
            let keep: f64 = self.random.random();
            if keep * BURST_FACTOR < self.factor(index, at) {
                arrivals.push(self.arrival(index, at, entries));
            }
        }
    }

    fn factor(&self, index: usize, at: f64) -> f64 {
        if self.case.scenario != BenchScenario::Burst {
            return 1.0;
        }
        let phase = phase_of(at);
        let first = 5 + phase * BURST_MODELS;
        let bursting = (first..first + BURST_MODELS).contains(&(index % 17));
        if bursting { BURST_FACTOR } else { 1.0 }
    }

    fn arrival(&mut self, index: usize, at: f64, entries: usize) -> BenchArrival {
        let model = model_name(index);
        let class = self.case.deployment.config.models[&model].class.clone();
        let conversation = self.random.random_range(0..CONVERSATIONS);
        let shared_blocks = self.random.random_range(2..10);
        let prompt = shared_blocks * BLOCK_TOKENS + self.random.random_range(16..128);
        BenchArrival {
            at: ClockTime::from_start(Duration::from_secs_f64(at)),
            entry: self.random.random_range(0..entries),
            adapter: self.adapter(index),
            class,
            tokens: TokenDemand {
                prompt,
                output: self.random.random_range(16..160),
            },
            prefixes: prefix_chain(index, conversation, shared_blocks),
            model,
        }
    }

    fn adapter(&mut self, model: usize) -> Option<AdapterName> {
        let models = self.base_weights.len();
        let of_model = (self.case.deployment.config.adapters.len() + models - 1 - model) / models;
        if of_model == 0 || self.random.random::<f64>() >= ADAPTER_SHARE {
            return None;
        }
        let which = self.random.random_range(0..of_model);
        Some(adapter_name(model + which * models))
    }
}

/// Returns the index of the burst at a time in seconds.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn phase_of(at: f64) -> usize {
    (at / BURST_LENGTH.as_secs_f64()) as usize
}

/// Returns the relative demand for the model at a rank. Ranks start at 1.
pub(crate) fn rank_weight(rank: usize) -> f64 {
    size_f64(rank).powf(-POPULARITY_POWER)
}

fn prefix_chain(model: usize, conversation: u32, blocks: u32) -> PrefixChain {
    let seed = (model as u64) << 32 | u64::from(conversation) << 8;
    (0..blocks)
        .map(|block| (seed | u64::from(block)).wrapping_mul(0x9E37_79B9_7F4A_7C15))
        .collect()
}
