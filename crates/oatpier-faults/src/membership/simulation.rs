//! The simulated processes and the events that they handle.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use oatpier_membership::agent::{AgentEvent, AgentMember};
use oatpier_membership::entry::{CallNumber, EntryEvent, EntryMember};
use oatpier_membership::exchange::ExchangeScope;
use oatpier_membership::members::TableLimits;
use oatpier_membership::messages::{EntryContact, PeerAnswer, PeerCall};
use oatpier_membership::spread::{StoreReply, StoredConfig};
use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::ZoneName;
use oatpier_types::status::{EndpointStatus, QueueReport};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::store::ConfigStore;
use crate::injection::InjectionPlan;
use crate::queue::EventQueue;
use crate::request::name;
use crate::run::{RunReport, RunSpec};
use crate::step::StepName;

/// Number of entries.
pub const ENTRIES: usize = 8;
/// Number of processes: entries, then agents.
pub const PROCESSES: usize = 16;
/// An entry and an agent that start late.
pub const LATE_STARTERS: [usize; 2] = [ENTRIES - 1, PROCESSES - 1];
/// An entry that crashes when fault injection starts and restarts later, so that agents need a successor.
const CRASHED_REGISTRAR: usize = 2;

/// Time at which the first configuration is accepted.
const FIRST_CHANGE: ClockTime = ClockTime::from_millis(1_000);
/// Start of fault injection.
pub const INJECTION_START: ClockTime = ClockTime::from_millis(15_000);
/// Time at which the end of the faults is logged.
const FAULTS_END: ClockTime = ClockTime::from_millis(40_000);
/// Time at which one more configuration is accepted, after the faults.
const LAST_CHANGE: ClockTime = ClockTime::from_millis(55_000);
/// End of the run.
const RUN_END: ClockTime = ClockTime::from_millis(75_000);

pub type Call = PeerCall<FleetConfig>;
pub type Answer = PeerAnswer<FleetConfig>;

#[derive(Debug)]
pub enum MemberNode {
    Entry(Box<EntryMember<FleetConfig>>),
    Agent(Box<AgentMember<FleetConfig>>),
}

#[derive(Debug)]
pub struct Process {
    pub contact: EntryContact,
    pub node: Option<MemberNode>,
    pub boot: u64,
    pub started: ClockTime,
    pub wake_at: ClockTime,
    pub paused_until: ClockTime,
    pub slow_until: ClockTime,
    /// Whether a fault has affected the process.
    pub is_affected: bool,
    /// Processes that an agent sent heartbeats to before fault injection started.
    pub known_before: Vec<usize>,
    /// The generation in force, as last observed by the scenario since the process started.
    pub observed_generation: Generation,
    /// The highest generation that was in force since the first start.
    pub highest_generation: Generation,
}

#[derive(Debug, Clone)]
pub enum SimEvent {
    Wake,
    Start,
    Deliver {
        from: usize,
        from_boot: u64,
        call: CallNumber,
        body: Box<Call>,
    },
    End {
        call: CallNumber,
        answer: Option<Box<Answer>>,
    },
    Store(Box<StoreReply<FleetConfig>>),
    Change,
    KillRegistrar,
    ListVms,
    /// A full configuration arrives from a peer that sent it before it received a later one.
    StalePush(StoredConfig<FleetConfig>),
    FaultsOver,
}

pub struct QueuedEvent {
    pub to: usize,
    pub boot: Option<u64>,
    pub event: SimEvent,
}

pub struct MemberSimulation {
    pub run_spec: RunSpec,
    pub plan: InjectionPlan,
    pub random: ChaCha8Rng,
    pub now: ClockTime,
    pub processes: Vec<Process>,
    pub store: ConfigStore,
    pub queue: EventQueue<QueuedEvent>,
    pub blocked: BTreeMap<(usize, usize), ClockTime>,
    /// By process: it can't reach the store until then.
    pub store_cut_until: [ClockTime; PROCESSES],
    /// The list of VMs is wrong until this time.
    pub wrong_list_until: ClockTime,
    /// Pairs of an entry and a process that the entry wrongly marks as gone, with the time since when.
    pub gone: BTreeMap<(usize, usize), ClockTime>,
    pub report: RunReport,
}

impl MemberSimulation {
    pub fn new(run_spec: &RunSpec) -> Self {
        let mut simulation = Self {
            plan: run_spec.plan(),
            random: run_spec.generator(),
            run_spec: run_spec.clone(),
            now: ClockTime::ZERO,
            processes: (0..PROCESSES).map(process).collect(),
            store: ConfigStore::default(),
            queue: EventQueue::default(),
            blocked: BTreeMap::new(),
            store_cut_until: [ClockTime::ZERO; PROCESSES],
            wrong_list_until: ClockTime::ZERO,
            gone: BTreeMap::new(),
            report: RunReport::default(),
        };
        for index in (0..PROCESSES).filter(|index| !LATE_STARTERS.contains(index)) {
            simulation.start(index);
        }
        simulation.schedule_events();
        simulation
    }

    fn schedule_events(&mut self) {
        let soon = Duration::from_millis(self.random.random_range(1..900));
        let mut put = |at, to, event| {
            let boot = None;
            self.queue.put(at, QueuedEvent { to, boot, event });
        };
        put(FIRST_CHANGE, 0, SimEvent::Change);
        put(ClockTime::ZERO, 0, SimEvent::ListVms);
        if self
            .run_spec
            .injections
            .iter()
            .any(|injection| injection.step == StepName::Successor)
        {
            put(INJECTION_START, CRASHED_REGISTRAR, SimEvent::KillRegistrar);
        }
        put(INJECTION_START + soon, 0, SimEvent::Change);
        put(INJECTION_START + soon * 2, 0, SimEvent::Change);
        for late in LATE_STARTERS {
            put(INJECTION_START + soon, late, SimEvent::Start);
        }
        put(FAULTS_END, 0, SimEvent::FaultsOver);
        put(LAST_CHANGE, 0, SimEvent::Change);
    }

    pub fn run(mut self) -> RunReport {
        while let Some((at, queued)) = self.queue.take(RUN_END) {
            self.now = at;
            self.end_watches();
            self.handle_event(queued);
        }
        self.now = RUN_END;
        self.log_event(FleetEvent::FaultsOver);
        self.check_end_state();
        self.report.all_injected = self.plan.is_exhausted();
        self.report
    }

    pub fn generation(&self, index: usize) -> Option<Generation> {
        match self.processes[index].node.as_ref()? {
            MemberNode::Entry(entry) => Some(entry.generation()),
            MemberNode::Agent(agent) => Some(agent.generation()),
        }
    }

    pub fn log_event(&mut self, event: FleetEvent) {
        let at = self.now;
        self.report.log.push(LoggedEvent { at, event });
    }

    pub fn put(&mut self, after: Duration, to: usize, boot: Option<u64>, event: SimEvent) {
        self.queue
            .put(self.now + after, QueuedEvent { to, boot, event });
    }

    /// Starts a process with no state kept.
    pub fn start(&mut self, index: usize) {
        let boot = self.processes[index].boot + 1;
        let id = BootId(u128::from(boot) * 64 + index as u128);
        let seeds = (0..4).filter(|seed| *seed != index);
        let seeds: Vec<EntryContact> = seeds
            .map(|seed| self.processes[seed].contact.clone())
            .collect();
        let own = self.processes[index].contact.clone();
        let start = ClockTime::ZERO;
        let random = &mut self.random;
        let node = if index < ENTRIES {
            let limits = TableLimits::default();
            let mut entry = EntryMember::new(own, id, seeds, limits, random, start);
            entry.handle(EntryEvent::Scope(ExchangeScope::Zone), start);
            MemberNode::Entry(Box::new(entry))
        } else {
            let status = status(index, &own.zone, id);
            MemberNode::Agent(Box::new(AgentMember::new(
                own, id, seeds, status, random, start,
            )))
        };
        let process = &mut self.processes[index];
        process.boot = boot;
        process.started = self.now;
        process.node = Some(node);
        process.wake_at = ClockTime::NEVER;
        process.paused_until = self.now;
        process.observed_generation = Generation(0);
        self.schedule(index);
        if boot > 1 {
            self.schedule_stale_push_at_start(index);
        }
    }

    pub fn kill(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.node = None;
        process.is_affected = true;
        let name = process.contact.daemon.clone();
        self.store.watches.retain(|watch| watch.process != index);
        self.log_event(FleetEvent::Ended {
            name,
            killed: true,
            cut_off: 0,
        });
    }

    /// Returns the process's own clock, which counts from its start.
    pub fn local(&self, index: usize) -> ClockTime {
        ClockTime::from_start(self.now.since(self.processes[index].started))
    }

    pub fn schedule(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let wake = match &process.node {
            None => return,
            Some(MemberNode::Entry(entry)) => entry.next_wake(),
            Some(MemberNode::Agent(agent)) => agent.next_wake(),
        };
        if wake == ClockTime::NEVER {
            return;
        }
        let at = process.started + Duration::from_micros(wake.as_micros());
        let at = at.max(self.now + Duration::from_millis(1));
        if process.wake_at <= self.now || at < process.wake_at {
            process.wake_at = at;
            let (to, boot) = (index, Some(process.boot));
            let event = SimEvent::Wake;
            self.queue.put(at, QueuedEvent { to, boot, event });
        }
    }

    fn handle_event(&mut self, queued: QueuedEvent) {
        let QueuedEvent { to, boot, event } = queued;
        match event {
            SimEvent::Start if self.processes[to].node.is_none() => return self.start(to),
            SimEvent::Start => return,
            SimEvent::Change => return self.change(to),
            SimEvent::KillRegistrar => {
                self.kill(to);
                let downtime = Duration::from_millis(self.random.random_range(5_000..20_000));
                return self.put(downtime, to, None, SimEvent::Start);
            }
            SimEvent::ListVms => return self.list_vms(),
            SimEvent::FaultsOver => return self.log_event(FleetEvent::FaultsOver),
            _ => {}
        }
        let process = &self.processes[to];
        let other = boot.is_some_and(|boot| boot != process.boot);
        if process.node.is_none() || other {
            return;
        }
        if process.paused_until > self.now {
            let at = process.paused_until;
            self.queue.put(at, QueuedEvent { to, boot, event });
            return;
        }
        self.take(to, event);
    }

    fn change(&mut self, to: usize) {
        if self.store.down_until > self.now {
            // The operator's command retries.
            return self.put(Duration::from_millis(500), to, None, SimEvent::Change);
        }
        let before = self.store.stored.clone();
        let generation = self.store.change();
        self.store.previous = before;
        self.schedule_stale_pushes();
        self.log_event(FleetEvent::ConfigAccepted { generation });
        self.notify_watches();
    }

    pub fn step_entry(&mut self, index: usize, event: EntryEvent<FleetConfig>) {
        let local = self.local(index);
        if let Some(MemberNode::Entry(entry)) = &mut self.processes[index].node {
            let actions = entry.handle(event, local);
            self.execute_entry_actions(index, actions);
        }
        self.check_generation(index);
        self.schedule(index);
    }

    pub fn step_agent(&mut self, index: usize, event: AgentEvent<FleetConfig>) {
        let local = self.local(index);
        if let Some(MemberNode::Agent(agent)) = &mut self.processes[index].node {
            let actions = agent.handle(event, local);
            self.execute_agent_actions(index, actions);
        }
        self.check_generation(index);
        self.schedule(index);
    }
}

fn zone(index: usize) -> ZoneName {
    name(if index.is_multiple_of(2) {
        "ikeja"
    } else {
        "lekki"
    })
}

fn process(index: usize) -> Process {
    let port = u16::try_from(index + 1).unwrap_or(u16::MAX);
    let kind = if index < ENTRIES { "entry" } else { "agent" };
    Process {
        contact: EntryContact {
            daemon: name(&format!("{kind}-{index}")),
            zone: zone(index),
            address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), port)),
        },
        node: None,
        boot: 0,
        started: ClockTime::ZERO,
        wake_at: ClockTime::NEVER,
        paused_until: ClockTime::ZERO,
        slow_until: ClockTime::ZERO,
        is_affected: false,
        known_before: Vec::new(),
        observed_generation: Generation(0),
        highest_generation: Generation(0),
    }
}

fn status(index: usize, zone: &ZoneName, boot: BootId) -> EndpointStatus {
    EndpointStatus {
        endpoint: name(&format!("endpoint-{index}")),
        pool: name("seat-llm"),
        zone: zone.clone(),
        ready: smallvec::SmallVec::from_iter([crate::request::weights()]),
        ready_sequence: 1,
        generation: Generation(0),
        queue: QueueReport {
            boot,
            sequence: 1,
            queued: 0,
            running: 0,
            slots: 8,
            wait: Duration::ZERO,
            prompt_token_ns: 20_000,
            step_us: 5_000,
            accepting: true,
        },
    }
}
