//! A model whose load ends the engine that carries it out.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_serving::directory::{EndpointDirectory, EndpointRecord};
use oatpier_serving::message::{EnginePulse, MessageNumber};
use oatpier_serving::peers::{FleetUses, TotalDemand};
use oatpier_serving::planner::{FleetDemand, LoadPlanner};
use oatpier_types::names::ModelName;

use crate::support::{at, endpoint, engine_rule, model, pulse, record, service};

/// Engines of the fleet.
const ENGINES: u8 = 6;

/// From one round of the planner to the next, in milliseconds.
const ROUND_MS: u64 = 150;

/// How long an engine that ended is away.
const AWAY_MS: u64 = 3_000;

/// An engine: its start, and when it is back.
#[derive(Debug, Clone, Default)]
struct FragileEngine {
    starts: u32,
    back_at: u64,
    loading: Option<ModelName>,
    held: Vec<ModelName>,
}

/// A fleet of engines; loads take a round, and one model ends the engine that loads it.
struct LoadingFleet {
    engines: Vec<FragileEngine>,
    directory: EndpointDirectory,
    planner: LoadPlanner,
    words: u64,
    /// Whether engines report that they leave before they end.
    leaves: bool,
    advised: HashMap<ModelName, Vec<u64>>,
}

impl LoadingFleet {
    fn new() -> Self {
        Self {
            engines: vec![FragileEngine::default(); usize::from(ENGINES)],
            directory: EndpointDirectory::default(),
            planner: LoadPlanner::default(),
            words: 0,
            leaves: false,
            advised: HashMap::new(),
        }
    }

    /// Plays some seconds; a load of `bad` ends its engine until `mended_at`.
    fn play(&mut self, seconds: u64, mended_at: u64) {
        let rule = engine_rule(&["bad", "good"]);
        let asked = TotalDemand {
            unserved: 2.0,
            asked_fast: 2.0,
            asked_slow: 2.0,
            asked_long: 2.0,
            idle: Some(Duration::from_millis(100)),
            ..TotalDemand::default()
        };
        let demand: HashMap<ModelName, TotalDemand> =
            [(model("bad"), asked), (model("good"), asked)].into();
        for now in (0..seconds * 1_000).step_by(usize::try_from(ROUND_MS).unwrap()) {
            self.tell(now);
            let uses = FleetUses::default();
            let fleet = FleetDemand {
                models: &demand,
                uses: &uses,
            };
            let pool = service();
            let rows = self.directory.service(&pool);
            let outcome = self.planner.plan(&rule, rows, fleet, at(now));
            for load in outcome.planned {
                let wanted = load.advice.load;
                self.advised.entry(wanted.clone()).or_default().push(now);
                let place = self.place_of(load.endpoint.as_str());
                self.engines[place].loading = Some(wanted);
                self.tell(now + 1);
                // The planner sees the load under way before it is done.
                let rows = self.directory.service(&pool);
                self.planner.plan(&rule, rows, fleet, at(now + 1));
                self.finish(place, now, mended_at);
            }
        }
    }

    fn finish(&mut self, place: usize, now: u64, mended_at: u64) {
        let engine = &mut self.engines[place];
        let Some(loaded) = engine.loading.take() else {
            return;
        };
        if loaded == model("bad") && now < mended_at {
            engine.starts += 1;
            engine.back_at = now + AWAY_MS;
            engine.held.clear();
        } else {
            engine.held.push(loaded);
        }
    }

    fn place_of(&self, name: &str) -> usize {
        let is_it = |place: &usize| self.name(*place) == name;
        (0..self.engines.len()).find(is_it).unwrap()
    }

    fn name(&self, place: usize) -> String {
        format!("i-{place}-{}", self.engines[place].starts)
    }

    /// The registry and the sidecars tell of all engines that are there.
    fn tell(&mut self, now: u64) {
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|place| self.engines[*place].back_at <= now)
            .collect();
        let number = |place: usize| u8::try_from(place).unwrap();
        let records = up.iter().map(|place| EndpointRecord {
            name: endpoint(&self.name(*place)),
            draining: self.leaves && self.engines[*place].loading == Some(model("bad")),
            ..record(number(*place), &["base"])
        });
        let records = records.collect();
        self.directory.apply_registry(records, at(now));
        for place in up {
            self.words += 1;
            let engine = &self.engines[place];
            let held: Vec<&str> = engine.held.iter().map(ModelName::as_str).collect();
            let told = EnginePulse {
                number: MessageNumber {
                    boot: 1,
                    number: self.words,
                },
                loading: engine.loading.clone(),
                ..pulse(number(place), &held, 0)
            };
            self.directory.take_pulse(told, at(now));
        }
    }

    fn loads(&self, name: &str) -> &[u64] {
        self.advised.get(&model(name)).map_or(&[], Vec::as_slice)
    }
}

/// Callers of a model are refused, since nobody holds it; the planner has an engine load it, which ends with the
/// load and takes its streams along. The model is then still missing, so the next engine was told to load it, and the
/// next. Loads of it wait longer and longer instead, and the other model is not held up.
#[test]
fn a_model_whose_load_ends_engines_is_tried_ever_more_seldom() {
    let mut fleet = LoadingFleet::new();
    fleet.play(60, u64::MAX);
    let bad = fleet.loads("bad");
    assert!(bad.len() <= 6, "{bad:?}");
    assert!(!fleet.loads("good").is_empty());
}

/// The model's weights are mended. It is tried again in its turn, and serves; one more end later starts anew.
#[test]
fn a_model_that_loads_again_is_reachable_again() {
    let mut fleet = LoadingFleet::new();
    fleet.play(60, 20_000);
    let is_held = |engine: &FragileEngine| engine.held.contains(&model("bad"));
    assert!(fleet.engines.iter().any(is_held));
}

/// Engines that are taken away in the middle of a load end by themselves. The model that they were to load is loaded
/// elsewhere without delay.
#[test]
fn engines_that_leave_in_a_load_hold_nothing_against_the_model() {
    let mut fleet = LoadingFleet::new();
    fleet.leaves = true;
    fleet.play(20, u64::MAX);
    assert!(fleet.loads("bad").len() > 6);
}
