//! Tests of plans: reachability, attainment per accelerator and moves.

use std::time::Duration;

use oatpier_placement::demand::{DemandKey, DemandRate, DemandRow, DemandSummary};
use oatpier_placement::planner::{
    EndpointView, FleetPlanner, GreedyPlanner, PlacementPlanner, PlanNote, PlanOutcome,
    PlannerInput, PlannerSettings, StaticPlanner, check_reachable,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{WeightsKey, WeightsState};
use oatpier_types::ids::{Generation, Term};
use oatpier_types::names::VersionName;
use oatpier_types::plan::PlacementPlan;

use crate::fleet::{adapter, add_adapter, base, fleet, model, ready, views};

/// A fleet whose agents apply each plan immediately.
pub struct Fleet {
    pub config: FleetConfig,
    pub views: Vec<EndpointView>,
    pub plan: Option<PlacementPlan>,
    pub demand: DemandSummary,
    pub now: ClockTime,
    pub generation: u64,
}

impl Fleet {
    pub fn new(config: FleetConfig) -> Self {
        Self {
            views: views(&config),
            config,
            plan: None,
            demand: DemandSummary::default(),
            now: ClockTime::ZERO,
            generation: 1,
        }
    }

    pub fn input(&self) -> PlannerInput<'_> {
        PlannerInput {
            config: &self.config,
            generation: Generation(self.generation),
            term: Term(1),
            demand: &self.demand,
            endpoints: &self.views,
            previous: self.plan.as_ref(),
        }
    }

    /// Sets the request rates of models, with 200 generated tokens per request.
    pub fn set_rates(&mut self, rates: &[(&str, f64)]) {
        let rows = rates.iter().map(|(name, requests)| DemandRow {
            key: DemandKey {
                model: model(name),
                adapter: None,
            },
            rate: DemandRate {
                requests: *requests,
                prompt_tokens: 0.0,
                output_tokens: requests * 200.0,
            },
        });
        self.demand.rows = rows.collect();
        self.demand
            .rows
            .sort_by(|left, right| left.key.cmp(&right.key));
    }

    pub fn step(&mut self, planner: &mut dyn FleetPlanner) -> PlanOutcome {
        self.now = self.now + Duration::from_secs(10);
        let outcome = planner.plan(&self.input(), self.now);
        for row in &outcome.plan.endpoints {
            let view = self
                .views
                .iter_mut()
                .find(|view| view.endpoint == row.endpoint)
                .unwrap();
            if view.alive {
                view.held = row.weights.iter().map(ready).collect();
            }
        }
        self.plan = Some(outcome.plan.clone());
        outcome
    }

    pub fn steps(&mut self, planner: &mut dyn FleetPlanner, count: usize) -> u32 {
        (0..count)
            .map(|_| self.step(planner))
            .map(|outcome| outcome.loads + outcome.unloads)
            .sum()
    }

    /// Returns the indices of the endpoints that are planned to hold the weights.
    pub fn holders(&self, weights: &WeightsKey) -> Vec<usize> {
        let plan = self.plan.as_ref().unwrap();
        let rows = plan.endpoints.iter().enumerate();
        rows.filter(|(_, row)| row.weights.contains(weights))
            .map(|(index, _)| index)
            .collect()
    }
}

pub fn planner() -> PlacementPlanner {
    PlacementPlanner::new(PlannerSettings::default())
}

#[test]
fn all_models_and_adapters_are_placed_on_few_endpoints() {
    let mut config = fleet(9, 100, &[("a", 40), ("b", 40), ("c", 20), ("d", 60)]);
    add_adapter(&mut config, "x", "a", 5);
    let mut fleet = Fleet::new(config);
    let outcome = fleet.step(&mut planner());
    for weights in [
        base("a", "v1"),
        base("b", "v1"),
        base("c", "v1"),
        base("d", "v1"),
    ] {
        assert_eq!(fleet.holders(&weights).len(), 1);
    }
    assert_eq!(
        fleet.holders(&adapter("x", "a", "v1")),
        fleet.holders(&base("a", "v1"))
    );
    assert_eq!((outcome.endpoints_used, outcome.notes.len()), (2, 0));
}

#[test]
fn demand_adds_replicas_in_several_zones() {
    let mut fleet = Fleet::new(fleet(9, 100, &[("a", 40), ("b", 40)]));
    let mut planner = planner();
    fleet.step(&mut planner);
    fleet.set_rates(&[("a", 30.0)]);
    fleet.steps(&mut planner, 6);
    let holders = fleet.holders(&base("a", "v1"));
    assert!(holders.len() >= 3, "{holders:?}");
    let mut zones: Vec<usize> = holders.iter().map(|index| index % 3).collect();
    zones.sort_unstable();
    zones.dedup();
    assert_eq!(zones.len(), 3);
}

/// Demand falls and stays low. The endpoints that it needed are emptied again after a while.
#[test]
fn underloaded_endpoints_are_emptied() {
    let mut fleet = Fleet::new(fleet(9, 100, &[("a", 40), ("b", 40)]));
    let mut planner = planner();
    fleet.set_rates(&[("a", 40.0), ("b", 20.0)]);
    fleet.steps(&mut planner, 12);
    let busy = fleet.step(&mut planner).endpoints_used;
    fleet.set_rates(&[("a", 1.0)]);
    fleet.steps(&mut planner, 600);
    let quiet = fleet.step(&mut planner).endpoints_used;
    assert!(busy >= 4 && quiet <= 2, "{busy} then {quiet}");
}

/// Demand alternates between two models every half minute. A planner that follows it keeps loading
/// and unloading the same weights; this planner keeps the replicas that the next change needs.
#[test]
fn alternating_demand_causes_few_moves() {
    let moves = |planner: &mut dyn FleetPlanner| {
        let mut fleet = Fleet::new(fleet(9, 100, &[("a", 40), ("b", 40), ("c", 40)]));
        (0..60)
            .map(|round| {
                let (left, right) = if round % 2 == 0 {
                    (30.0, 2.0)
                } else {
                    (2.0, 30.0)
                };
                fleet.set_rates(&[("a", left), ("b", right)]);
                fleet.steps(planner, 3)
            })
            .sum::<u32>()
    };
    let (own, greedy) = (moves(&mut planner()), moves(&mut GreedyPlanner::new()));
    assert!(own * 2 < greedy, "{own} against {greedy}");
}

/// An endpoint becomes unreachable and returns. Its row stays, and nothing is unloaded.
#[test]
fn unreachable_endpoint_keeps_its_row() {
    let mut fleet = Fleet::new(fleet(3, 100, &[("a", 60), ("b", 60)]));
    let mut planner = planner();
    fleet.step(&mut planner);
    let failed = fleet.holders(&base("a", "v1"))[0];
    let row = fleet.plan.as_ref().unwrap().endpoints[failed].clone();
    fleet.views[failed].alive = false;
    fleet.step(&mut planner);
    assert_eq!(fleet.holders(&base("a", "v1")).len(), 2);
    fleet.views[failed].alive = true;
    fleet.step(&mut planner);
    assert_eq!(fleet.plan.as_ref().unwrap().endpoints[failed], row);
}

/// An endpoint crashes and returns empty. Its model was loaded elsewhere in the meantime. If its
/// row still contained the model, the model would be loaded twice.
#[test]
fn endpoint_returning_empty_does_not_reload() {
    let mut fleet = Fleet::new(fleet(3, 100, &[("a", 60), ("b", 60)]));
    let mut planner = planner();
    fleet.step(&mut planner);
    let failed = fleet.holders(&base("a", "v1"))[0];
    fleet.views[failed].alive = false;
    fleet.views[failed].held.clear();
    fleet.step(&mut planner);
    fleet.views[failed].alive = true;
    let outcome = fleet.step(&mut planner);
    let holders = fleet.holders(&base("a", "v1"));
    assert!(holders.len() == 1 && holders[0] != failed, "{holders:?}");
    assert_eq!((outcome.loads, outcome.endpoints_used), (0, 2));
}

/// One of nine engines was suspended and reports steps of seconds. The planner must not treat the
/// other engines as overloaded.
#[test]
fn one_suspended_engine_adds_no_replicas() {
    let mut fleet = Fleet::new(fleet(9, 100, &[("a", 40), ("b", 40)]));
    let mut planner = planner();
    fleet.set_rates(&[("a", 5.0)]);
    for view in &mut fleet.views {
        view.step_us = 5_000;
    }
    fleet.steps(&mut planner, 30);
    let before = fleet.plan.clone();
    fleet.views[4].step_us = 4_000_000;
    fleet.steps(&mut planner, 3);
    assert_eq!(fleet.plan, before);
}

/// Memory is full, and the only endpoint with a model has failed. A redundant replica of another
/// model is removed to place it.
#[test]
fn redundant_replicas_are_evicted_for_reachability() {
    let mut fleet = Fleet::new(fleet(3, 100, &[("a", 60), ("b", 60)]));
    for (index, weights) in [base("a", "v1"), base("a", "v1"), base("b", "v1")]
        .iter()
        .enumerate()
    {
        fleet.views[index].held = [ready(weights)].into_iter().collect();
    }
    fleet.views[2].alive = false;
    let outcome = fleet.step(&mut planner());
    assert_eq!(fleet.holders(&base("b", "v1")).len(), 1);
    assert_eq!(fleet.holders(&base("a", "v1")).len(), 1);
    assert!(outcome.notes.is_empty());
}

/// A model has two planned replicas, of which one is still loading. Only that one may be removed to
/// make room for another model: without the ready one, the model would become unavailable.
#[test]
fn replica_is_removed_only_while_another_is_ready() {
    let mut fleet = Fleet::new(fleet(2, 100, &[("a", 60), ("b", 60)]));
    let mut loading = ready(&base("a", "v1"));
    loading.state = WeightsState::Loading;
    fleet.views[0].held = [ready(&base("a", "v1"))].into_iter().collect();
    fleet.views[1].held = [loading].into_iter().collect();
    fleet.step(&mut planner());
    assert_eq!(fleet.holders(&base("a", "v1")), [0]);
    assert_eq!(fleet.holders(&base("b", "v1")), [1]);
}

/// A large model fits on no endpoint because of how small ones are placed. One of them first gets
/// a second replica; the large model is placed when that is ready.
#[test]
fn small_models_are_relocated_for_large_model() {
    let models = [("a", 40), ("b", 40), ("big", 90)];
    let mut fleet = Fleet::new(fleet(2, 100, &models));
    fleet.views[0].held = [ready(&base("a", "v1"))].into_iter().collect();
    fleet.views[1].held = [ready(&base("b", "v1"))].into_iter().collect();
    let mut planner = planner();
    let first = fleet.step(&mut planner);
    assert!(matches!(first.notes[..], [PlanNote::Unplaced { .. }]));
    fleet.steps(&mut planner, 2);
    assert_eq!(fleet.holders(&base("big", "v1")).len(), 1);
    assert_eq!(fleet.holders(&base("a", "v1")).len(), 1);
    assert_eq!(fleet.holders(&base("b", "v1")).len(), 1);
}

#[test]
fn leaving_endpoint_is_replaced_first() {
    let mut fleet = Fleet::new(fleet(3, 100, &[("a", 60)]));
    let mut planner = planner();
    fleet.step(&mut planner);
    let leaving = fleet.holders(&base("a", "v1"))[0];
    let name = fleet.views[leaving].endpoint.clone();
    let forecast = planner.forecast_stop(&fleet.input(), &[name], fleet.now);
    assert_eq!(forecast.replacements, [base("a", "v1")]);
    assert!(forecast.unreachable.is_empty());
    fleet.views[leaving].leaving = true;
    fleet.step(&mut planner);
    let holders = fleet.holders(&base("a", "v1"));
    assert!(holders.len() == 2 && holders.contains(&leaving));
}

/// A stop of two of three endpoints leaves too little memory for one of the models. The forecast
/// reports the model, the memory it needs and the memory that is free.
#[test]
fn forecast_reports_lost_reachability() {
    let mut fleet = Fleet::new(fleet(3, 100, &[("a", 60), ("b", 60)]));
    let mut planner = planner();
    fleet.step(&mut planner);
    let names: Vec<_> = fleet.views[..2]
        .iter()
        .map(|view| view.endpoint.clone())
        .collect();
    let forecast = planner.forecast_stop(&fleet.input(), &names, fleet.now);
    assert_eq!(forecast.unreachable.len(), 1);
    let shortage = &forecast.unreachable[0];
    assert_eq!((shortage.needed_mib, shortage.largest_free_mib), (60, 40));
}

#[test]
fn configuration_without_memory_is_rejected_with_sizes() {
    assert_eq!(
        check_reachable(&fleet(2, 100, &[("a", 60), ("b", 60)])),
        Ok(())
    );
    let shortages = check_reachable(&fleet(1, 100, &[("a", 60), ("b", 50)])).unwrap_err();
    assert_eq!(shortages[0].weights, base("b", "v1"));
    assert_eq!(
        (shortages[0].needed_mib, shortages[0].largest_free_mib),
        (50, 40)
    );
}

/// A new version is rolled out to a few replicas at a time, and the rest keep the old one.
#[test]
fn versions_change_a_few_replicas_at_a_time() {
    let mut fleet = Fleet::new(fleet(9, 100, &[("a", 40)]));
    let mut planner = planner();
    fleet.set_rates(&[("a", 60.0)]);
    fleet.steps(&mut planner, 10);
    let all = fleet.holders(&base("a", "v1")).len();
    fleet.config.models[0].version = VersionName::try_from("v2").unwrap();
    fleet.generation = 2;
    fleet.step(&mut planner);
    let changed = fleet.holders(&base("a", "v2")).len();
    assert!(changed >= 1 && changed <= all / 2, "{changed} of {all}");
    fleet.steps(&mut planner, 10);
    assert_eq!(fleet.holders(&base("a", "v1")).len(), 0);
}

/// The endpoint of the only replica lacks memory for two versions. The new one is placed elsewhere.
#[test]
fn version_change_without_memory_places_second_replica() {
    let mut fleet = Fleet::new(fleet(3, 100, &[("a", 60)]));
    let mut planner = planner();
    fleet.step(&mut planner);
    let old = fleet.holders(&base("a", "v1"))[0];
    fleet.config.models[0].version = VersionName::try_from("v2").unwrap();
    fleet.generation = 2;
    fleet.step(&mut planner);
    assert!(
        fleet
            .holders(&base("a", "v2"))
            .iter()
            .any(|holder| *holder != old)
    );
}

#[test]
fn steady_plan_is_unchanged() {
    let mut fleet = Fleet::new(fleet(9, 100, &[("a", 40), ("b", 40)]));
    let mut planner = planner();
    fleet.set_rates(&[("a", 5.0)]);
    fleet.steps(&mut planner, 100);
    let before = fleet.plan.clone().unwrap();
    let outcome = fleet.step(&mut planner);
    assert_eq!(outcome.plan, before);
}

#[test]
fn static_planner_never_moves() {
    let mut fleet = Fleet::new(fleet(6, 100, &[("a", 40), ("b", 30)]));
    let mut planner = StaticPlanner::new();
    fleet.step(&mut planner);
    fleet.set_rates(&[("a", 90.0)]);
    fleet.views[1].alive = false;
    assert_eq!(fleet.steps(&mut planner, 5), 0);
    assert_eq!(fleet.holders(&base("a", "v1")).len(), 6);
}
