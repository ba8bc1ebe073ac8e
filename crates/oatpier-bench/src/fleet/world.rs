//! The whole fleet and the event loop.

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

use super::caller::CallerRecorder;
use super::entry::EntryDecider;
use super::figures::RunFigures;
use super::node::EngineNode;
use super::queue::EventQueue;
use super::setup::weight_store;
use super::step::FleetStep;
use crate::load::demand::BenchArrival;
use crate::load::deployment::BenchDeployment;
use crate::load::scenario::{BenchCase, BenchScenario, FaultPlan, RunSpan};
use crate::units::size_f64;

/// Interval at which agents send their status to the entries.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a heartbeat after which entries remove an endpoint.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which the planner computes a plan.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the number of accelerators in use is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the engines' load reports and cache events are read.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// One-way latency within an availability zone.
const IN_ZONE_LATENCY: Duration = Duration::from_micros(250);
/// Time for which a run continues after the end of the demand, so that open requests can end.
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// Decision makers of a run.
pub struct FleetDeciders {
    /// Request decisions of each entry.
    pub entries: Vec<Box<dyn EntryDecider>>,
    /// Whether agents use oatpier's admission. Otherwise they forward every attempt.
    pub admission: bool,
    /// Planner that decides which endpoints hold which weights.
    pub planner: Box<dyn FleetPlanner>,
    /// Whether the plan follows the demand. Otherwise the first plan stays in force.
    pub replans: bool,
}

pub(super) struct EntryNode {
    pub(super) decider: Box<dyn EntryDecider>,
    pub(super) zone: ZoneName,
    pub(super) armed: ClockTime,
    pub(super) demand: DemandLedger,
    pub(super) reports: IndexMap<EndpointName, QueueReport>,
    pub(super) tickets: IndexMap<AttemptId, Option<AdmissionTicket>>,
}

/// Simulated fleet and its event queue.
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
    pub(super) callers: CallerRecorder,
    pub(super) prefixes: IndexMap<RequestId, PrefixChain>,
    pub(super) store: SharedWeights,
    pub(super) planner: Box<dyn FleetPlanner>,
    pub(super) replans: bool,
    pub(super) admission: bool,
    pub(super) demand: DemandTotals,
    pub(super) plan: Option<PlacementPlan>,
    pub(super) faults: Vec<FaultPlan>,
    pub(super) last_heartbeats: BTreeMap<usize, ClockTime>,
    pub(super) boots: u128,
    pub(super) requests: u128,
    pub(super) move_times: Vec<ClockTime>,
    pub(super) used_samples: Vec<f64>,
}

impl<'a> FleetWorld<'a> {
    /// Creates a fleet in which the weights of the planner's first plan are already loaded.
    #[must_use]
    pub fn new(case: BenchCase<'a>, arrivals: &'a [BenchArrival], deciders: FleetDeciders) -> Self {
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
            callers: CallerRecorder::default(),
            prefixes: IndexMap::new(),
            store: weight_store(deployment),
            planner: deciders.planner,
            replans: deciders.replans,
            admission: deciders.admission,
            demand: DemandTotals::new(),
            plan: None,
            faults: scenario.faults(),
            last_heartbeats: BTreeMap::new(),
            boots: 0,
            requests: 0,
            move_times: Vec::new(),
            used_samples: Vec::new(),
        };
        world.add_entries(deciders.entries);
        world.add_nodes();
        world.start();
        world
    }

    fn start(&mut self) {
        for index in 0..self.nodes.len() {
            self.start_node(index);
        }
        self.queue.push(self.now, FleetStep::Heartbeats);
        self.queue.push(self.now, FleetStep::ReadReports);
        self.queue.push(self.now + PLAN_INTERVAL, FleetStep::Plan);
        self.queue.push(self.now, FleetStep::Sample);
        self.queue_arrival(0);
    }

    /// Replaces the faults of the scenario by the given ones.
    #[must_use]
    pub fn with_faults(mut self, faults: Vec<FaultPlan>) -> Self {
        self.faults = faults;
        self
    }

    /// Queues one arrival. Its handler queues the next one, which keeps the queue short.
    pub(super) fn queue_arrival(&mut self, arrival: usize) {
        if let Some(next) = self.arrivals.get(arrival) {
            // The entries receive the agents' first status before the first request.
            let at = next.at.max(ClockTime::from_millis(100));
            self.queue
                .push(at, FleetStep::Arrive { arrival, number: 0 });
        }
    }

    /// Runs to the end and returns the figures.
    #[must_use]
    pub fn run(mut self) -> RunFigures {
        for (index, fault) in self.faults.iter().enumerate() {
            self.queue.push(fault.at, FleetStep::FaultBegins(index));
        }
        let end = self.span.ends_at() + DRAIN_TIME;
        while let Some((at, step)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.dispatch(step);
        }
        self.figures()
    }

    fn dispatch(&mut self, step: FleetStep) {
        match step {
            FleetStep::Arrive { arrival, number } => self.handle_arrival(arrival, number),
            FleetStep::RequestEvent {
                entry,
                request,
                event,
            } => self.handle_entry_event(entry, request, &event),
            FleetStep::EntryTimer { entry } => self.fire_entry_timer(entry),
            FleetStep::Status { entry, status } => self.deliver_status(entry, &status),
            FleetStep::Reports {
                entry,
                node,
                load,
                cache,
            } => self.deliver_reports(entry, node, &load, &cache),
            FleetStep::Attempt {
                node,
                entry,
                spec,
                ticket,
            } => self.handle_attempt(node, entry, *spec, ticket),
            FleetStep::Cancel {
                node,
                entry,
                request,
                attempt,
                ticket,
                mode,
            } => self.handle_cancel(node, entry, (request, attempt), ticket, mode),
            FleetStep::AgentTimer { node, boot } => self.fire_agent_timer(node, boot),
            FleetStep::Engine { node, boot } => self.engine_step(node, boot),
            FleetStep::Moves { node, boot } => self.run_placement_step(node, boot),
            FleetStep::StoreAnswered { node, boot, answer } => {
                self.handle_store_answer(node, boot, answer);
            }
            FleetStep::ReleaseRequested { node, request } => {
                self.handle_release_request(node, request);
            }
            FleetStep::ReleaseAnswered { node, answer } => self.handle_release_answer(node, answer),
            FleetStep::Planned { node, row } => self.nodes[node].plan = Some(row),
            FleetStep::FaultBegins(fault) => self.start_fault(fault),
            FleetStep::FaultEnds { fault, node } => self.end_fault(fault, node),
            FleetStep::Heartbeats => self.send_heartbeats(),
            FleetStep::ReadReports => self.read_reports(REPORT_INTERVAL),
            FleetStep::Plan => self.run_planner(PLAN_INTERVAL),
            FleetStep::Sample => self.sample(),
        }
    }

    fn sample(&mut self) {
        let accelerators = self.nodes.iter().filter(|node| node.is_used()).count() * 4;
        if self.is_measured(self.now) {
            self.used_samples.push(size_f64(accelerators));
        }
        if self.now < self.span.ends_at() {
            self.queue
                .push(self.now + SAMPLE_INTERVAL, FleetStep::Sample);
        }
    }

    pub(super) fn is_measured(&self, at: ClockTime) -> bool {
        (self.span.counted_from()..self.span.ends_at()).contains(&at)
    }

    /// Returns the one-way latency between an entry and a node.
    pub(super) fn latency(&self, entry: usize, node: usize) -> Duration {
        if self.entries[entry].zone == self.nodes[node].identity.zone {
            IN_ZONE_LATENCY
        } else {
            self.deployment.between_zones
        }
    }
}
