//! Prints moves, endpoints in use and an upper bound on attainment over a day of bursty demand, for
//! the placement planner and the two baselines.
//!
//! `cargo run --release -p oatpier-placement --example planner_day`
//!
//! Requests count as served up to the capacity of the endpoints that hold their model. Queues,
//! deadlines and routing are not simulated, so the served fraction is an upper bound. Loads take
//! one step of ten seconds. Demand is seeded, so each run gives the same results.

use std::time::Duration;

use oatpier_placement::demand::{DemandKey, DemandLedger};
use oatpier_placement::planner::{
    EndpointView, FleetPlanner, GreedyPlanner, PlacementPlanner, PlannerInput, PlannerSettings,
    StaticPlanner,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::{FleetConfig, ModelSpec, PoolKind, PoolSpec, WeightStoreSpec};
use oatpier_types::engine::{EngineRole, HeldWeights, WeightsKey, WeightsState};
use oatpier_types::ids::{Generation, Term};
use oatpier_types::names::{
    ClassName, EndpointName, ModelName, NameError, PoolName, VersionName, ZoneName,
};
use oatpier_types::plan::PlacementPlan;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

const ENGINES: usize = 18;
const SLOTS: f64 = 16.0;
const STEP: Duration = Duration::from_secs(10);
const STEPS: u32 = 8_640;
/// Number of parts in which the requests of a step are distributed.
const PARTS: u32 = 40;
const TOKENS: u32 = 150;
/// Time that one request occupies one request slot, in seconds.
const REQUEST_S: f64 = 150.0 * 0.005;

fn main() -> Result<(), NameError> {
    println!(
        "{:>7} {:>9} | {:>7} {:>8} {:>10} {:>10} {:>13}",
        "models", "planner", "loads", "unloads", "endpoints", "served", "per_endpoint"
    );
    for models in [20, 40] {
        let planners: [Box<dyn FleetPlanner>; 3] = [
            Box::new(StaticPlanner::new()),
            Box::new(GreedyPlanner::new()),
            Box::new(PlacementPlanner::new(PlannerSettings::default())),
        ];
        for planner in planners {
            DemandDay::new(models)?.run(planner, models);
        }
    }
    Ok(())
}

struct DemandDay {
    config: FleetConfig,
    views: Vec<EndpointView>,
    plan: Option<PlacementPlan>,
    ledger: DemandLedger,
    bursts: Vec<u32>,
    random: ChaCha8Rng,
}

#[derive(Default)]
struct DayTotals {
    loads: u32,
    unloads: u32,
    endpoints: f64,
    requested: f64,
    served: f64,
}

impl DemandDay {
    fn new(models: usize) -> Result<Self, NameError> {
        let config = fleet(models)?;
        Ok(Self {
            views: views(&config),
            config,
            plan: None,
            ledger: DemandLedger::new(),
            bursts: vec![0; models],
            random: ChaCha8Rng::seed_from_u64(7),
        })
    }

    fn run(&mut self, mut planner: Box<dyn FleetPlanner>, models: usize) {
        let mut totals = DayTotals::default();
        for step in 0..STEPS {
            let now = ClockTime::ZERO + STEP * step;
            let counts = self.generate_requests(now);
            self.serve(&counts, &mut totals);
            self.step(planner.as_mut(), now, step > 0, &mut totals);
        }
        let endpoints = totals.endpoints / f64::from(STEPS);
        let served = totals.served / totals.requested;
        println!(
            "{models:>7} {:>9} | {:>7} {:>8} {endpoints:>10.2} {served:>10.4} {:>13.4}",
            planner.name(),
            totals.loads,
            totals.unloads,
            served / endpoints,
        );
    }

    /// Returns the requests per model in one step. A model bursts to about forty times its usual rate
    /// for ten to forty minutes, three times a day on average.
    fn generate_requests(&mut self, now: ClockTime) -> Vec<u32> {
        let mut counts = Vec::new();
        for (index, model) in self.config.models.keys().enumerate() {
            if self.bursts[index] == 0 && self.random.random_bool(3.0 / f64::from(STEPS)) {
                self.bursts[index] = self.random.random_range(60..240);
            }
            let mean = if self.bursts[index] > 0 { 200 } else { 5 };
            self.bursts[index] = self.bursts[index].saturating_sub(1);
            let count = self.random.random_range(mean - mean / 5..=mean + mean / 5);
            let key = DemandKey {
                model: model.clone(),
                adapter: None,
            };
            for _ in 0..count {
                self.ledger.record(&key, 0, TOKENS, now);
            }
            counts.push(count);
        }
        counts
    }

    /// Adds the requests that the ready replicas can serve to the totals. Each part of a model's
    /// requests goes to the holder with the lowest load.
    fn serve(&self, counts: &[u32], totals: &mut DayTotals) {
        let holders: Vec<Vec<usize>> = self
            .config
            .models
            .keys()
            .map(|model| self.holders(model))
            .collect();
        let mut loads = vec![0.0_f64; self.views.len()];
        let capacity = SLOTS * STEP.as_secs_f64() / REQUEST_S;
        for _ in 0..PARTS {
            for (count, holders) in counts.iter().zip(&holders) {
                let part = f64::from(*count) / f64::from(PARTS);
                let least_loaded = holders
                    .iter()
                    .min_by(|a, b| loads[**a].total_cmp(&loads[**b]));
                let Some(least_loaded) = least_loaded else {
                    continue;
                };
                let remaining = (1.0 - loads[*least_loaded]).max(0.0) * capacity;
                totals.served += part.min(remaining);
                loads[*least_loaded] += part / capacity;
            }
        }
        totals.requested += counts.iter().copied().map(f64::from).sum::<f64>();
        let used = self
            .views
            .iter()
            .filter(|view| !view.held.is_empty())
            .count();
        totals.endpoints += f64::from(u32::try_from(used).unwrap_or(u32::MAX));
    }

    fn holders(&self, model: &ModelName) -> Vec<usize> {
        let views = self.views.iter().enumerate();
        let holding =
            views.filter(|(_, view)| view.held.iter().any(|held| held.weights.model == *model));
        holding.map(|(index, _)| index).collect()
    }

    fn step(
        &mut self,
        planner: &mut dyn FleetPlanner,
        now: ClockTime,
        counted: bool,
        totals: &mut DayTotals,
    ) {
        let demand = self.ledger.summary(now);
        let input = PlannerInput {
            config: &self.config,
            generation: Generation(1),
            term: Term(1),
            demand: &demand,
            endpoints: &self.views,
            previous: self.plan.as_ref(),
        };
        let outcome = planner.plan(&input, now);
        if counted {
            totals.loads += outcome.loads;
            totals.unloads += outcome.unloads;
        }
        for (view, row) in self.views.iter_mut().zip(&outcome.plan.endpoints) {
            view.held = row.weights.iter().map(ready).collect();
        }
        self.plan = Some(outcome.plan);
    }
}

fn ready(weights: &WeightsKey) -> HeldWeights {
    HeldWeights {
        weights: weights.clone(),
        state: WeightsState::Ready,
    }
}

fn fleet(models: usize) -> Result<FleetConfig, NameError> {
    let pool = PoolName::try_from("llm")?;
    let mut config = FleetConfig::default();
    let mut spec = PoolSpec {
        kind: PoolKind::Engine {
            accelerators: 1,
            memory_mib: 100,
            slots: 16,
            checks_order_numbers: true,
        },
        endpoints: indexmap::IndexMap::new(),
    };
    for index in 0..ENGINES {
        let endpoint = EndpointName::try_from(format!("e{index:02}"))?;
        let zone = ZoneName::try_from(format!("z{}", index % 3))?;
        spec.endpoints.insert(endpoint, zone);
    }
    config.pools.insert(pool.clone(), spec);
    for index in 0..models {
        let spec = ModelSpec {
            version: VersionName::try_from("v1")?,
            pool: pool.clone(),
            memory_mib: 15 + (index as u64 % 4) * 5,
            class: ClassName::try_from("draft")?,
        };
        config
            .models
            .insert(ModelName::try_from(format!("m{index:02}"))?, spec);
    }
    config.weight_store = WeightStoreSpec {
        loads_per_second: 3.0,
        full_speed_loads: 4,
    };
    Ok(config)
}

fn views(config: &FleetConfig) -> Vec<EndpointView> {
    let pools = config.pools.iter();
    let views = pools.flat_map(|(pool, spec)| {
        spec.endpoints.iter().map(|(endpoint, zone)| EndpointView {
            endpoint: endpoint.clone(),
            pool: pool.clone(),
            zone: zone.clone(),
            alive: true,
            leaving: false,
            held: SmallVec::new(),
            role: EngineRole::Both,
            prompt_token_ns: 0,
            step_us: 5_000,
        })
    });
    views.collect()
}
