//! Moves during a day of demand, for oatpier's planner, a greedy planner and a static one.
//!
//! Single requests are not simulated. In each step, the endpoints that hold a model serve as much of its demand as they
//! have capacity for. The attainment is therefore an upper bound that ignores queues and deadlines. In return, the run
//! covers a whole day with uncompressed planner settings. A load takes one step. `cargo bench-policy` runs shorter
//! periods in which every request is simulated.

use std::f64::consts::TAU;
use std::time::Duration;

use oatpier_placement::demand::{DemandKey, DemandLedger};
use oatpier_placement::planner::{
    EndpointView, FleetPlanner, GreedyPlanner, PlacementPlanner, PlannerInput, PlannerSettings,
    StaticPlanner,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::PoolKind;
use oatpier_types::engine::{EngineRole, HeldWeights, WeightsKey, WeightsState};
use oatpier_types::ids::{Generation, Term};
use oatpier_types::plan::PlacementPlan;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use smallvec::SmallVec;

use crate::load::demand::rank_weight;
use crate::load::deployment::{BenchDeployment, ENGINE_SLOTS, model_name};
use crate::units::size_f64;

const SEED: u64 = 7;
const STEP: Duration = Duration::from_secs(10);
const DAY_STEPS: u32 = 8_640;
/// Number of parts into which the demand of a step is split. Each round assigns one part of every model.
const DEMAND_PARTS: u32 = 20;
/// Prompt and output tokens of a request.
const PROMPT_TOKENS: u32 = 400;
const OUTPUT_TOKENS: u32 = 88;
/// Time to process one prompt token, as an agent would report it.
const PROMPT_TOKEN_NS: u32 = 20_000;
/// Factor by which a model's demand is higher in a burst.
const BURST_FACTOR: f64 = 10.0;
/// Mean number of bursts of one model per day.
const BURSTS_A_DAY: f64 = 3.0;
/// Length of a burst in steps, which is 10 to 40 minutes.
const BURST_STEPS: std::ops::Range<u32> = 60..240;

/// Row of the report for one deployment and planner.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct DayRow {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the planner.
    pub planner: String,
    /// Upper bound of the share of requests within target.
    pub attainment: f64,
    /// Mean number of accelerators that held weights.
    pub accelerators_used: f64,
    /// `attainment` divided by `accelerators_used`.
    pub attainment_per_accelerator: f64,
    /// Number of loads and unloads.
    pub moves: u32,
}

/// Runs a day with each planner.
pub(super) fn run(deployment: &BenchDeployment) -> Vec<DayRow> {
    let planners: [Box<dyn FleetPlanner>; 3] = [
        Box::new(PlacementPlanner::new(PlannerSettings::default())),
        Box::new(GreedyPlanner::new()),
        Box::new(StaticPlanner::new()),
    ];
    let rows = planners.map(|planner| FleetDay::new(deployment).run(planner));
    rows.to_vec()
}

#[derive(Default)]
struct DayTotals {
    moves: u32,
    endpoints: f64,
    requested: f64,
    served: f64,
}

struct FleetDay<'a> {
    deployment: &'a BenchDeployment,
    views: Vec<EndpointView>,
    plan: Option<PlacementPlan>,
    ledger: DemandLedger,
    bursts: Vec<u32>,
    weights: Vec<f64>,
    /// Fractional requests of each model that are carried over to the next step.
    carried: Vec<f64>,
    random: ChaCha8Rng,
}

impl<'a> FleetDay<'a> {
    fn new(deployment: &'a BenchDeployment) -> Self {
        let models = deployment.config.models.len();
        let weights: Vec<f64> = (1..=models).map(rank_weight).collect();
        let total: f64 = weights.iter().sum();
        Self {
            deployment,
            views: views(deployment),
            plan: None,
            ledger: DemandLedger::new(),
            bursts: vec![0; models],
            weights: weights.iter().map(|weight| weight / total).collect(),
            carried: vec![0.0; models],
            random: ChaCha8Rng::seed_from_u64(SEED),
        }
    }

    fn run(mut self, mut planner: Box<dyn FleetPlanner>) -> DayRow {
        let mut totals = DayTotals::default();
        for step in 0..DAY_STEPS {
            let counts = self.draw_demand(step);
            if step > 0 {
                self.serve(&counts, &mut totals);
            }
            self.step(planner.as_mut(), step, &mut totals);
        }
        let steps = f64::from(DAY_STEPS - 1);
        let accelerators_used = 4.0 * totals.endpoints / steps;
        let attainment = totals.served / totals.requested;
        DayRow {
            deployment: self.deployment.name.to_owned(),
            planner: planner.name().to_owned(),
            attainment,
            accelerators_used,
            attainment_per_accelerator: attainment / accelerators_used,
            moves: totals.moves,
        }
    }

    /// Records and returns the number of requests of each model in one step.
    ///
    /// The demand is low at night, and single models have bursts.
    fn draw_demand(&mut self, step: u32) -> Vec<u32> {
        let hour = f64::from(step) / f64::from(DAY_STEPS);
        let daytime = 0.6 - 0.4 * (hour * TAU).cos();
        let all = self.deployment.rate * STEP.as_secs_f64() * daytime;
        let now = ClockTime::ZERO + STEP * step;
        (0..self.bursts.len())
            .map(|model| self.draw_model_demand(model, all, now))
            .collect()
    }

    fn draw_model_demand(&mut self, model: usize, all: f64, now: ClockTime) -> u32 {
        let begins = BURSTS_A_DAY / f64::from(DAY_STEPS);
        if self.bursts[model] == 0 && self.random.random_bool(begins) {
            self.bursts[model] = self.random.random_range(BURST_STEPS);
        }
        let factor = if self.bursts[model] > 0 {
            BURST_FACTOR
        } else {
            1.0
        };
        self.bursts[model] = self.bursts[model].saturating_sub(1);
        let noise = self.random.random_range(0.8..1.2);
        let wanted = all * self.weights[model] * factor * noise + self.carried[model];
        let count = floor(wanted);
        self.carried[model] = wanted - f64::from(count);
        let key = DemandKey {
            model: model_name(model),
            adapter: None,
        };
        for _ in 0..count {
            self.ledger.record(&key, PROMPT_TOKENS, OUTPUT_TOKENS, now);
        }
        count
    }

    /// Assigns each part of the demand to the least loaded replica and counts what the replicas have capacity for.
    fn serve(&self, counts: &[u32], totals: &mut DayTotals) {
        let holders: Vec<Vec<usize>> = (0..counts.len()).map(|model| self.holders(model)).collect();
        let capacity = capacity(self.deployment) * STEP.as_secs_f64();
        let mut loads = vec![0.0_f64; self.views.len()];
        for _ in 0..DEMAND_PARTS {
            for (count, holders) in counts.iter().zip(&holders) {
                let part = f64::from(*count) / f64::from(DEMAND_PARTS);
                let least_loaded = holders
                    .iter()
                    .min_by(|a, b| loads[**a].total_cmp(&loads[**b]));
                let Some(least_loaded) = least_loaded else {
                    continue;
                };
                let spare = (1.0 - loads[*least_loaded]).max(0.0) * capacity;
                totals.served += part.min(spare);
                loads[*least_loaded] += part / capacity;
            }
        }
        totals.requested += counts.iter().copied().map(f64::from).sum::<f64>();
        let used = self.views.iter().filter(|view| !view.held.is_empty());
        totals.endpoints += size_f64(used.count());
    }

    fn holders(&self, model: usize) -> Vec<usize> {
        let name = model_name(model);
        let views = self.views.iter().enumerate();
        let holding = views.filter(|(_, view)| {
            let mut held = view.held.iter();
            held.any(|held| held.weights.model == name && held.weights.adapter.is_none())
        });
        holding.map(|(index, _)| index).collect()
    }

    fn step(&mut self, planner: &mut dyn FleetPlanner, step: u32, totals: &mut DayTotals) {
        let now = ClockTime::ZERO + STEP * step;
        let demand = self.ledger.summary(now);
        let input = PlannerInput {
            config: &self.deployment.config,
            generation: Generation(1),
            term: Term(1),
            demand: &demand,
            endpoints: &self.views,
            previous: self.plan.as_ref(),
        };
        let outcome = planner.plan(&input, now);
        if step > 0 {
            totals.moves += outcome.loads + outcome.unloads;
        }
        for (view, row) in self.views.iter_mut().zip(&outcome.plan.endpoints) {
            view.held = row.weights.iter().map(ready).collect();
        }
        self.plan = Some(outcome.plan);
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn floor(count: f64) -> u32 {
    count.max(0.0) as u32
}

/// Returns the number of requests per second that one endpoint can serve, from the capacity in the policy bench.
fn capacity(deployment: &BenchDeployment) -> f64 {
    deployment.rate * deployment.capacity_factor / size_f64(views(deployment).len())
}

fn ready(weights: &WeightsKey) -> HeldWeights {
    HeldWeights {
        weights: weights.clone(),
        state: WeightsState::Ready,
    }
}

/// Returns the endpoints without weights, sorted by name.
fn views(deployment: &BenchDeployment) -> Vec<EndpointView> {
    let pools = deployment.config.pools.iter();
    let engines = pools.filter(|(_, pool)| matches!(pool.kind, PoolKind::Engine { .. }));
    let mut views: Vec<EndpointView> = engines
        .flat_map(|(name, pool)| {
            pool.endpoints.iter().map(|(endpoint, zone)| EndpointView {
                endpoint: endpoint.clone(),
                pool: name.clone(),
                zone: zone.clone(),
                alive: true,
                leaving: false,
                held: SmallVec::new(),
                role: EngineRole::Both,
                prompt_token_ns: PROMPT_TOKEN_NS,
                step_us: 0,
            })
        })
        .collect();
    views.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
    let step_us = step_us(deployment, views.len());
    for view in &mut views {
        view.step_us = step_us;
    }
    views
}

/// Returns the duration of a generation step at which an endpoint serves exactly its capacity.
fn step_us(deployment: &BenchDeployment, endpoints: usize) -> u32 {
    let rate = deployment.rate * deployment.capacity_factor / size_f64(endpoints);
    let request_s = f64::from(ENGINE_SLOTS) / rate;
    let reading_s = f64::from(PROMPT_TOKENS) * f64::from(PROMPT_TOKEN_NS) / 1e9;
    floor((request_s - reading_s) / f64::from(OUTPUT_TOKENS) * 1e6)
}
