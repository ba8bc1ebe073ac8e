//! The combined state machine of an agent for configuration and membership.
//!
//! An agent never reads its configuration from the store, as 3,500 agents would make too many
//! calls. It gets the configuration from its registrars, which push changes and include their
//! generation in the answer to each heartbeat.

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::{BootId, Generation};
use oatpier_types::status::{EndpointStatus, QueueReport};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

use crate::backoff::jittered;
use crate::entry::CallNumber;
use crate::generation::{ConfigPayload, ConfigSource, GenerationKeeper, HeldConfig, OfferOutcome};
use crate::members::MemberPhase;
use crate::messages::{
    ConfigAck, ConfigAnswer, ConfigPull, ConfigPush, EntryContact, PeerAnswer, PeerCall,
};
use crate::registrar::{HeartbeatAction, HeartbeatKeeper, RegistrarLost};
use crate::stops::StopRequest;

/// Delay before a lost pull is repeated.
const PULL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// An input of an [`AgentMember`].
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEvent<P: ConfigPayload> {
    /// Time has passed.
    Tick,
    /// A call of this agent ended.
    CallEnded {
        /// The number of the call.
        call: CallNumber,
        /// The answer; `None`: the call was lost.
        answer: Option<Box<PeerAnswer<P>>>,
    },
    /// The entries in the platform's list of VMs.
    Hints(Vec<EntryContact>),
    /// The full status of the endpoint.
    Status(Box<EndpointStatus>),
    /// The state of the agent's queue.
    QueueReport(QueueReport),
    /// The phase of this agent.
    Phase(MemberPhase),
}

/// An action that an [`AgentMember`] requests.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentAction<P: ConfigPayload> {
    /// Call an entry.
    Call {
        /// The number under which to report the end of the call.
        call: CallNumber,
        /// The process to call.
        to: EntryContact,
        /// The message to send.
        body: PeerCall<P>,
    },
    /// This configuration is now in force.
    InForce(HeldConfig<P>),
    /// A planned stop of this agent was requested or withdrawn.
    Stop(StopRequest),
    /// A registrar did not answer and was replaced. Informational only.
    RegistrarLost(RegistrarLost),
}

type Actions<P> = Vec<AgentAction<P>>;

/// The state of an agent in configuration and membership.
#[derive(Debug, Clone)]
pub struct AgentMember<P: ConfigPayload> {
    own: EntryContact,
    boot: BootId,
    heartbeats: HeartbeatKeeper,
    keeper: GenerationKeeper<P>,
    ahead: Option<(EntryContact, Generation)>,
    is_pulling: bool,
    stop: Option<StopRequest>,
    next_pull: ClockTime,
    calls: IndexMap<CallNumber, (EntryContact, bool)>,
    next_call: u64,
    generator: ChaCha8Rng,
}

impl<P: ConfigPayload> AgentMember<P> {
    /// Creates an agent that starts at `now`. `seeds` are the entries named in its settings.
    #[must_use]
    pub fn new(
        own: EntryContact,
        boot: BootId,
        seeds: Vec<EntryContact>,
        status: EndpointStatus,
        generator: &mut ChaCha8Rng,
        now: ClockTime,
    ) -> Self {
        let mut fork = || ChaCha8Rng::from_rng(&mut *generator);
        let mut heartbeats = HeartbeatKeeper::new(own.clone(), boot, status, fork(), now);
        heartbeats.add_entries(seeds, now);
        Self {
            own,
            boot,
            heartbeats,
            keeper: GenerationKeeper::default(),
            ahead: None,
            is_pulling: false,
            stop: None,
            next_pull: now,
            calls: IndexMap::new(),
            next_call: 0,
            generator: fork(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&HeldConfig<P>> {
        self.keeper.in_force()
    }

    /// Returns the generation in force, or 0 if there is none yet.
    #[must_use]
    pub fn generation(&self) -> Generation {
        self.keeper.generation()
    }

    /// Returns the state of the agent's heartbeats.
    #[must_use]
    pub fn heartbeats(&self) -> &HeartbeatKeeper {
        &self.heartbeats
    }

    /// Returns when a tick has something to do.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        let wake = self.heartbeats.next_wake().min(self.keeper.settles_at());
        if self.ahead.is_some() && !self.is_pulling {
            return wake.min(self.next_pull);
        }
        wake
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, event: AgentEvent<P>, now: ClockTime) -> Actions<P> {
        let mut actions = Vec::new();
        let before = self.generation();
        match event {
            AgentEvent::Tick => {}
            AgentEvent::CallEnded { call, answer } => {
                let answer = answer.map(|answer| *answer);
                self.end_call(call, answer, now, &mut actions);
            }
            AgentEvent::Hints(contacts) => self.heartbeats.add_entries(contacts, now),
            AgentEvent::Status(status) => self.heartbeats.set_status(*status, now),
            AgentEvent::QueueReport(report) => self.heartbeats.set_queue_report(report),
            AgentEvent::Phase(phase) => self.heartbeats.set_phase(phase, now),
        }
        self.finish(before, now, &mut actions);
        actions
    }

    /// Handles a call of another process and returns the answer.
    pub fn answer(&mut self, call: PeerCall<P>, now: ClockTime) -> (PeerAnswer<P>, Actions<P>) {
        let mut actions = Vec::new();
        let before = self.generation();
        let answer = match call {
            PeerCall::Push(push) => PeerAnswer::Push(self.handle_push(&push, now)),
            PeerCall::Pull(pull) => PeerAnswer::Pull(Box::new(ConfigAnswer {
                generation: self.generation(),
                former: None,
                content: self.keeper.content_since(pull.have),
            })),
            _ => PeerAnswer::Unexpected,
        };
        self.finish(before, now, &mut actions);
        (answer, actions)
    }

    fn finish(&mut self, before: Generation, now: ClockTime, actions: &mut Actions<P>) {
        self.keeper.settle(now);
        let after = self.generation();
        if after > before {
            actions.extend(self.keeper.in_force().cloned().map(AgentAction::InForce));
        }
        let heartbeat_actions = self.heartbeats.tick(after, now);
        self.apply_actions(heartbeat_actions, now, actions);
        self.pull(now, actions);
    }

    fn handle_push(&mut self, push: &ConfigPush<P>, now: ClockTime) -> ConfigAck {
        let outcome = self.keeper.offer(&push.content, ConfigSource::Peer, now);
        if matches!(outcome, OfferOutcome::Behind | OfferOutcome::NeedFull) {
            let known = self.heartbeats.entries();
            let from = known.into_iter().find(|entry| entry.daemon == push.daemon);
            self.ahead = from.cloned().map(|from| (from, push.generation));
        }
        ConfigAck {
            generation: self.keeper.latest(),
        }
    }

    fn apply_actions(
        &mut self,
        heartbeat_actions: Vec<HeartbeatAction>,
        now: ClockTime,
        actions: &mut Actions<P>,
    ) {
        for action in heartbeat_actions {
            match action {
                HeartbeatAction::Send { to, heartbeat } => {
                    self.call(to, false, PeerCall::Heartbeat(heartbeat), actions);
                }
                HeartbeatAction::Lost(lost) => actions.push(AgentAction::RegistrarLost(lost)),
                HeartbeatAction::Former(former) => self.keeper.raise_floor(former.generation),
                HeartbeatAction::Stop(request) => {
                    // Every heartbeat answer repeats the request.
                    if self.stop.replace(request) != Some(request) {
                        actions.push(AgentAction::Stop(request));
                    }
                }
                HeartbeatAction::GenerationSeen { from, generation } => {
                    if generation > self.keeper.pull_generation() {
                        self.ahead = Some((from, generation));
                    }
                }
            }
        }
        self.pull(now, actions);
    }

    /// Sends a pull to the registrar that is ahead, if there is one.
    fn pull(&mut self, now: ClockTime, actions: &mut Actions<P>) {
        let have = self.keeper.pull_generation();
        self.ahead.take_if(|(_, generation)| *generation <= have);
        if self.is_pulling || now < self.next_pull {
            return;
        }
        let Some((to, _)) = self.ahead.clone() else {
            return;
        };
        self.is_pulling = true;
        let pull = ConfigPull {
            daemon: self.own.daemon.clone(),
            boot: self.boot,
            have,
        };
        self.call(to, true, PeerCall::Pull(pull), actions);
    }

    fn end_call(
        &mut self,
        call: CallNumber,
        answer: Option<PeerAnswer<P>>,
        now: ClockTime,
        actions: &mut Actions<P>,
    ) {
        let Some((peer, pull)) = self.calls.swap_remove(&call) else {
            return;
        };
        if pull {
            self.end_pull(answer, now);
            return;
        }
        let heartbeat_actions = match answer {
            Some(PeerAnswer::Heartbeat(answer)) => {
                self.heartbeats.handle_answer(&peer.daemon, &answer, now)
            }
            _ => self.heartbeats.handle_loss(&peer.daemon, now),
        };
        self.apply_actions(heartbeat_actions, now, actions);
    }

    /// Handles the end of a pull. A lost pull is repeated at the next registrar whose answer shows
    /// a later generation.
    fn end_pull(&mut self, answer: Option<PeerAnswer<P>>, now: ClockTime) {
        self.is_pulling = false;
        self.next_pull = now + jittered(PULL_RETRY_AFTER, &mut self.generator);
        let Some(PeerAnswer::Pull(answer)) = answer else {
            return;
        };
        if let Some(former) = answer.former {
            self.keeper.raise_floor(former.generation);
        }
        if let Some(content) = &answer.content {
            self.keeper.offer(content, ConfigSource::Peer, now);
        }
    }

    fn call(&mut self, to: EntryContact, pull: bool, body: PeerCall<P>, actions: &mut Actions<P>) {
        let call = CallNumber(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, (to.clone(), pull));
        actions.push(AgentAction::Call { call, to, body });
    }
}
