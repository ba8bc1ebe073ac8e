//! Prints the run time of one planning step for several fleet sizes.
//!
//! The example reads the system clock to measure the run time; the planner does not.
//!
//! `cargo run --release -p oatpier-placement --example planner_cost`

use std::time::{Duration, Instant};

use oatpier_placement::demand::{DemandKey, DemandRate, DemandRow, DemandSummary};
use oatpier_placement::planner::{
    EndpointView, FleetPlanner, GreedyPlanner, PlacementPlanner, PlanOutcome, PlannerInput,
    PlannerSettings,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::{
    AdapterSpec, FleetConfig, ModelSpec, PoolKind, PoolSpec, WeightStoreSpec,
};
use oatpier_types::engine::{EngineRole, HeldWeights, WeightsState};
use oatpier_types::ids::{Generation, Term};
use oatpier_types::names::{AdapterName, ClassName, EndpointName, ModelName, PoolName, ZoneName};
use oatpier_types::names::{NameError, VersionName};
use oatpier_types::plan::PlacementPlan;
use smallvec::SmallVec;

const STEPS: u32 = 60;
const ADAPTERS_PER_MODEL: usize = 3;

fn main() -> Result<(), NameError> {
    println!(
        "{:>9} {:>6} {:>8} | {:>9} {:>9} {:>9} {:>9} | {:>6} {:>6}",
        "endpoints",
        "models",
        "adapters",
        "first_ms",
        "mean_ms",
        "max_ms",
        "greedy_ms",
        "loads",
        "used"
    );
    for (endpoints, models) in [(18, 40), (350, 49), (1_750, 245), (3_500, 490)] {
        measure(endpoints, models)?;
    }
    Ok(())
}

fn measure(endpoints: usize, models: usize) -> Result<(), NameError> {
    let config = fleet(endpoints, models)?;
    let mut views = views(&config);
    let mut planner = PlacementPlanner::new(PlannerSettings::default());
    let mut greedy = GreedyPlanner::new();
    let mut previous: Option<PlacementPlan> = None;
    let mut times = Vec::new();
    let mut greedy_time = Duration::ZERO;
    let mut loads = 0;
    let mut used = 0;
    for step in 0..STEPS {
        let demand = demand(&config, step);
        let now = ClockTime::from_millis(u64::from(step) * 10_000);
        let (outcome, took) = timed(
            &mut planner,
            &config,
            &demand,
            &views,
            previous.as_ref(),
            now,
        );
        times.push(took);
        let (_, took) = timed(
            &mut greedy,
            &config,
            &demand,
            &views,
            previous.as_ref(),
            now,
        );
        greedy_time += took;
        loads += if step == 0 { 0 } else { outcome.loads };
        used = outcome.endpoints_used;
        apply_plan(&mut views, &outcome.plan);
        previous = Some(outcome.plan);
    }
    let total_after_first: Duration = times[1..].iter().sum();
    let max = times[1..].iter().max().copied().unwrap_or_default();
    println!(
        "{endpoints:>9} {models:>6} {:>8} | {:>9.2} {:>9.2} {:>9.2} {:>9.2} | {loads:>6} {used:>6}",
        config.adapters.len(),
        millis(times[0]),
        millis(total_after_first / (STEPS - 1)),
        millis(max),
        millis(greedy_time / STEPS),
    );
    Ok(())
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

fn timed(
    planner: &mut dyn FleetPlanner,
    config: &FleetConfig,
    demand: &DemandSummary,
    views: &[EndpointView],
    previous: Option<&PlacementPlan>,
    now: ClockTime,
) -> (PlanOutcome, Duration) {
    let input = PlannerInput {
        config,
        generation: Generation(1),
        term: Term(1),
        demand,
        endpoints: views,
        previous,
    };
    let start = Instant::now();
    let outcome = planner.plan(&input, now);
    (outcome, start.elapsed())
}

/// Updates the views as if all agents had applied the plan.
fn apply_plan(views: &mut [EndpointView], plan: &PlacementPlan) {
    for (view, row) in views.iter_mut().zip(&plan.endpoints) {
        view.held = row
            .weights
            .iter()
            .map(|weights| HeldWeights {
                weights: weights.clone(),
                state: WeightsState::Ready,
            })
            .collect();
    }
}

fn fleet(endpoints: usize, models: usize) -> Result<FleetConfig, NameError> {
    let pool = PoolName::try_from("llm")?;
    let class = ClassName::try_from("draft")?;
    let version = VersionName::try_from("v1")?;
    let mut config = FleetConfig::default();
    let kind = PoolKind::Engine {
        accelerators: 4,
        memory_mib: 80_000,
        slots: 64,
        checks_order_numbers: true,
    };
    let mut spec = PoolSpec {
        kind,
        endpoints: indexmap::IndexMap::new(),
    };
    for index in 0..endpoints {
        let zone = ZoneName::try_from(format!("z{}", index % 8))?;
        let endpoint = EndpointName::try_from(format!("e{index:05}"))?;
        spec.endpoints.insert(endpoint, zone);
    }
    config.pools.insert(pool.clone(), spec);
    for index in 0..models {
        let model = ModelName::try_from(format!("m{index:03}"))?;
        let spec = ModelSpec {
            version: version.clone(),
            pool: pool.clone(),
            memory_mib: 8_000 + (index as u64 % 7) * 4_000,
            class: class.clone(),
        };
        config.models.insert(model.clone(), spec);
        for adapter in 0..ADAPTERS_PER_MODEL {
            let name = AdapterName::try_from(format!("m{index:03}-a{adapter}"))?;
            let spec = AdapterSpec {
                model: model.clone(),
                version: version.clone(),
                memory_mib: 200,
            };
            config.adapters.insert(name, spec);
        }
    }
    config.weight_store = WeightStoreSpec {
        loads_per_second: 60.0,
        full_speed_loads: 240,
    };
    Ok(config)
}

fn views(config: &FleetConfig) -> Vec<EndpointView> {
    let pools = config.pools.iter();
    pools
        .flat_map(|(pool, spec)| {
            spec.endpoints.iter().map(|(endpoint, zone)| EndpointView {
                endpoint: endpoint.clone(),
                pool: pool.clone(),
                zone: zone.clone(),
                alive: true,
                leaving: false,
                held: SmallVec::new(),
                role: EngineRole::Both,
                prompt_token_ns: 20_000,
                step_us: 15_000,
            })
        })
        .collect()
}

/// Returns demand where every tenth model has a much higher rate than the rest. The set of these
/// models changes every ten steps.
fn demand(config: &FleetConfig, step: u32) -> DemandSummary {
    let mean = 8_500.0 / 490.0;
    let rows = config.models.keys().enumerate().map(|(index, model)| {
        let is_popular = (index + 37 * (step as usize / 10)).is_multiple_of(10);
        let requests = mean * if is_popular { 5.5 } else { 0.5 };
        let rate = DemandRate {
            requests,
            prompt_tokens: requests * 400.0,
            output_tokens: requests * 350.0,
        };
        let key = DemandKey {
            model: model.clone(),
            adapter: None,
        };
        DemandRow { key, rate }
    });
    let mut rows: Vec<DemandRow> = rows.collect();
    rows.sort_by(|left, right| left.key.cmp(&right.key));
    DemandSummary { rows }
}
