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
use super::claims::ModelStore;
use super::entry::EntryNode;
use super::message::{
    AGENTS, CALLERS, ENTRIES, FIRST_AGENT, FIRST_ENDPOINT, Happening, Message, NODES, NodeId,
};
use super::service::ServiceNode;
use crate::queue::EventQueue;
use crate::run::{RunOrder, RunReport};
use crate::step::{StepName, StepPath};
use crate::strike::StrikePlan;

/// Time at which the end of the faults is logged.
pub const FAULTS_OVER: ClockTime = ClockTime::from_millis(9_000);
/// The latest end of a run.
const LAST_MOMENT: ClockTime = ClockTime::from_millis(24_000);
/// Interval between two status reports of an agent.
const BEAT: Duration = Duration::from_millis(100);

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
    pub floor: ClockTime,
    pub broken: bool,
}

/// The planned stop of a run.
#[derive(Debug, Clone, Copy)]
pub struct PlannedStop {
    pub victim: NodeId,
    pub asked: bool,
    pub taken_at: ClockTime,
    pub taken: bool,
    pub over: bool,
}

pub struct RequestWorld {
    pub order: RunOrder,
    pub plan: StrikePlan,
    pub random: ChaCha8Rng,
    pub now: ClockTime,
    pub queue: EventQueue<Happening>,
    pub nodes: [NodeState; NODES],
    pub blocked: BTreeMap<(NodeId, NodeId), ClockTime>,
    pub entries: Vec<EntryNode>,
    pub agents: Vec<AgentNode>,
    pub services: Vec<ServiceNode>,
    pub connections: BTreeMap<AttemptId, Connection>,
    /// The earliest arrival time of the next report on a call, which keeps a call's reports in order.
    pub word_floors: BTreeMap<AttemptId, ClockTime>,
    pub store: ModelStore,
    pub jobs: Vec<Job>,
    pub submissions: BTreeMap<RequestId, Submission>,
    pub stop: Option<PlannedStop>,
    pub report: RunReport,
}

impl RequestWorld {
    pub fn new(order: &RunOrder) -> Self {
        let state = NodeState {
            up: true,
            boot: 1,
            paused_until: ClockTime::ZERO,
            slow_until: ClockTime::ZERO,
            wake_at: ClockTime::NEVER,
        };
        let mut random = order.generator();
        let stops = order.strikes.iter();
        let stops = stops.map(|strike| strike.step.path());
        let is_stop = stops.clone().any(|path| path == StepPath::Stop);
        // The agent of a plain service has a longer queue, so that there are attempts to refuse.
        let victims = [0, FIRST_AGENT + AGENTS / 2];
        let victim = victims[usize::from(random.random_bool(0.5))];
        let stop = is_stop.then_some(PlannedStop {
            victim,
            asked: false,
            taken_at: ClockTime::NEVER,
            taken: false,
            over: false,
        });
        let mut world = Self {
            plan: order.plan(),
            order: order.clone(),
            random,
            now: ClockTime::from_millis(1_000),
            queue: EventQueue::default(),
            nodes: [state; NODES],
            blocked: BTreeMap::new(),
            entries: (0..ENTRIES).map(|node| EntryNode::new(node, 1)).collect(),
            agents: (0..AGENTS).map(|_| AgentNode::new(BootId(1))).collect(),
            services: vec![ServiceNode::default(); AGENTS],
            connections: BTreeMap::new(),
            word_floors: BTreeMap::new(),
            store: ModelStore::default(),
            jobs: Vec::new(),
            submissions: BTreeMap::new(),
            stop,
            report: RunReport::default(),
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        for agent in FIRST_AGENT..FIRST_AGENT + AGENTS {
            self.set_up_agent(agent);
        }
        self.queue.put(self.now, Happening::Beat);
        self.queue.put(FAULTS_OVER, Happening::FaultsOver);
        if self.stop.is_some() {
            let at = self.now + Duration::from_millis(45);
            self.queue.put(at, Happening::AskStop);
        }
        self.plan_jobs();
    }

    pub fn run(mut self) -> RunReport {
        while let Some((at, happening)) = self.queue.take(LAST_MOMENT) {
            self.now = at;
            self.happen(happening);
            if self.now > FAULTS_OVER + Duration::from_secs(1) && self.is_quiet() {
                break;
            }
        }
        self.judge_end();
        self.report.struck = self.plan.is_spent();
        self.report
    }

    fn is_quiet(&self) -> bool {
        self.jobs.iter().all(|job| job.done) && self.stop.is_none_or(|stop| stop.over)
    }

    fn judge_end(&mut self) {
        for (place, job) in self.jobs.iter().enumerate() {
            if !job.done {
                let text = format!(
                    "job {place} did not end ({:?}) after {} tries",
                    job.kind, job.tries
                );
                self.report.findings.push(text);
            }
        }
        if self.stop.is_some_and(|stop| !stop.over) {
            let text = "the planned stop did not complete".to_owned();
            self.report.findings.push(text);
        }
    }

    pub fn note(&mut self, event: FleetEvent) {
        let at = self.now;
        self.report.log.push(LoggedEvent { at, event });
    }

    pub fn draw_millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.random.random_range(least..=most))
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Deliver {
                from,
                to,
                boot,
                message,
            } => self.arrive(from, to, boot, message),
            Happening::Wake(node) => self.wake(node),
            Happening::Boot(node) => self.boot(node),
            Happening::Submit(job) => self.submit(job),
            Happening::CallerGone(job) => self.caller_gone(job),
            Happening::Beat => self.beat(),
            Happening::StoreSees {
                entry,
                boot,
                call,
                action,
            } => self.store_sees(entry, boot, call, &action),
            Happening::StoreAnswers {
                entry,
                boot,
                call,
                answer,
            } => self.store_answers(entry, boot, call, answer),
            Happening::VmListRight => self.vm_list_right(),
            Happening::AskStop => self.ask_stop(),
            Happening::FaultsOver => {
                self.note(FleetEvent::FaultsOver);
                self.plan_last_jobs();
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
            let happening = Happening::Deliver {
                from,
                to,
                boot,
                message,
            };
            self.queue.put(state.paused_until, happening);
            return;
        }
        match to {
            0..FIRST_AGENT => self.entry_takes(to, from, message),
            FIRST_AGENT..FIRST_ENDPOINT => self.agent_takes(to, from, message),
            FIRST_ENDPOINT..CALLERS => self.endpoint_takes(to, message),
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
            self.queue.put(at, Happening::Wake(node));
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
        self.queue.put(at, Happening::Wake(node));
    }

    fn beat(&mut self) {
        self.queue.put(self.now + BEAT, Happening::Beat);
        for agent in FIRST_AGENT..FIRST_AGENT + AGENTS {
            self.tell_status(agent);
        }
        for entry in 0..ENTRIES {
            self.send_settlements(entry);
        }
        self.watch_stop();
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
            _ => self.service_up(node, true),
        }
        self.told_at_start(node);
    }

    /// Returns whether a fault of this run is injected at `step`. Such steps are prolonged so that the fault affects them.
    pub fn hits(&self, step: StepName) -> bool {
        self.order.strikes.iter().any(|strike| strike.step == step)
    }
}
