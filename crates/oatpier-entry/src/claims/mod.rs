//! The claims duty: at most one request runs under an idempotency key, in the whole fleet.
//!
//! Rendezvous hashing makes one entry the claimer of each partition of the keys
//! ([`oatpier_claims`] decides); this duty is the claimer of the entry's own partitions, and asks
//! other entries for the rest. A claimer that does not answer is replaced by asking the claimer
//! in this process: it takes the partition over through the store, where a grant that the other
//! one made is found.

mod claimer;
mod outbox;
mod storing;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use oatpier_claims::event::{CallNumber, ClaimEvent, StoreAnswer};
use oatpier_claims::message::{ClaimAnswer, ClaimQuery, KeyHash};
use oatpier_claims::partition::{PartitionId, PartitionMap};
use oatpier_membership::messages::EntryContact;
use oatpier_types::ids::{BootId, RequestId};
use oatpier_types::names::DaemonName;
use oatpier_types::verdict::RunVerdict;
use tokio::sync::oneshot;

use crate::links::EntryLinks;
use crate::messages::{ClaimCall, ClaimReply};
use crate::store::StoreGate;
use claimer::{AskWaiter, ClaimerOutput, LocalClaimer};
use oatpier_duty::duty::{RingReceiver, RuntimeClock, StopPhase, StopSignal};
use oatpier_duty::observe::metrics::MetricSet;
use outbox::{Outbox, Settlement};

/// Claimers that are asked for one claim, one after the other.
const MOST_TRIES: u8 = 3;
/// When a caller is to come back if its claim can't be recorded.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A command to the claims duty.
#[derive(Debug)]
pub enum ClaimCommand {
    /// A request of this entry wants to run under a key.
    Ask {
        /// What.
        ask: ClaimQuery,
        /// Where the answer goes: granted, denied or unavailable.
        reply: oneshot::Sender<ClaimAnswer>,
    },
    /// A request of this entry that asked for a key is over.
    Settle {
        /// The key.
        key: KeyHash,
        /// The request.
        request: RequestId,
        /// How it ended.
        verdict: RunVerdict,
    },
    /// Another entry turns to the claimer in this one.
    Remote {
        /// What it says.
        call: ClaimCall,
        /// Where the answer goes.
        reply: oneshot::Sender<ClaimReply>,
    },
    /// The entries that are known to live, the own among them.
    Entries(Vec<EntryContact>),
    /// Tell when all settlements are in the store.
    Flush {
        /// Where to.
        reply: oneshot::Sender<()>,
    },
}

/// What the claims duty works on.
pub struct ClaimsInputs {
    /// The own name.
    pub own: DaemonName,
    /// The own start.
    pub boot: BootId,
    /// The way to the store.
    pub gate: Arc<StoreGate>,
    /// Calls other entries.
    pub links: Arc<dyn EntryLinks>,
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// The process's metrics.
    pub metrics: MetricSet,
    /// What is to be done.
    pub commands: RingReceiver<ClaimCommand>,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// An ask of this entry that a claimer elsewhere is to answer.
#[derive(Debug)]
struct OpenAsk {
    ask: ClaimQuery,
    reply: oneshot::Sender<ClaimAnswer>,
    tries: u8,
}

/// How a call ended.
enum ClaimEnd {
    Store {
        partition: PartitionId,
        call: CallNumber,
        answer: Option<StoreAnswer>,
    },
    Asked {
        open: OpenAsk,
        answer: Option<ClaimAnswer>,
    },
    Settled {
        settlement: Settlement,
        recorded: bool,
    },
}

/// Claims until the process ends.
pub async fn claims(inputs: ClaimsInputs) {
    let stop = inputs.stop.clone();
    let commands = inputs.commands;
    let mut duty = ClaimsDuty {
        claimer: LocalClaimer::new(&inputs.own, inputs.boot),
        own: inputs.own,
        gate: inputs.gate,
        links: inputs.links,
        clock: inputs.clock,
        metrics: inputs.metrics,
        map: PartitionMap::default(),
        contacts: HashMap::new(),
        outbox: Outbox::default(),
        calls: FuturesUnordered::new(),
        flushes: Vec::new(),
    };
    tokio::select! {
        () = duty.run(&commands) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

struct ClaimsDuty {
    own: DaemonName,
    gate: Arc<StoreGate>,
    links: Arc<dyn EntryLinks>,
    clock: RuntimeClock,
    metrics: MetricSet,
    claimer: LocalClaimer,
    map: PartitionMap,
    contacts: HashMap<DaemonName, SocketAddr>,
    outbox: Outbox,
    calls: FuturesUnordered<BoxFuture<'static, ClaimEnd>>,
    flushes: Vec<oneshot::Sender<()>>,
}

impl ClaimsDuty {
    async fn run(&mut self, commands: &RingReceiver<ClaimCommand>) {
        loop {
            let wake = self.claimer.next_timer().min(self.outbox.next_retry());
            let wake = self.clock.instant(wake);
            tokio::select! {
                command = commands.receive() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                Some(end) = self.calls.next() => self.end(end),
                () = tokio::time::sleep_until(wake) => self.tick(),
            }
            self.tell_flushed();
        }
    }

    fn command(&mut self, command: ClaimCommand) {
        match command {
            ClaimCommand::Ask { ask, reply } => {
                let open = OpenAsk {
                    ask,
                    reply,
                    tries: 0,
                };
                let owner = self.map.claimer_of(open.ask.key).cloned();
                self.route(open, owner);
            }
            ClaimCommand::Settle {
                key,
                request,
                verdict,
            } => {
                let settlement = Settlement {
                    key,
                    request,
                    verdict,
                };
                if !self.outbox.push(settlement, self.clock.now()) {
                    self.metrics.count_claim("settlement-dropped");
                }
                self.settle_due();
            }
            ClaimCommand::Remote { call, reply } => self.serve(call, reply),
            ClaimCommand::Entries(entries) => self.take_entries(&entries),
            ClaimCommand::Flush { reply } => {
                self.flushes.push(reply);
                self.outbox.retry_all(self.clock.now());
                self.settle_due();
            }
        }
    }

    fn take_entries(&mut self, entries: &[EntryContact]) {
        let names: Vec<DaemonName> = entries.iter().map(|entry| entry.daemon.clone()).collect();
        self.map = PartitionMap::new(&names);
        let contacts = entries.iter();
        self.contacts = contacts
            .map(|entry| (entry.daemon.clone(), entry.address))
            .collect();
    }

    /// Asks the claimer that is thought to own the partition; the own one if none is reachable.
    fn route(&mut self, mut open: OpenAsk, owner: Option<DaemonName>) {
        if open.tries >= MOST_TRIES {
            self.finish(open, unavailable());
            return;
        }
        open.tries += 1;
        let owner = owner.filter(|owner| *owner != self.own);
        let address = owner.and_then(|owner| self.contacts.get(&owner).copied());
        if let Some(address) = address {
            self.ask_remote(open, address);
            return;
        }
        let ask = open.ask;
        self.claimer.wait(ask, AskWaiter::Own(open));
        self.step(PartitionId::of(ask.key), ClaimEvent::Queried(ask));
    }

    fn ask_remote(&mut self, open: OpenAsk, address: SocketAddr) {
        let asking = self.links.claim(address, ClaimCall::Ask(open.ask));
        let asking = asking.map(move |answer| {
            let answer = match answer {
                Some(ClaimReply::Answer(answer)) => Some(answer),
                Some(ClaimReply::Recorded | ClaimReply::Pending) | None => None,
            };
            ClaimEnd::Asked { open, answer }
        });
        self.calls.push(asking.boxed());
    }

    fn finish(&self, open: OpenAsk, answer: ClaimAnswer) {
        self.metrics.count_claim(match &answer {
            ClaimAnswer::Granted => "granted",
            ClaimAnswer::Denied(_) => "denied",
            ClaimAnswer::Unavailable { .. } | ClaimAnswer::Moved { .. } => "unavailable",
        });
        // A request that is over settles the claim by itself.
        let _ = open.reply.send(answer);
    }

    fn answered(&mut self, open: OpenAsk, answer: ClaimAnswer) {
        match answer {
            ClaimAnswer::Moved { owner } => self.route(open, owner),
            last => self.finish(open, last),
        }
    }

    /// Another entry's word to the claimer here.
    fn serve(&mut self, call: ClaimCall, reply: oneshot::Sender<ClaimReply>) {
        let (key, event) = match call {
            ClaimCall::Ask(ask) => {
                self.claimer.wait(ask, AskWaiter::Peer(reply));
                (ask.key, ClaimEvent::Queried(ask))
            }
            ClaimCall::Release(release) => {
                self.claimer
                    .wait_settled(release.key, release.request, reply);
                (release.key, ClaimEvent::Released(release))
            }
            ClaimCall::Finish(finish) => {
                self.claimer.wait_settled(finish.key, finish.request, reply);
                (finish.key, ClaimEvent::Finished(finish))
            }
        };
        self.step(PartitionId::of(key), event);
    }

    fn step(&mut self, partition: PartitionId, event: ClaimEvent) {
        let now = self.clock.now();
        for output in self.claimer.step(partition, event, now) {
            match output {
                ClaimerOutput::Store(order) => {
                    let gate = Arc::clone(&self.gate);
                    let call = storing::carry_out(gate, partition, order);
                    self.calls.push(call.boxed());
                }
                ClaimerOutput::Answered { open, answer } => self.answered(open, answer),
                ClaimerOutput::Recorded(settlement) => self.outbox.recorded(settlement),
            }
        }
    }

    fn end(&mut self, end: ClaimEnd) {
        match end {
            ClaimEnd::Store {
                partition,
                call,
                answer,
            } => {
                let event = match answer {
                    Some(answer) => ClaimEvent::StoreAnswered { call, answer },
                    None => ClaimEvent::StoreLost { call },
                };
                self.step(partition, event);
            }
            ClaimEnd::Asked { open, answer } => match answer {
                Some(answer) => self.answered(open, answer),
                // The claimer is dead or out of reach: the one here takes over.
                None => self.route(open, None),
            },
            ClaimEnd::Settled {
                settlement,
                recorded,
            } if recorded => self.outbox.recorded(settlement),
            // It is said again later.
            ClaimEnd::Settled { .. } => {}
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.claimer.forget_closed();
        for partition in PartitionId::all() {
            if self.claimer.is_due(partition, now) {
                self.step(partition, ClaimEvent::Timer);
            }
        }
        self.settle_due();
    }

    fn settle_due(&mut self) {
        let now = self.clock.now();
        for settlement in self.outbox.take_due(now) {
            let owner = self.map.claimer_of(settlement.key);
            let owner = owner.filter(|owner| **owner != self.own);
            let address = owner.and_then(|owner| self.contacts.get(owner).copied());
            if let Some(address) = address {
                self.settle_remote(settlement, address);
                continue;
            }
            let partition = PartitionId::of(settlement.key);
            self.step(partition, settlement.event());
        }
    }

    fn settle_remote(&self, settlement: Settlement, address: SocketAddr) {
        let settling = self.links.claim(address, settlement.call());
        let settling = settling.map(move |reply| ClaimEnd::Settled {
            settlement,
            recorded: reply == Some(ClaimReply::Recorded),
        });
        self.calls.push(settling.boxed());
    }

    fn tell_flushed(&mut self) {
        if self.outbox.is_empty() {
            for reply in self.flushes.drain(..) {
                let _ = reply.send(());
            }
        }
    }
}

fn unavailable() -> ClaimAnswer {
    ClaimAnswer::Unavailable {
        retry_after: RETRY_AFTER,
    }
}
