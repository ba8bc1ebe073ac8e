//! The claims duty: at most one request in the whole fleet runs under an idempotency key.
//!
//! Rendezvous hashing assigns each partition of the keys to one entry, its claimer.
//! [`oatpier_claims`] makes the decisions. This duty is the claimer of the entry's own partitions
//! and queries other entries for the rest. If a claimer does not answer, the local claimer is
//! queried instead: it takes over the partition through the store, where it finds the grants of the
//! other claimer.

mod claimer;
mod outbox;
mod store_calls;

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
use crate::store::StoreClient;
use claimer::{ClaimerOutput, LocalClaimer, QueryWaiter};
use oatpier_duty::duty::{RingReceiver, RuntimeClock, StopPhase, StopSignal};
use oatpier_duty::observe::metrics::MetricSet;
use outbox::{Outbox, Settlement};

/// Maximum number of claimers queried for one claim, one after another.
const MAX_TRIES: u8 = 3;
/// Retry delay sent to callers whose claim can't be recorded.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A command to the claims duty.
#[derive(Debug)]
pub enum ClaimCommand {
    /// A request of this entry needs a key before it runs.
    Query {
        /// The query.
        query: ClaimQuery,
        /// Channel for the answer: granted, denied or unavailable.
        reply: oneshot::Sender<ClaimAnswer>,
    },
    /// A request of this entry that claimed a key has ended.
    Settle {
        /// The key.
        key: KeyHash,
        /// The request.
        request: RequestId,
        /// Whether the request ran.
        verdict: RunVerdict,
    },
    /// Another entry calls the local claimer.
    Remote {
        /// The call.
        call: ClaimCall,
        /// Channel for the answer.
        reply: oneshot::Sender<ClaimReply>,
    },
    /// The known live entries including this one.
    Entries(Vec<EntryContact>),
    /// Reports when all settlements are in the store.
    Flush {
        /// Channel for the report.
        reply: oneshot::Sender<()>,
    },
}

/// Inputs of the claims duty.
pub struct ClaimsInputs {
    /// Name of this entry.
    pub own: DaemonName,
    /// Boot ID of this process.
    pub boot: BootId,
    /// Access to the store.
    pub client: Arc<StoreClient>,
    /// Client for calls to other entries.
    pub links: Arc<dyn EntryLinks>,
    /// Clock of the runtime.
    pub clock: RuntimeClock,
    /// Metrics of the process.
    pub metrics: MetricSet,
    /// Commands from the other duties.
    pub commands: RingReceiver<ClaimCommand>,
    /// Signals the process to stop.
    pub stop: StopSignal,
}

/// A query of this entry that a claimer has to answer.
#[derive(Debug)]
struct PendingQuery {
    query: ClaimQuery,
    reply: oneshot::Sender<ClaimAnswer>,
    tries: u8,
}

/// Result of a call.
enum ClaimResult {
    Store {
        partition: PartitionId,
        call: CallNumber,
        answer: Option<StoreAnswer>,
    },
    Queried {
        pending: PendingQuery,
        answer: Option<ClaimAnswer>,
    },
    Settled {
        settlement: Settlement,
        recorded: bool,
    },
}

/// Processes claims until the process ends.
pub async fn run_claims(inputs: ClaimsInputs) {
    let stop = inputs.stop.clone();
    let commands = inputs.commands;
    let mut duty = ClaimsDuty {
        claimer: LocalClaimer::new(&inputs.own, inputs.boot),
        own: inputs.own,
        client: inputs.client,
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
    client: Arc<StoreClient>,
    links: Arc<dyn EntryLinks>,
    clock: RuntimeClock,
    metrics: MetricSet,
    claimer: LocalClaimer,
    map: PartitionMap,
    contacts: HashMap<DaemonName, SocketAddr>,
    outbox: Outbox,
    calls: FuturesUnordered<BoxFuture<'static, ClaimResult>>,
    flushes: Vec<oneshot::Sender<()>>,
}

impl ClaimsDuty {
    async fn run(&mut self, commands: &RingReceiver<ClaimCommand>) {
        loop {
            let wake = self.claimer.next_timer().min(self.outbox.next_retry());
            let wake = self.clock.instant(wake);
            tokio::select! {
                command = commands.receive() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                Some(end) = self.calls.next() => self.handle_result(end),
                () = tokio::time::sleep_until(wake) => self.tick(),
            }
            self.notify_flushed();
        }
    }

    fn handle_command(&mut self, command: ClaimCommand) {
        match command {
            ClaimCommand::Query { query, reply } => {
                let pending = PendingQuery {
                    query,
                    reply,
                    tries: 0,
                };
                let owner = self.map.claimer_of(pending.query.key).cloned();
                self.route_query(pending, owner);
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
            ClaimCommand::Entries(entries) => self.set_entries(&entries),
            ClaimCommand::Flush { reply } => {
                self.flushes.push(reply);
                self.outbox.retry_all(self.clock.now());
                self.settle_due();
            }
        }
    }

    fn set_entries(&mut self, entries: &[EntryContact]) {
        let names: Vec<DaemonName> = entries.iter().map(|entry| entry.daemon.clone()).collect();
        self.map = PartitionMap::new(&names);
        let contacts = entries.iter();
        self.contacts = contacts
            .map(|entry| (entry.daemon.clone(), entry.address))
            .collect();
    }

    /// Queries the presumed owner of the partition, or the local claimer if no owner is reachable.
    fn route_query(&mut self, mut pending: PendingQuery, owner: Option<DaemonName>) {
        if pending.tries >= MAX_TRIES {
            self.finish(pending, unavailable());
            return;
        }
        pending.tries += 1;
        let owner = owner.filter(|owner| *owner != self.own);
        let address = owner.and_then(|owner| self.contacts.get(&owner).copied());
        if let Some(address) = address {
            self.query_remote(pending, address);
            return;
        }
        let query = pending.query;
        self.claimer
            .add_query_waiter(query, QueryWaiter::Own(pending));
        self.step(PartitionId::of(query.key), ClaimEvent::Queried(query));
    }

    fn query_remote(&mut self, pending: PendingQuery, address: SocketAddr) {
        let querying = self.links.claim(address, ClaimCall::Query(pending.query));
        let querying = querying.map(move |answer| {
            let answer = match answer {
                Some(ClaimReply::Answer(answer)) => Some(answer),
                Some(ClaimReply::Recorded | ClaimReply::Pending) | None => None,
            };
            ClaimResult::Queried { pending, answer }
        });
        self.calls.push(querying.boxed());
    }

    fn finish(&self, pending: PendingQuery, answer: ClaimAnswer) {
        self.metrics.count_claim(match &answer {
            ClaimAnswer::Granted => "granted",
            ClaimAnswer::Denied(_) => "denied",
            ClaimAnswer::Unavailable { .. } | ClaimAnswer::Moved { .. } => "unavailable",
        });
        // A request that has ended settles its claim separately.
        let _ = pending.reply.send(answer);
    }

    fn handle_answer(&mut self, pending: PendingQuery, answer: ClaimAnswer) {
        match answer {
            ClaimAnswer::Moved { owner } => self.route_query(pending, owner),
            last => self.finish(pending, last),
        }
    }

    /// Processes a call of another entry to the local claimer.
    fn serve(&mut self, call: ClaimCall, reply: oneshot::Sender<ClaimReply>) {
        let (key, event) = match call {
            ClaimCall::Query(query) => {
                self.claimer
                    .add_query_waiter(query, QueryWaiter::Peer(reply));
                (query.key, ClaimEvent::Queried(query))
            }
            ClaimCall::Release(release) => {
                self.claimer
                    .add_settle_waiter(release.key, release.request, reply);
                (release.key, ClaimEvent::Released(release))
            }
            ClaimCall::Finish(finish) => {
                self.claimer
                    .add_settle_waiter(finish.key, finish.request, reply);
                (finish.key, ClaimEvent::Finished(finish))
            }
        };
        self.step(PartitionId::of(key), event);
    }

    fn step(&mut self, partition: PartitionId, event: ClaimEvent) {
        let now = self.clock.now();
        for output in self.claimer.step(partition, event, now) {
            match output {
                ClaimerOutput::Store(store_call) => {
                    let client = Arc::clone(&self.client);
                    let call = store_calls::execute(client, partition, store_call);
                    self.calls.push(call.boxed());
                }
                ClaimerOutput::Answered { pending, answer } => self.handle_answer(pending, answer),
                ClaimerOutput::Recorded(settlement) => self.outbox.recorded(settlement),
            }
        }
    }

    fn handle_result(&mut self, end: ClaimResult) {
        match end {
            ClaimResult::Store {
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
            ClaimResult::Queried { pending, answer } => match answer {
                Some(answer) => self.handle_answer(pending, answer),
                // The claimer is down or unreachable: the local claimer takes over.
                None => self.route_query(pending, None),
            },
            ClaimResult::Settled {
                settlement,
                recorded,
            } if recorded => self.outbox.recorded(settlement),
            // The outbox sends the settlement again later.
            ClaimResult::Settled { .. } => {}
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.claimer.remove_closed();
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
        let settling = settling.map(move |reply| ClaimResult::Settled {
            settlement,
            recorded: reply == Some(ClaimReply::Recorded),
        });
        self.calls.push(settling.boxed());
    }

    fn notify_flushed(&mut self) {
        if self.outbox.is_empty() {
            for reply in self.flushes.drain(..) {
                let _ = reply.send(());
            }
        }
    }
}

fn unavailable() -> ClaimAnswer {
    ClaimAnswer::Unavailable {
        retry_after: RETRY_DELAY,
    }
}
