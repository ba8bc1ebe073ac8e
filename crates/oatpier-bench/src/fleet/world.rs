//! The whole fleet, and the loop.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use oatpier_admission::event::{AdmissionLimits, AdmissionTicket};
use oatpier_admission::policy::AgentPolicy;
use oatpier_placement::demand::{DemandBook, DemandLedger};
use oatpier_placement::planner::FleetPlanner;
use oatpier_placement::record::RecordAnswer;
use oatpier_placement::release::{ReleaseAnswer, ReleaseAsk};
use oatpier_policy::action::CancelMode;
use oatpier_policy::event::EntryEvent;
use oatpier_standin::engine::EngineCore;
use oatpier_standin::weights::{SharedWeights, WeightStore, WeightsOptions};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{CacheEvent, LoadReport, WeightsKey};
use oatpier_types::ids::{AttemptId, BootId, RequestId};
use oatpier_types::names::{EndpointName, ZoneName};
use oatpier_types::plan::{EndpointPlan, PlacementPlan};
use oatpier_types::pulse::{AgentPulse, EndpointStatus};
use oatpier_types::request::{AttemptSpec, PrefixChain};

use super::agent::{AgentBrain, PlainAgent};
use super::caller::CallerBook;
use super::entry::EntryBrain;
use super::node::{EngineNode, NodeParts, NodePlace, fresh_engine};
use super::queue::EventQueue;
use crate::load::demand::BenchArrival;
use crate::load::deployment::{ADAPTER_MEMORY_MIB, BenchDeployment, MODEL_MEMORY_MIB};
use crate::load::scenario::{BenchScenario, FaultPlan, RUN_LENGTH, WARM_UP};

/// How often agents tell entries of themselves.
pub(super) const HEARTBEAT: Duration = Duration::from_secs(1);
/// After how long a silence an entry forgets an endpoint.
pub(super) const SILENCE: Duration = Duration::from_secs(3);
/// How often the planner makes a plan.
const PLAN_EVERY: Duration = Duration::from_secs(1);
/// How often the memory and the use of accelerators are looked at.
const SAMPLE_EVERY: Duration = Duration::from_millis(500);
/// How often published reports are read.
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// One-way latency within an availability zone.
const WITHIN_ZONE: Duration = Duration::from_micros(250);
/// How long after the end of the demand the run goes on.
const RUN_OUT: Duration = Duration::from_secs(30);

/// Something that happens.
pub(super) enum FleetStep {
    /// A caller sends a try.
    Arrive { arrival: usize, number: u32 },
    /// An attempt reaches an agent.
    Attempt {
        node: usize,
        entry: usize,
        spec: Box<AttemptSpec>,
        ticket: Option<AdmissionTicket>,
    },
    /// A cancel reaches an agent.
    Cancel {
        node: usize,
        entry: usize,
        request: RequestId,
        attempt: AttemptId,
        ticket: Option<AdmissionTicket>,
        mode: CancelMode,
    },
    /// Something about a request reaches its entry.
    AtEntry {
        entry: usize,
        request: RequestId,
        event: EntryEvent,
    },
    /// An agent's word reaches an entry.
    Status {
        entry: usize,
        status: EndpointStatus,
    },
    /// Published reports reach an entry.
    Reports {
        entry: usize,
        node: usize,
        load: LoadReport,
        cache: Vec<CacheEvent>,
    },
    /// An entry's timer.
    EntryTimer { entry: usize },
    /// An agent's timer.
    AgentTimer { node: usize, boot: BootId },
    /// An engine has something to do.
    Engine { node: usize, boot: BootId },
    /// An agent looks after its moves.
    Moves { node: usize, boot: BootId },
    /// The store answers an agent.
    Stored {
        node: usize,
        boot: BootId,
        answer: RecordAnswer,
    },
    /// An agent is asked for a release.
    Ask { node: usize, ask: ReleaseAsk },
    /// An agent is answered about a release.
    Asked { node: usize, answer: ReleaseAnswer },
    /// Agents send heartbeats.
    Heartbeats,
    /// Reports are read.
    ReadReports,
    /// The planner makes a plan.
    Plan,
    /// A row of the plan reaches an agent.
    Planned { node: usize, row: EndpointPlan },
    /// Memory and use are looked at.
    Sample,
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds { fault: usize, node: usize },
}

/// What decides in a run.
pub struct FleetBrains {
    /// At each entry.
    pub entries: Vec<Box<dyn EntryBrain>>,
    /// Whether agents decide by oatpier's admission or pass everything on.
    pub admission: bool,
    /// Where weights are.
    pub planner: Box<dyn FleetPlanner>,
    /// Whether the plan follows the demand or stays as it was at the start.
    pub replans: bool,
}

/// What a run showed.
#[derive(Debug, Clone, PartialEq)]
pub struct RunFigures {
    /// Requests that callers sent after the warm-up.
    pub requests: u64,
    /// Of these, delivered once, whole and within target.
    pub delivered: u64,
    /// Accelerators that held weights, on average over time.
    pub accelerators_used: f64,
    /// Loads, unloads and role changes that agents ordered after the warm-up.
    pub moves: u64,
    /// Breaches of what must always hold.
    pub breaches: Vec<String>,
    /// Answers that were not whole, by cause, over the whole run.
    pub refusals: IndexMap<String, u32>,
}

pub(super) struct EntryNode {
    pub(super) brain: Box<dyn EntryBrain>,
    pub(super) zone: ZoneName,
    pub(super) armed: ClockTime,
    pub(super) demand: DemandLedger,
    pub(super) pulses: IndexMap<EndpointName, AgentPulse>,
    pub(super) tickets: IndexMap<AttemptId, Option<AdmissionTicket>>,
}

/// The whole fleet.
pub struct FleetWorld<'a> {
    pub(super) deployment: &'a BenchDeployment,
    pub(super) scenario: BenchScenario,
    pub(super) arrivals: &'a [BenchArrival],
    pub(super) queue: EventQueue<FleetStep>,
    pub(super) now: ClockTime,
    pub(super) entries: Vec<EntryNode>,
    pub(super) nodes: Vec<EngineNode>,
    pub(super) indices: IndexMap<EndpointName, usize>,
    pub(super) callers: CallerBook,
    pub(super) prefixes: IndexMap<RequestId, PrefixChain>,
    pub(super) store: SharedWeights,
    pub(super) planner: Box<dyn FleetPlanner>,
    pub(super) replans: bool,
    pub(super) admission: bool,
    pub(super) demand: DemandBook,
    pub(super) plan: Option<PlacementPlan>,
    pub(super) faults: Vec<FaultPlan>,
    pub(super) heard: BTreeMap<usize, ClockTime>,
    pub(super) boots: u128,
    pub(super) requests: u128,
    pub(super) moves: u64,
    used_samples: Vec<f64>,
}

impl<'a> FleetWorld<'a> {
    /// A fleet at its start: the planner's first plan is loaded already.
    #[must_use]
    pub fn new(
        deployment: &'a BenchDeployment,
        scenario: BenchScenario,
        arrivals: &'a [BenchArrival],
        brains: FleetBrains,
    ) -> Self {
        let mut world = Self {
            deployment,
            scenario,
            arrivals,
            queue: EventQueue::default(),
            now: ClockTime::ZERO,
            entries: Vec::new(),
            nodes: Vec::new(),
            indices: IndexMap::new(),
            callers: CallerBook::default(),
            prefixes: IndexMap::new(),
            store: weight_store(deployment),
            planner: brains.planner,
            replans: brains.replans,
            admission: brains.admission,
            demand: DemandBook::new(),
            plan: None,
            faults: scenario.faults(),
            heard: BTreeMap::new(),
            boots: 0,
            requests: 0,
            moves: 0,
            used_samples: Vec::new(),
        };
        world.add_entries(brains.entries);
        world.add_nodes();
        world.start();
        world
    }

    fn add_entries(&mut self, brains: Vec<Box<dyn EntryBrain>>) {
        let zones = self.zones();
        self.entries = brains
            .into_iter()
            .enumerate()
            .map(|(index, brain)| EntryNode {
                brain,
                zone: zones[index % zones.len()].clone(),
                armed: ClockTime::NEVER,
                demand: DemandLedger::new(),
                pulses: IndexMap::new(),
                tickets: IndexMap::new(),
            })
            .collect();
    }

    fn zones(&self) -> Vec<ZoneName> {
        let regions = self.deployment.config.regions.values();
        regions.flat_map(|region| region.zones.clone()).collect()
    }

    fn add_nodes(&mut self) {
        for place in engine_places(self.deployment) {
            let parts = self.parts(&place, Vec::new());
            let index = self.nodes.len();
            self.indices.insert(place.endpoint.clone(), index);
            let node = EngineNode::new(place, parts, &self.deployment.config);
            self.nodes.push(node);
        }
        self.preload();
    }

    /// The first plan, made before any demand, is there from the start.
    fn preload(&mut self) {
        let plan = self.make_plan();
        for row in &plan.endpoints {
            let Some(index) = self.indices.get(&row.endpoint).copied() else {
                continue;
            };
            let place = self.nodes[index].place.clone();
            let parts = self.parts(&place, row.weights.to_vec());
            let mut node = EngineNode::new(place, parts, &self.deployment.config);
            node.plan = Some(row.clone());
            self.nodes[index] = node;
        }
        self.plan = Some(plan);
    }

    pub(super) fn parts(&mut self, place: &NodePlace, preloaded: Vec<WeightsKey>) -> NodeParts {
        self.boots += 1;
        let boot = BootId(self.boots);
        NodeParts {
            boot,
            brain: self.agent_brain(boot),
            engine: self.engine(place, preloaded),
        }
    }

    fn engine(&self, place: &NodePlace, preloaded: Vec<WeightsKey>) -> EngineCore {
        fresh_engine(
            place,
            &self.deployment.config,
            self.deployment.step,
            self.scenario.report_lag(),
            &self.store,
            preloaded,
        )
    }

    fn agent_brain(&self, boot: BootId) -> Box<dyn AgentBrain> {
        if !self.admission {
            return Box::new(PlainAgent::new(boot));
        }
        let limits = AdmissionLimits::for_slots(crate::load::deployment::ENGINE_SLOTS);
        let mut policy = AgentPolicy::new(boot, limits);
        let classes = self.deployment.config.classes.clone();
        let event = oatpier_admission::event::AgentEvent::ClassesChanged { classes };
        policy.step(event, self.now);
        Box::new(policy)
    }

    fn start(&mut self) {
        for index in 0..self.nodes.len() {
            self.begin_node(index);
        }
        self.queue.push(self.now, FleetStep::Heartbeats);
        self.queue.push(self.now, FleetStep::ReadReports);
        self.queue.push(self.now + PLAN_EVERY, FleetStep::Plan);
        self.queue.push(self.now, FleetStep::Sample);
        for (arrival, request) in self.arrivals.iter().enumerate() {
            // Entries get a moment to hear of the agents.
            let at = request.at.max(ClockTime::from_millis(100));
            self.queue
                .push(at, FleetStep::Arrive { arrival, number: 0 });
        }
        for (index, fault) in self.faults.iter().enumerate() {
            self.queue.push(fault.at, FleetStep::FaultBegins(index));
        }
    }

    /// Runs to the end and gives the figures.
    #[must_use]
    pub fn run(mut self) -> RunFigures {
        let end = ClockTime::from_start(RUN_LENGTH + RUN_OUT);
        while let Some((at, step)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.take(step);
        }
        self.figures()
    }

    fn take(&mut self, step: FleetStep) {
        match step {
            FleetStep::Arrive { arrival, number } => self.arrive(arrival, number),
            FleetStep::AtEntry {
                entry,
                request,
                event,
            } => self.at_entry(entry, request, &event),
            FleetStep::EntryTimer { entry } => self.entry_timer(entry),
            FleetStep::Status { entry, status } => self.status_at(entry, &status),
            FleetStep::Reports {
                entry,
                node,
                load,
                cache,
            } => self.reports_at(entry, node, &load, &cache),
            FleetStep::Attempt {
                node,
                entry,
                spec,
                ticket,
            } => self.attempt(node, entry, *spec, ticket),
            FleetStep::Cancel {
                node,
                entry,
                request,
                attempt,
                ticket,
                mode,
            } => self.cancel(node, entry, (request, attempt), ticket, mode),
            FleetStep::AgentTimer { node, boot } => self.agent_timer(node, boot),
            FleetStep::Engine { node, boot } => self.engine_step(node, boot),
            FleetStep::Moves { node, boot } => self.moves_tick(node, boot),
            FleetStep::Stored { node, boot, answer } => self.stored(node, boot, answer),
            FleetStep::Ask { node, ask } => self.asked_release(node, ask),
            FleetStep::Asked { node, answer } => self.released(node, answer),
            FleetStep::Planned { node, row } => self.nodes[node].plan = Some(row),
            FleetStep::FaultBegins(fault) => self.fault_begins(fault),
            FleetStep::FaultEnds { fault, node } => self.fault_ends(fault, node),
            FleetStep::Heartbeats => self.heartbeats(),
            FleetStep::ReadReports => self.read_reports(REPORT_EVERY),
            FleetStep::Plan => self.plan_tick(PLAN_EVERY),
            FleetStep::Sample => self.sample(),
        }
    }

    fn sample(&mut self) {
        let accelerators = self.nodes.iter().filter(|node| node.is_used()).count() * 4;
        if self.is_measured(self.now) {
            self.used_samples.push(as_f64(accelerators));
        }
        if self.now < ClockTime::from_start(RUN_LENGTH) {
            self.queue.push(self.now + SAMPLE_EVERY, FleetStep::Sample);
        }
    }

    pub(super) fn is_measured(&self, at: ClockTime) -> bool {
        (ClockTime::from_start(WARM_UP)..ClockTime::from_start(RUN_LENGTH)).contains(&at)
    }

    /// Latency between an entry and a node, one way.
    pub(super) fn latency(&self, entry: usize, node: usize) -> Duration {
        if self.entries[entry].zone == self.nodes[node].place.zone {
            WITHIN_ZONE
        } else {
            self.deployment.between_zones
        }
    }

    fn figures(mut self) -> RunFigures {
        for node in &mut self.nodes {
            self.callers.extend(node.engine.take_events());
        }
        let from = ClockTime::from_start(WARM_UP);
        let to = ClockTime::from_start(RUN_LENGTH);
        let measured: Vec<_> = self.callers.sent_within(from, to).collect();
        let delivered = measured.iter().filter(|record| record.in_time).count();
        let checker = oatpier_checker::LogChecker::new(oatpier_checker::RuleBounds::default());
        let breaches = checker.check(self.callers.events());
        RunFigures {
            requests: measured.len() as u64,
            delivered: delivered as u64,
            accelerators_used: self.used_samples.iter().sum::<f64>()
                / as_f64(self.used_samples.len().max(1)),
            moves: self.moves,
            breaches: breaches.iter().map(ToString::to_string).collect(),
            refusals: self
                .callers
                .refusals()
                .iter()
                .map(|(cause, count)| ((*cause).to_owned(), *count))
                .collect(),
        }
    }
}

/// Counts here are far below 2^52.
#[allow(clippy::cast_precision_loss)]
fn as_f64(count: usize) -> f64 {
    count as f64
}

fn weight_store(deployment: &BenchDeployment) -> SharedWeights {
    let config = &deployment.config;
    let models = config
        .models
        .keys()
        .filter_map(|model| config.model_weights(model));
    let adapters = config
        .adapters
        .keys()
        .filter_map(|adapter| config.adapter_weights(adapter));
    let sizes = models
        .map(|weights| (weights, MODEL_MEMORY_MIB))
        .chain(adapters.map(|weights| (weights, ADAPTER_MEMORY_MIB)))
        .collect();
    WeightStore::shared(WeightsOptions {
        sizes,
        default_mib: MODEL_MEMORY_MIB,
        loads_per_second: config.weight_store.loads_per_second,
        full_speed_loads: config.weight_store.full_speed_loads,
        mib_per_second: 4_096,
    })
}

fn engine_places(deployment: &BenchDeployment) -> Vec<NodePlace> {
    let engines =
        deployment.config.pools.iter().filter(|(_, pool)| {
            matches!(pool.kind, oatpier_types::config::PoolKind::Engine { .. })
        });
    engines
        .flat_map(|(name, pool)| {
            pool.endpoints.iter().map(|(endpoint, zone)| NodePlace {
                endpoint: endpoint.clone(),
                pool: name.clone(),
                zone: zone.clone(),
            })
        })
        .collect()
}
