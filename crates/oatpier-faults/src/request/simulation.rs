//! The simulation of requests: processes, connections and the event loop.

use std::collections::BTreeMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::ids::{AttemptId, BootId, RequestId};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::agent::AgentNode;
use super::caller::{Job, Submission};
use super::claims::SegmentStore;
use super::entry::EntryNode;
use super::message::{
    AGENTS, CALLERS, ENTRIES, FIRST_AGENT, FIRST_ENDPOINT, Message, NODES, NodeId, SimEvent,
};
use super::service::ServiceNode;
use crate::injection::InjectionPlan;
use crate::queue::EventQueue;
use crate::run::{RunReport, RunSpec};
use crate::step::{StepName, StepPath};

/// Time at which the end of the faults is logged.
pub const FAULTS_END: ClockTime = ClockTime::from_millis(9_000);
/// The latest end of a run.
const RUN_END: ClockTime = ClockTime::from_millis(24_000);
/// Interval between two status reports of an agent.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// The state of a process.
#[derive(Debug, Clone, Copy)]
pub struct NodeState {
    pub up: bool,
    pub boot: u64,
    pub paused_until: ClockTime,
    pub slow_until: ClockTime,
    pub wake_at: ClockTime,
}

/// The connection of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct Connection {
    pub request: RequestId,
    pub entry: NodeId,
    pub agent: NodeId,
    /// The earliest arrival time of the next message, which keeps messages in order.
    pub earliest_arrival: ClockTime,
    pub is_broken: bool,
}

/// The planned stop of a run.
#[derive(Debug, Clone, Copy)]
pub struct PlannedStop {
    pub victim: NodeId,
    pub is_requested: bool,
    pub received_at: ClockTime,
    pub is_received: bool,
    pub is_over: bool,
}

pub struct RequestSimulation {
    pub run_spec: RunSpec,
    pub plan: InjectionPlan,
    pub random: ChaCha8Rng,
    pub now: ClockTime,
    pub queue: EventQueue<SimEvent>,
    pub nodes: [NodeState; NODES],
    pub blocked: BTreeMap<(NodeId, NodeId), ClockTime>,
    pub entries: Vec<EntryNode>,
    pub agents: Vec<AgentNode>,
    pub services: Vec<ServiceNode>,
    pub connections: BTreeMap<AttemptId, Connection>,
    /// The earliest arrival time of the next report on a call, which keeps a call's reports in order.
    pub update_arrivals: BTreeMap<AttemptId, ClockTime>,
    pub store: SegmentStore,
    pub jobs: Vec<Job>,
    pub submissions: BTreeMap<RequestId, Submission>,
    pub stop: Option<PlannedStop>,
    pub report: RunReport,
}

impl RequestSimulation {
    pub fn new(run_spec: &RunSpec) -> Self {
        let state = NodeState {
            up: true,
            boot: 1,
            paused_until: ClockTime::ZERO,
            slow_until: ClockTime::ZERO,
            wake_at: ClockTime::NEVER,
        };
        let mut random = run_spec.generator();
        let stops = run_spec.injections.iter();
        let stops = stops.map(|injection| injection.step.path());
        let is_stop = stops.clone().any(|path| path == StepPath::Stop);
        // The agent of a plain service has a longer queue, so that there are attempts to refuse.
        let victims = [0, FIRST_AGENT + AGENTS / 2];
        let victim = victims[usize::from(random.random_bool(0.5))];
        let stop = is_stop.then_some(PlannedStop {
            victim,
            is_requested: false,
            received_at: ClockTime::NEVER,
            is_received: false,
            is_over: false,
        });
        let mut simulation = Self {
            plan: run_spec.plan(),
            run_spec: run_spec.clone(),
            random,
            now: ClockTime::from_millis(1_000),
            queue: EventQueue::default(),
            nodes: [state; NODES],
            blocked: BTreeMap::new(),
            entries: (0..ENTRIES).map(|node| EntryNode::new(node, 1)).collect(),
            agents: (0..AGENTS).map(|_| AgentNode::new(BootId(1))).collect(),
            services: vec![ServiceNode::default(); AGENTS],
            connections: BTreeMap::new(),
            update_arrivals: BTreeMap::new(),
            store: SegmentStore::default(),
            jobs: Vec::new(),
            submissions: BTreeMap::new(),
            stop,
            report: RunReport::default(),
        };
        simulation.begin();
        simulation
    }

    fn begin(&mut self) {
        for agent in FIRST_AGENT..FIRST_AGENT + AGENTS {
            self.set_up_agent(agent);
        }
        self.queue.put(self.now, SimEvent::StatusTick);
        self.queue.put(FAULTS_END, SimEvent::FaultsOver);
        if self.stop.is_some() {
            let at = self.now + Duration::from_millis(45);
            self.queue.put(at, SimEvent::RequestStop);
        }
        self.schedule_jobs();
    }

    pub fn run(mut self) -> RunReport {
        while let Some((at, event)) = self.queue.take(RUN_END) {
            self.now = at;
            self.handle_event(event);
            if self.now > FAULTS_END + Duration::from_secs(1) && self.is_quiet() {
                break;
            }
        }
        self.check_end_state();
        self.report.all_injected = self.plan.is_exhausted();
        self.report
    }

    fn is_quiet(&self) -> bool {
        self.jobs.iter().all(|job| job.is_done) && self.stop.is_none_or(|stop| stop.is_over)
    }

    fn check_end_state(&mut self) {
        for (job_index, job) in self.jobs.iter().enumerate() {
            if !job.is_done {
                let text = format!(
                    "job {job_index} did not end ({:?}) after {} tries",
                    job.kind, job.tries
                );
                self.report.findings.push(text);
            }
        }
        if self.stop.is_some_and(|stop| !stop.is_over) {
            let text = "the planned stop did not complete".to_owned();
            self.report.findings.push(text);
        }
    }

    pub fn log_event(&mut self, event: FleetEvent) {
        let at = self.now;
        self.report.log.push(LoggedEvent { at, event });
    }

    pub fn random_millis(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.random.random_range(min..=max))
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Deliver {
                from,
                to,
                boot,
                message,
            } => self.arrive(from, to, boot, message),
            SimEvent::Wake(node) => self.wake(node),
            SimEvent::Boot(node) => self.boot(node),
            SimEvent::Submit(job) => self.submit(job),
            SimEvent::CallerGone(job) => self.caller_gone(job),
            SimEvent::StatusTick => self.handle_status_tick(),
            SimEvent::StoreCallArrives {
                entry,
                boot,
                call,
                action,
            } => self.call_at_store(entry, boot, call, &action),
            SimEvent::StoreCallEnds {
                entry,
                boot,
                call,
                answer,
            } => self.handle_store_answer(entry, boot, call, answer),
            SimEvent::VmListCorrected => self.correct_vm_list(),
            SimEvent::RequestStop => self.request_stop(),
            SimEvent::FaultsOver => {
                self.log_event(FleetEvent::FaultsOver);
                self.schedule_final_jobs();
            }
        }
    }

    /// Delivers a message to its process. If the process is paused, the message waits until it resumes.
    fn arrive(&mut self, from: NodeId, to: NodeId, boot: u64, message: Message) {
        let state = self.nodes[to];
        if !state.up || state.boot != boot {
            self.undeliverable(from, to, &message);
            return;
        }
        if state.paused_until > self.now {
            let event = SimEvent::Deliver {
                from,
                to,
                boot,
                message,
            };
            self.queue.put(state.paused_until, event);
            return;
        }
        match to {
            0..FIRST_AGENT => self.handle_entry_message(to, from, message),
            FIRST_AGENT..FIRST_ENDPOINT => self.handle_agent_message(to, from, message),
            FIRST_ENDPOINT..CALLERS => self.handle_endpoint_message(to, message),
            _ => {}
        }
    }

    fn wake(&mut self, node: NodeId) {
        let state = &mut self.nodes[node];
        if state.wake_at > self.now || !state.up {
            return;
        }
        if state.paused_until > self.now {
            state.wake_at = state.paused_until;
            let at = state.paused_until;
            self.queue.put(at, SimEvent::Wake(node));
            return;
        }
        state.wake_at = ClockTime::NEVER;
        match node {
            0..FIRST_AGENT => self.wake_entry(node),
            FIRST_AGENT..FIRST_ENDPOINT => self.wake_agent(node),
            FIRST_ENDPOINT..CALLERS => self.wake_service(node),
            _ => {}
        }
    }

    /// Schedules the wake-up of a process at its next timer.
    pub fn wake_at(&mut self, node: NodeId, at: ClockTime) {
        let state = &mut self.nodes[node];
        if at == ClockTime::NEVER || state.wake_at <= at {
            return;
        }
        let at = at.max(self.now);
        state.wake_at = at;
        self.queue.put(at, SimEvent::Wake(node));
    }

    fn handle_status_tick(&mut self) {
        self.queue
            .put(self.now + STATUS_INTERVAL, SimEvent::StatusTick);
        for agent in FIRST_AGENT..FIRST_AGENT + AGENTS {
            self.send_status(agent);
        }
        for entry in 0..ENTRIES {
            self.send_settlements(entry);
        }
        self.check_stop();
    }

    fn boot(&mut self, node: NodeId) {
        let state = &mut self.nodes[node];
        state.up = true;
        state.paused_until = self.now;
        state.wake_at = ClockTime::NEVER;
        let boot = state.boot;
        match node {
            0..FIRST_AGENT => self.entries[node] = EntryNode::new(node, boot),
            FIRST_AGENT..FIRST_ENDPOINT => {
                self.agents[node - FIRST_AGENT] = AgentNode::new(BootId(u128::from(boot)));
                self.set_up_agent(node);
            }
            _ => self.set_endpoint_up(node, true),
        }
        self.apply_stop_at_start(node);
    }

    /// Returns whether a fault of this run is injected at `step`. Such steps are prolonged so that the fault affects them.
    pub fn targets(&self, step: StepName) -> bool {
        self.run_spec
            .injections
            .iter()
            .any(|injection| injection.step == step)
    }
}
