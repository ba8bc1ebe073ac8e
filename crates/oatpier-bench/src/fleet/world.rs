//! The whole fleet, and the loop.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;
use oatpier_admission::event::AdmissionTicket;
use oatpier_placement::demand::{DemandLedger, DemandTotals};
use oatpier_placement::planner::FleetPlanner;
use oatpier_standin::weights::SharedWeights;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::names::{EndpointName, ZoneName};
use oatpier_types::plan::PlacementPlan;
use oatpier_types::request::PrefixChain;
use oatpier_types::status::QueueReport;

use super::caller::CallerBook;
use super::entry::EntryBrain;
use super::figures::RunFigures;
use super::node::EngineNode;
use super::queue::EventQueue;
use super::setup::weight_store;
use super::step::FleetStep;
use crate::load::demand::BenchArrival;
use crate::load::deployment::BenchDeployment;
use crate::load::scenario::{BenchCase, BenchScenario, FaultPlan, RunSpan};
use crate::units::size_f64;

/// How often agents tell entries of themselves.
pub(super) const HEARTBEAT: Duration = Duration::from_secs(1);
/// After how long a silence an entry forgets an endpoint.
pub(crate) const SILENCE: Duration = Duration::from_secs(3);
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

pub(super) struct EntryNode {
    pub(super) brain: Box<dyn EntryBrain>,
    pub(super) zone: ZoneName,
    pub(super) armed: ClockTime,
    pub(super) demand: DemandLedger,
    pub(super) reports: IndexMap<EndpointName, QueueReport>,
    pub(super) tickets: IndexMap<AttemptId, Option<AdmissionTicket>>,
}

/// The whole fleet.
pub struct FleetWorld<'a> {
    pub(super) deployment: &'a BenchDeployment,
    pub(super) scenario: BenchScenario,
    pub(super) span: RunSpan,
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
    pub(super) demand: DemandTotals,
    pub(super) plan: Option<PlacementPlan>,
    pub(super) faults: Vec<FaultPlan>,
    pub(super) heard: BTreeMap<usize, ClockTime>,
    pub(super) boots: u128,
    pub(super) requests: u128,
    pub(super) move_times: Vec<ClockTime>,
    pub(super) used_samples: Vec<f64>,
}

impl<'a> FleetWorld<'a> {
    /// A fleet at its start: the planner's first plan is loaded already.
    #[must_use]
    pub fn new(case: BenchCase<'a>, arrivals: &'a [BenchArrival], brains: FleetBrains) -> Self {
        let BenchCase {
            deployment,
            scenario,
            span,
        } = case;
        let mut world = Self {
            deployment,
            scenario,
            span,
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
            demand: DemandTotals::new(),
            plan: None,
            faults: scenario.faults(),
            heard: BTreeMap::new(),
            boots: 0,
            requests: 0,
            move_times: Vec::new(),
            used_samples: Vec::new(),
        };
        world.add_entries(brains.entries);
        world.add_nodes();
        world.start();
        world
    }

    fn start(&mut self) {
        for index in 0..self.nodes.len() {
            self.begin_node(index);
        }
        self.queue.push(self.now, FleetStep::Heartbeats);
        self.queue.push(self.now, FleetStep::ReadReports);
        self.queue.push(self.now + PLAN_EVERY, FleetStep::Plan);
        self.queue.push(self.now, FleetStep::Sample);
        self.queue_arrival(0);
    }

    /// The same fleet with other faults than those of its scenario.
    #[must_use]
    pub fn with_faults(mut self, faults: Vec<FaultPlan>) -> Self {
        self.faults = faults;
        self
    }

    /// Queues one arrival; it queues the next one, so that the queue stays short.
    pub(super) fn queue_arrival(&mut self, arrival: usize) {
        if let Some(next) = self.arrivals.get(arrival) {
            // Entries get a moment to hear of the agents.
            let at = next.at.max(ClockTime::from_millis(100));
            self.queue
                .push(at, FleetStep::Arrive { arrival, number: 0 });
        }
    }

    /// Runs to the end and gives the figures.
    #[must_use]
    pub fn run(mut self) -> RunFigures {
        for (index, fault) in self.faults.iter().enumerate() {
            self.queue.push(fault.at, FleetStep::FaultBegins(index));
        }
        let end = self.span.ends_at() + RUN_OUT;
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
            self.used_samples.push(size_f64(accelerators));
        }
        if self.now < self.span.ends_at() {
            self.queue.push(self.now + SAMPLE_EVERY, FleetStep::Sample);
        }
    }

    pub(super) fn is_measured(&self, at: ClockTime) -> bool {
        (self.span.counted_from()..self.span.ends_at()).contains(&at)
    }

    /// Latency between an entry and a node, one way.
    pub(super) fn latency(&self, entry: usize, node: usize) -> Duration {
        if self.entries[entry].zone == self.nodes[node].place.zone {
            WITHIN_ZONE
        } else {
            self.deployment.between_zones
        }
    }
}
