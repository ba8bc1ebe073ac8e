//! Engines of unequal speed whose models the planner places, for tests of its decisions over time.
//!
//! Requests are a flow: each model's requests are shared by its holders in proportion to their true speed, an engine
//! that is asked for more than it can serve refuses the rest, and streams are late at the engine's rate of late pauses.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use oatpier_serving::capacity::EnginePace;
use oatpier_serving::directory::{EndpointDirectory, EndpointRecord};
use oatpier_serving::engine::{LocalCopies, StartTime};
use oatpier_serving::message::{EngineStatus, MessageNumber, PaceStatus};
use oatpier_serving::peers::{FleetUses, TotalDemand};
use oatpier_serving::planner::{FleetDemand, LoadPlanner, LoadReason, PlanOutcome};
use oatpier_types::names::ModelName;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{SLOTS, address, at, endpoint, engine_rule, model, record, service, status};

/// Interval between two rounds of the planner, in milliseconds.
pub const ROUND_MS: u64 = 150;

/// Models that fit into an engine's memory.
const MODELS_PER_ENGINE: usize = 2;

/// Number of chunks from which a stream counts as long.
const LONG_CHUNKS: f64 = 20.0;

/// Speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrueSpeed {
    pub chunk_ms: f64,
    pub late_pauses_per_s: f64,
}

pub const SLOW: TrueSpeed = speed(83.0, 0.28);
pub const USUAL: TrueSpeed = speed(50.0, 0.11);
pub const FAST: TrueSpeed = speed(31.0, 0.005);

const fn speed(chunk_ms: f64, late_pauses_per_s: f64) -> TrueSpeed {
    TrueSpeed {
        chunk_ms,
        late_pauses_per_s,
    }
}

/// What the sidecars report of their engines' pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceReports {
    None,
    EverySecond,
    /// Every other engine has none.
    HalfOfEngines,
    /// Every other engine's sidecar has stopped reporting it.
    StaleForHalf,
}

/// Requests for a model.
#[derive(Debug, Clone, Copy)]
pub struct ModelFlow {
    pub per_s: f64,
    pub chunks: f64,
    asked: [f64; 3],
    asked_at: Option<u64>,
    sent: f64,
    running: f64,
    unserved: f64,
}

/// An engine.
#[derive(Debug, Clone)]
pub struct PlacedEngine {
    pub speed: TrueSpeed,
    pub held: Vec<String>,
    pub copies: Vec<String>,
    pub loading: Option<(String, u64)>,
    pub up_at: u64,
    starts: u32,
}

/// What callers got over some time, in requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerTotals {
    pub asked: f64,
    /// Requests for models that no engine held.
    pub missing: f64,
    /// Requests for models with long streams.
    pub long_asked: f64,
    pub long_in_time: f64,
}

/// The fleet.
pub struct PlacementFleet {
    pub engines: Vec<PlacedEngine>,
    pub flows: BTreeMap<String, ModelFlow>,
    pub planner: LoadPlanner,
    pub reports: PaceReports,
    pub totals: CallerTotals,
    /// All advised loads: time, engine, model and reason.
    pub advised: Vec<(u64, usize, String, LoadReason)>,
    /// Model whose loads end the engine.
    pub harmful: Option<String>,
    /// Deviation of each reported pace from the true one.
    pub noise: f64,
    pub now: u64,
    /// Number of engines that have ended.
    pub ends: usize,
    directory: EndpointDirectory,
    random: ChaCha8Rng,
    messages: u64,
}

impl PlacementFleet {
    /// Starts engines with the given speeds, which hold the models in random places: one each, and the free places
    /// are filled with the first models in order.
    pub fn start(seed: u64, speeds: &[TrueSpeed], flows: &[(String, f64, f64)]) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let engine = |speed: &TrueSpeed| PlacedEngine {
            speed: *speed,
            held: Vec::new(),
            copies: Vec::new(),
            loading: None,
            up_at: 0,
            starts: 0,
        };
        let mut engines: Vec<PlacedEngine> = speeds.iter().map(engine).collect();
        let mut places: Vec<usize> = (0..engines.len() * MODELS_PER_ENGINE)
            .map(|place| place % engines.len())
            .collect();
        places.shuffle(&mut random);
        let mut repeated = flows.iter().cycle().map(|(name, _, _)| name).peekable();
        for place in places {
            let held = &mut engines[place].held;
            let fitting = repeated.next_if(|name| !held.contains(name));
            held.extend(fitting.cloned());
        }
        for engine in &mut engines {
            engine.copies.clone_from(&engine.held);
        }
        let flow = |per_s, chunks| ModelFlow {
            per_s,
            chunks,
            asked: [per_s; 3],
            asked_at: (per_s > 0.0).then_some(0),
            sent: 0.0,
            running: 0.0,
            unserved: 0.0,
        };
        Self {
            engines,
            flows: flows
                .iter()
                .map(|(name, per_s, chunks)| (name.clone(), flow(*per_s, *chunks)))
                .collect(),
            planner: LoadPlanner::default(),
            reports: PaceReports::EverySecond,
            totals: CallerTotals::default(),
            advised: Vec::new(),
            harmful: None,
            noise: 0.0,
            now: 0,
            ends: 0,
            directory: EndpointDirectory::default(),
            random,
            messages: 0,
        }
    }

    /// Runs for some time and returns what callers got in it.
    pub fn run(&mut self, millis: u64) -> CallerTotals {
        self.totals = CallerTotals::default();
        let end = self.now + millis;
        while self.now < end {
            self.finish_loads();
            self.serve();
            self.report();
            let outcome = self.plan();
            for load in outcome.planned {
                let name = load.endpoint.as_str();
                let index = (0..self.engines.len()).find(|index| engine_name(*index) == name);
                let index = index.unwrap();
                let wanted = load.advice.load.to_string();
                let duration = if self.engines[index].copies.contains(&wanted) {
                    400
                } else {
                    2_000
                };
                let engine = &mut self.engines[index];
                let unload = &load.advice.unload;
                engine.held.retain(|held| !unload.contains(&model(held)));
                engine.loading = Some((wanted.clone(), self.now + duration));
                self.advised.push((self.now, index, wanted, load.reason));
            }
            self.now += ROUND_MS;
        }
        self.totals
    }

    /// Plans once without carrying out the result.
    pub fn plan(&mut self) -> PlanOutcome {
        let names: Vec<&str> = self.flows.keys().map(String::as_str).collect();
        let rule = engine_rule(&names);
        let demand = self.demand();
        let demand = FleetDemand {
            models: &demand,
            uses: &FleetUses::default(),
        };
        let pool = service();
        let rows = self.directory.service(&pool);
        self.planner.plan(&rule, rows, demand, at(self.now))
    }

    /// Ends an engine, which starts again empty after `downtime` milliseconds.
    pub fn end_engine(&mut self, index: usize, downtime: u64) {
        self.ends += 1;
        let engine = &mut self.engines[index];
        engine.held.clear();
        engine.copies.clear();
        engine.loading = None;
        engine.up_at = self.now + downtime;
        engine.starts += 1;
    }

    /// Ends some of the engines that are up.
    pub fn end_some(&mut self, count: usize, downtime: u64) {
        let mut up: Vec<usize> = (0..self.engines.len())
            .filter(|index| self.engines[*index].up_at <= self.now)
            .collect();
        up.shuffle(&mut self.random);
        for index in up.into_iter().take(count) {
            self.end_engine(index, downtime);
        }
    }

    pub fn holders<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a PlacedEngine> + 'a {
        let holds = move |engine: &&PlacedEngine| {
            engine.up_at <= self.now && engine.held.iter().any(|held| held == name)
        };
        self.engines.iter().filter(holds)
    }

    /// Returns the models that are requested and that no engine holds.
    pub fn missing(&self) -> Vec<&str> {
        let asked = self.flows.iter().filter(|(_, flow)| flow.per_s > 0.0);
        let names = asked.map(|(name, _)| name.as_str());
        names
            .filter(|name| self.holders(name).next().is_none())
            .collect()
    }

    fn finish_loads(&mut self) {
        for index in 0..self.engines.len() {
            let done = self.engines[index]
                .loading
                .take_if(|load| load.1 <= self.now);
            let Some((name, _)) = done else {
                continue;
            };
            if self.harmful.as_ref() == Some(&name) {
                self.end_engine(index, 3_000);
                continue;
            }
            let engine = &mut self.engines[index];
            engine.copies.push(name.clone());
            engine.held.push(name);
        }
    }

    /// Serves the requests of one round.
    fn serve(&mut self) {
        let flows = self.flows.clone();
        let speed_sum = |name: &str| -> f64 {
            let holders = self.holders(name);
            holders.map(|engine| 1.0 / engine.speed.chunk_ms).sum()
        };
        let sums: HashMap<&str, f64> = flows
            .keys()
            .map(|name| (name.as_str(), speed_sum(name)))
            .collect();
        let round_s = Duration::from_millis(ROUND_MS).as_secs_f64();
        let mut next: BTreeMap<String, ModelFlow> = flows.clone();
        for flow in next.values_mut() {
            (flow.sent, flow.running) = (0.0, 0.0);
        }
        for engine in self
            .engines
            .iter()
            .filter(|engine| engine.up_at <= self.now)
        {
            let part = |name: &str| flows[name].per_s / (engine.speed.chunk_ms * sums[name]);
            let time_s = |name: &str| flows[name].chunks * engine.speed.chunk_ms / 1_000.0;
            let held = engine.held.iter().map(String::as_str);
            let used: f64 = held.clone().map(|name| part(name) * time_s(name)).sum();
            let served = (f64::from(SLOTS) / used.max(1e-9)).min(1.0);
            for name in held {
                let sent = part(name) * served;
                let late = 1.0 - (-engine.speed.late_pauses_per_s * time_s(name)).exp();
                let flow = next.get_mut(name).unwrap();
                flow.sent += sent;
                flow.running += sent * time_s(name);
                let in_time = sent * (1.0 - late) * round_s;
                if flow.chunks >= LONG_CHUNKS {
                    self.totals.long_in_time += in_time;
                }
            }
        }
        for (name, flow) in &mut next {
            flow.unserved = flow.per_s - flow.sent;
            self.totals.asked += flow.per_s * round_s;
            if flow.chunks >= LONG_CHUNKS {
                self.totals.long_asked += flow.per_s * round_s;
            }
            if sums[name.as_str()] <= 0.0 {
                self.totals.missing += flow.per_s * round_s;
            }
            if flow.per_s > 0.0 {
                flow.asked_at = Some(self.now);
            }
            for (asked, decay_s) in flow.asked.iter_mut().zip([0.8, 2.4, 6.0]) {
                *asked += (flow.per_s - *asked) * round_s / decay_s;
            }
        }
        self.flows = next;
    }

    fn demand(&self) -> HashMap<ModelName, TotalDemand> {
        let total = |flow: &ModelFlow| TotalDemand {
            running: flow.running,
            sent: flow.sent,
            unserved: flow.unserved.max(0.0),
            asked_fast: flow.asked[0],
            asked_slow: flow.asked[1],
            asked_long: flow.asked[2],
            adapters: 0.0,
            idle: flow
                .asked_at
                .map(|asked_at| Duration::from_millis(self.now - asked_at)),
        };
        let flows = self.flows.iter();
        flows
            .map(|(name, flow)| (model(name), total(flow)))
            .collect()
    }

    /// Updates the directory from the registry and the sidecars of the engines that are up.
    fn report(&mut self) {
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|index| self.engines[*index].up_at <= self.now)
            .collect();
        let number = |index: usize| u8::try_from(index).unwrap();
        let records = up.iter().map(|index| EndpointRecord {
            name: endpoint(&engine_name(*index)),
            ..record(number(*index), &[])
        });
        let records = records.collect();
        self.directory.apply_registry(records, at(self.now));
        for index in up {
            self.messages += 1;
            let engine = &self.engines[index];
            let held: Vec<&str> = engine.held.iter().map(String::as_str).collect();
            let loading = engine.loading.as_ref().map(|(name, _)| model(name));
            let start = Some(StartTime(u64::from(engine.starts)));
            let state = EngineStatus {
                number: MessageNumber {
                    boot: 1,
                    number: self.messages,
                },
                start,
                loading,
                copies: LocalCopies {
                    in_memory: engine.copies.iter().map(|name| model(name)).collect(),
                    on_disk: Vec::new(),
                },
                ..status(number(index), &held, 0)
            };
            self.directory.apply_status(state, at(self.now));
            let is_reported = match self.reports {
                PaceReports::None => false,
                PaceReports::EverySecond => true,
                PaceReports::HalfOfEngines => index % 2 == 0,
                PaceReports::StaleForHalf => index % 2 == 0 || self.now < 1_000,
            };
            if is_reported {
                self.report_pace(index, start);
            }
        }
    }

    fn report_pace(&mut self, index: usize, start: Option<StartTime>) {
        let mut deviation = 1.0;
        if self.noise > 0.0 {
            deviation += self.noise * self.random.random_range(-1.0..=1.0);
        }
        let speed = self.engines[index].speed;
        let whole = |value: f64| format!("{value:.0}").parse().unwrap();
        let update = PaceStatus {
            number: MessageNumber {
                boot: 1,
                number: self.messages,
            },
            engine: address(u8::try_from(index).unwrap()),
            start,
            pace: EnginePace {
                chunk_us: whole(speed.chunk_ms * 1_000.0 * deviation),
                late_pauses_per_ks: whole(speed.late_pauses_per_s * 1_000.0 * deviation),
                ..EnginePace::default()
            },
        };
        self.directory.apply_pace(&update, at(self.now));
    }
}

fn engine_name(index: usize) -> String {
    format!("i-{index}")
}
