//! A simulated fleet: entries and agents that run the real state machines against the simulated
//! network and store.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use oatpier_membership::agent::{AgentAction, AgentEvent, AgentMember};
use oatpier_membership::entry::{CallNumber, EntryAction, EntryEvent, EntryMember};
use oatpier_membership::exchange::ExchangeScope;
use oatpier_membership::members::{MemberChange, MemberState, TableLimits};
use oatpier_membership::messages::{EntryContact, PeerAnswer, PeerCall};
use oatpier_membership::spread::{CALL_TIMEOUT, StoreReply};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Generation};
use oatpier_types::names::{DaemonName, ZoneName};
use oatpier_types::status::EndpointStatus;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::network::{LinkEnd, Network, Side};
use super::payload::TestConfig;
use super::store::{FakeStore, WaitingWatch};
use super::{contact, generator, status};

pub type Call = PeerCall<TestConfig>;
pub type Answer = PeerAnswer<TestConfig>;

/// The bytes that HTTP adds to one message: request line or status line, and headers.
pub const HEADER_BYTES: u64 = 130;

const STORE_DELAY: Duration = Duration::from_millis(2);

/// The interval at which expired watches are ended.
const WATCH_ENDS_EVERY: Duration = Duration::from_millis(100);

#[derive(Debug)]
enum Node {
    Entry(Box<EntryMember<TestConfig>>),
    Agent(Box<AgentMember<TestConfig>>),
}

#[derive(Debug)]
pub struct Process {
    pub contact: EntryContact,
    pub region: usize,
    pub in_force: Vec<(ClockTime, Generation, u64)>,
    pub changes: Vec<(ClockTime, MemberChange)>,
    pub lost_registrars: u32,
    pub bytes: u64,
    pub messages: u64,
    pub status: Option<EndpointStatus>,
    node: Option<Node>,
    boot: u128,
    started: ClockTime,
    wake_at: ClockTime,
    paused_until: ClockTime,
}

#[derive(Debug)]
enum FleetEvent {
    Wake,
    Deliver {
        from: usize,
        from_boot: u128,
        call: CallNumber,
        body: Box<Call>,
    },
    CallEnded {
        call: CallNumber,
        answer: Option<Box<Answer>>,
    },
    Store(Box<StoreReply<TestConfig>>),
}

#[derive(Debug)]
struct QueuedEvent {
    at: ClockTime,
    order: u64,
    to: usize,
    boot: Option<u128>,
    event: FleetEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

pub struct Shape {
    pub zones_by_region: Vec<usize>,
    pub entries: usize,
    pub agents: usize,
    pub scope: ExchangeScope,
    pub limits: TableLimits,
}

impl Shape {
    pub fn small() -> Self {
        Self {
            zones_by_region: vec![3],
            entries: 6,
            agents: 12,
            scope: ExchangeScope::Fleet,
            limits: TableLimits::default(),
        }
    }

    /// Two availability zones of five entries each, which exchange summaries.
    pub fn zoned() -> Self {
        Self {
            zones_by_region: vec![2],
            entries: 10,
            agents: 20,
            scope: ExchangeScope::Zone,
            limits: TableLimits::default(),
        }
    }
}

pub struct Fleet {
    pub now: ClockTime,
    pub network: Network,
    pub store: FakeStore,
    pub processes: Vec<Process>,
    pub measure: bool,
    /// Messages and bytes by kind, separately for calls and answers.
    pub by_kind: BTreeMap<&'static str, (u64, u64)>,
    pub entries: usize,
    pub zones: Vec<ZoneName>,
    shape: Shape,
    by_name: HashMap<DaemonName, usize>,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    order: u64,
    boots: u128,
    generator: ChaCha8Rng,
}

impl Fleet {
    pub fn new(shape: Shape, seed: u64) -> Self {
        let mut fleet = Self {
            now: ClockTime::ZERO,
            network: Network::new(generator(seed ^ 1)),
            store: FakeStore::default(),
            processes: Vec::new(),
            measure: false,
            by_kind: BTreeMap::new(),
            entries: shape.entries,
            zones: Vec::new(),
            by_name: HashMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            boots: 0,
            generator: generator(seed),
            shape,
        };
        fleet.create_processes();
        for index in 0..fleet.processes.len() {
            fleet.start(index);
        }
        fleet
    }

    fn create_processes(&mut self) {
        let regions: Vec<usize> = self
            .shape
            .zones_by_region
            .iter()
            .enumerate()
            .flat_map(|(region, zones)| std::iter::repeat_n(region, *zones))
            .collect();
        let zones = regions.len();
        self.zones = (0..zones)
            .map(|index| super::zone(&format!("zone-{index}")))
            .collect();
        let total = self.shape.entries + self.shape.agents;
        for index in 0..total {
            let entry = index < self.shape.entries;
            let kind = if entry { "entry" } else { "agent" };
            let place = index % zones;
            let zone = self.zones[place].as_str();
            let number = u16::try_from(index + 1).expect("few processes");
            let contact = contact(&format!("{kind}-{index:04}"), zone, number);
            self.by_name.insert(contact.daemon.clone(), index);
            self.processes.push(Process {
                region: regions[place],
                status: (!entry).then(|| model_status(&contact, index)),
                contact,
                in_force: Vec::new(),
                changes: Vec::new(),
                lost_registrars: 0,
                bytes: 0,
                messages: 0,
                node: None,
                boot: 0,
                started: ClockTime::ZERO,
                wake_at: ClockTime::NEVER,
                paused_until: ClockTime::ZERO,
            });
        }
    }

    pub fn index(&self, daemon: &DaemonName) -> usize {
        self.by_name[daemon]
    }

    pub fn contact(&self, index: usize) -> EntryContact {
        self.processes[index].contact.clone()
    }

    /// Starts a process with no state from earlier boots.
    pub fn start(&mut self, index: usize) {
        self.boots += 1;
        let boot = BootId(self.boots);
        let seeds = self.seeds_for(index);
        let own = self.contact(index);
        let start = ClockTime::ZERO;
        let generator = &mut self.generator;
        let node = match &self.processes[index].status {
            None => {
                let limits = self.shape.limits;
                let mut entry = EntryMember::new(own, boot, seeds, limits, generator, start);
                entry.handle(EntryEvent::Scope(self.shape.scope), start);
                Node::Entry(Box::new(entry))
            }
            Some(status) => {
                let mut status = status.clone();
                status.queue.boot = boot;
                let agent = AgentMember::new(own, boot, seeds, status, generator, start);
                Node::Agent(Box::new(agent))
            }
        };
        let process = &mut self.processes[index];
        process.boot = self.boots;
        process.started = self.now;
        process.node = Some(node);
        process.wake_at = ClockTime::NEVER;
        self.schedule_wake(index);
    }

    /// Returns the seeds from the settings: the first two entries of each availability zone.
    fn seeds_for(&self, index: usize) -> Vec<EntryContact> {
        let entries = 0..self.entries.min(2 * self.zones.len());
        entries
            .filter(|seed| *seed != index)
            .map(|seed| self.contact(seed))
            .collect()
    }

    pub fn kill(&mut self, index: usize) {
        self.processes[index].node = None;
        self.store.watches.retain(|watch| watch.process != index);
    }

    pub fn is_up(&self, index: usize) -> bool {
        self.processes[index].node.is_some()
    }

    pub fn pause(&mut self, index: usize, span: Duration) {
        self.processes[index].paused_until = self.now + span;
    }

    pub fn entry(&self, index: usize) -> &EntryMember<TestConfig> {
        match &self.processes[index].node {
            Some(Node::Entry(entry)) => entry,
            _ => panic!("no live entry at {index}"),
        }
    }

    pub fn agent(&self, index: usize) -> &AgentMember<TestConfig> {
        match &self.processes[index].node {
            Some(Node::Agent(agent)) => agent,
            _ => panic!("no live agent at {index}"),
        }
    }

    pub fn generation(&self, index: usize) -> Option<Generation> {
        match self.processes[index].node.as_ref()? {
            Node::Entry(entry) => Some(entry.generation()),
            Node::Agent(agent) => Some(agent.generation()),
        }
    }

    /// Returns the state of a member, as an entry sees it.
    pub fn state(&self, entry: usize, member: usize) -> Option<MemberState> {
        let daemon = &self.processes[member].contact.daemon;
        Some(self.entry(entry).table().get(daemon)?.state)
    }

    /// Accepts an operator's change.
    pub fn accept(&mut self, key: u32, text: &str) -> Generation {
        let value = match &self.store.stored {
            Some(stored) => stored.value.with_row(key, text),
            None => TestConfig::default().with_row(key, text),
        };
        self.accept_value(value)
    }

    pub fn accept_value(&mut self, value: TestConfig) -> Generation {
        let watches = self.store.accept(value);
        let stored = self
            .store
            .stored
            .clone()
            .expect("a value was just accepted");
        let generation = stored.generation;
        for watch in watches {
            self.reply_store(&watch, StoreReply::Value(stored.clone()));
        }
        generation
    }

    pub fn store_down(&mut self) {
        self.store.down = true;
        for watch in std::mem::take(&mut self.store.watches) {
            self.reply_store(&watch, StoreReply::Failed);
        }
    }

    pub fn store_up(&mut self) {
        self.store.down = false;
    }

    fn reply_store(&mut self, watch: &WaitingWatch, reply: StoreReply<TestConfig>) {
        let at = self.now + STORE_DELAY + self.store.extra_delay;
        self.push(
            at,
            watch.process,
            Some(watch.boot),
            FleetEvent::Store(Box::new(reply)),
        );
    }

    pub fn entry_event(&mut self, index: usize, event: EntryEvent<TestConfig>) {
        let local_time = self.local_time(index);
        if let Some(Node::Entry(entry)) = &mut self.processes[index].node {
            let actions = entry.handle(event, local_time);
            self.act_entry(index, actions);
        }
        self.schedule_wake(index);
    }

    pub fn agent_event(&mut self, index: usize, event: AgentEvent<TestConfig>) {
        let local_time = self.local_time(index);
        if let Some(Node::Agent(agent)) = &mut self.processes[index].node {
            let actions = agent.handle(event, local_time);
            self.act_agent(index, actions);
        }
        self.schedule_wake(index);
    }

    pub fn run_for(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            let slice = until.since(self.now).min(WATCH_ENDS_EVERY);
            self.run_slice(slice);
        }
    }

    fn run_slice(&mut self, span: Duration) {
        let until = self.now + span;
        while self.queue.peek().is_some_and(|next| next.0.at <= until) {
            let Reverse(next) = self.queue.pop().expect("the queue is not empty");
            self.now = next.at;
            self.dispatch(next);
        }
        self.now = until;
        self.end_watches();
    }

    /// Runs until `done` holds, for `span` at most; returns the time that it took.
    pub fn run_until(&mut self, span: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < span {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run_for(Duration::from_millis(10));
        }
        done(self).then(|| self.now.since(start))
    }

    fn end_watches(&mut self) {
        let now = self.now;
        let watches = std::mem::take(&mut self.store.watches);
        let (ended, waiting): (Vec<_>, Vec<_>) =
            watches.into_iter().partition(|watch| watch.until <= now);
        self.store.watches = waiting;
        if !self.store.watches_hang {
            for watch in ended {
                self.reply_store(&watch, StoreReply::Unchanged);
            }
        }
    }

    fn local_time(&self, index: usize) -> ClockTime {
        let started = self.processes[index].started;
        ClockTime::from_start(self.now.since(started))
    }

    fn push(&mut self, at: ClockTime, to: usize, boot: Option<u128>, event: FleetEvent) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(QueuedEvent {
            at,
            order,
            to,
            boot,
            event,
        }));
    }

    fn schedule_wake(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let wake = match &process.node {
            None => return,
            Some(Node::Entry(entry)) => entry.next_wake(),
            Some(Node::Agent(agent)) => agent.next_wake(),
        };
        if wake == ClockTime::NEVER {
            return;
        }
        let at = process.started + Duration::from_micros(wake.as_micros());
        let at = at.max(self.now + Duration::from_millis(1));
        if process.wake_at <= self.now || at < process.wake_at {
            process.wake_at = at;
            let boot = Some(process.boot);
            self.push(at, index, boot, FleetEvent::Wake);
        }
    }

    fn dispatch(&mut self, next: QueuedEvent) {
        let index = next.to;
        let process = &self.processes[index];
        let other = next.boot.is_some_and(|boot| boot != process.boot);
        if process.node.is_none() || other {
            return;
        }
        if process.paused_until > self.now {
            self.push(process.paused_until, index, next.boot, next.event);
            return;
        }
        match next.event {
            FleetEvent::Wake => self.tick(index),
            FleetEvent::Store(reply) => self.entry_event(index, EntryEvent::StoreEnded(*reply)),
            FleetEvent::CallEnded { call, answer } => self.end_call(index, call, answer),
            FleetEvent::Deliver {
                from,
                from_boot,
                call,
                body,
            } => {
                self.deliver(index, from, from_boot, call, *body);
            }
        }
    }

    fn tick(&mut self, index: usize) {
        match self.processes[index].node {
            Some(Node::Entry(_)) => self.entry_event(index, EntryEvent::Tick),
            _ => self.agent_event(index, AgentEvent::Tick),
        }
    }

    fn end_call(&mut self, index: usize, call: CallNumber, answer: Option<Box<Answer>>) {
        match self.processes[index].node {
            Some(Node::Entry(_)) => {
                self.entry_event(index, EntryEvent::CallEnded { call, answer });
            }
            _ => self.agent_event(index, AgentEvent::CallEnded { call, answer }),
        }
    }

    fn deliver(&mut self, index: usize, from: usize, boot: u128, call: CallNumber, body: Call) {
        let local_time = self.local_time(index);
        let answer = match &mut self.processes[index].node {
            Some(Node::Entry(entry)) => {
                let (answer, actions) = entry.answer(body, local_time);
                self.act_entry(index, actions);
                answer
            }
            Some(Node::Agent(agent)) => {
                let (answer, actions) = agent.answer(body, local_time);
                self.act_agent(index, actions);
                answer
            }
            None => return,
        };
        self.schedule_wake(index);
        self.count(index, from, answer_kind(&answer), &answer);
        if let Some(delay) = self.transmit(index, from) {
            let answer = Some(Box::new(answer));
            self.push(
                self.now + delay,
                from,
                Some(boot),
                FleetEvent::CallEnded { call, answer },
            );
        }
    }

    fn transmit(&mut self, from: usize, to: usize) -> Option<Duration> {
        let end = |process: &'_ Process| (process.contact.clone(), process.region);
        let (from, to) = (end(&self.processes[from]), end(&self.processes[to]));
        let sides = [&from, &to].map(|(contact, region)| LinkEnd {
            process: &contact.daemon,
            zone: &contact.zone,
            region: *region,
        });
        self.network.transmit(&sides[0], &sides[1])
    }

    fn send(&mut self, from: usize, to: &EntryContact, call: CallNumber, body: Call) {
        let boot = self.processes[from].boot;
        let end = FleetEvent::CallEnded { call, answer: None };
        self.push(self.now + CALL_TIMEOUT, from, Some(boot), end);
        let Some(&target) = self.by_name.get(&to.daemon) else {
            return;
        };
        self.count(from, target, call_kind(&body), &body);
        if let Some(delay) = self.transmit(from, target) {
            let body = Box::new(body);
            let event = FleetEvent::Deliver {
                from,
                from_boot: boot,
                call,
                body,
            };
            self.push(self.now + delay, target, None, event);
        }
    }

    fn count(&mut self, from: usize, to: usize, kind: &'static str, message: &impl Serialize) {
        if !self.measure {
            return;
        }
        let body = rmp_serde::to_vec(message).expect("a message").len() as u64;
        let row = self.by_kind.entry(kind).or_default();
        row.0 += 1;
        row.1 += body + HEADER_BYTES;
        for index in [from, to] {
            self.processes[index].bytes += body + HEADER_BYTES;
            self.processes[index].messages += 1;
        }
    }

    fn act_entry(&mut self, index: usize, actions: Vec<EntryAction<TestConfig>>) {
        for action in actions {
            match action {
                EntryAction::Call { call, to, body } => self.send(index, &to, call, body),
                EntryAction::ReadConfig => {
                    let reply = self.store_reaches(index).then(|| self.store.read());
                    self.end_store(index, reply.unwrap_or(StoreReply::Failed));
                }
                EntryAction::WatchConfig { after, wait } => {
                    let watch = WaitingWatch {
                        process: index,
                        boot: self.processes[index].boot,
                        after,
                        until: self.now + wait,
                    };
                    let reply = if self.store_reaches(index) {
                        self.store.watch(watch)
                    } else {
                        Some(StoreReply::Failed)
                    };
                    if let Some(reply) = reply {
                        self.end_store(index, reply);
                    }
                }
                EntryAction::InForce(held) => {
                    let row = (self.now, held.generation, digest(&held.value));
                    self.processes[index].in_force.push(row);
                }
                EntryAction::Changed(change) => {
                    self.processes[index].changes.push((self.now, change));
                }
                EntryAction::Stop(_) => {}
            }
        }
    }

    fn end_store(&mut self, index: usize, reply: StoreReply<TestConfig>) {
        let boot = Some(self.processes[index].boot);
        let event = FleetEvent::Store(Box::new(reply));
        self.push(
            self.now + STORE_DELAY + self.store.extra_delay,
            index,
            boot,
            event,
        );
    }

    /// Whether a process can reach the store: a cut of a whole availability zone also cuts it from
    /// the store.
    fn store_reaches(&self, index: usize) -> bool {
        let zone = &self.processes[index].contact.zone;
        let cut = Side::Zone(zone.clone());
        !self.network.cuts.iter().any(|other| other.from == cut)
    }

    fn act_agent(&mut self, index: usize, actions: Vec<AgentAction<TestConfig>>) {
        for action in actions {
            match action {
                AgentAction::Call { call, to, body } => self.send(index, &to, call, body),
                AgentAction::InForce(held) => {
                    let row = (self.now, held.generation, digest(&held.value));
                    self.processes[index].in_force.push(row);
                }
                AgentAction::Stop(_) => {}
                AgentAction::RegistrarLost(_) => self.processes[index].lost_registrars += 1,
            }
        }
    }
}

fn call_kind(call: &Call) -> &'static str {
    match call {
        PeerCall::Heartbeat(_) => "heartbeat",
        PeerCall::Gossip(_) => "gossip",
        PeerCall::Summary(_) => "summary",
        PeerCall::Pull(_) => "pull",
        PeerCall::Push(_) => "push",
    }
}

fn answer_kind(answer: &Answer) -> &'static str {
    match answer {
        PeerAnswer::Heartbeat(_) => "heartbeat answer",
        PeerAnswer::Gossip(_) => "gossip answer",
        PeerAnswer::Summary(_) => "summary answer",
        PeerAnswer::Pull(_) => "pull answer",
        PeerAnswer::Push(_) => "push answer",
        PeerAnswer::Unexpected => "unexpected",
    }
}

fn digest(value: &TestConfig) -> u64 {
    oatpier_membership::generation::ConfigPayload::digest(value)
}

fn model_status(contact: &EntryContact, index: usize) -> EndpointStatus {
    let models = [
        format!("model-{:03}", index % 490),
        format!("model-{:03}", (index * 7) % 490),
    ];
    let models: Vec<&str> = models.iter().map(String::as_str).collect();
    status(
        contact.daemon.as_str(),
        contact.zone.as_str(),
        BootId(0),
        &models,
    )
}
