//! Entries without sockets: their duties run as tasks, and calls between them are passed in memory.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use oatpier_claims::message::{ClaimAnswer, ClaimQuery, KeyHash, RequestFingerprint};
use oatpier_duty::duty::{RingRule, RingSender, RuntimeClock, StopSignal, ring};
use oatpier_duty::messages::{FleetAnswer, FleetCall};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_entry::claims::{ClaimCommand, ClaimsInputs, run_claims};
use oatpier_entry::links::{EntryLinks, LinkFuture};
use oatpier_entry::messages::{ClaimCall, ClaimReply, DemandReport, GenerationRows};
use oatpier_entry::store::StoreClient;
use oatpier_membership::messages::EntryContact;
use oatpier_standin::store::LocalStore;
use oatpier_types::ids::{BootId, RequestId};
use oatpier_types::names::{DaemonName, ZoneName};
use oatpier_types::status::EndpointStatus;
use oatpier_types::verdict::RunVerdict;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Timeout of a call to another entry in a test.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout until settlements are in the store, on the paused clock.
const FLUSH_TIMEOUT: Duration = Duration::from_mins(1);

pub fn daemon(number: u16) -> DaemonName {
    DaemonName::try_from(format!("entry-{number}")).unwrap()
}

pub fn contact(number: u16) -> EntryContact {
    EntryContact {
        daemon: daemon(number),
        zone: ZoneName::try_from("ikeja").unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
    }
}

pub fn client(store: &Arc<LocalStore>, clock: RuntimeClock, seed: u64) -> Arc<StoreClient> {
    let generator = ChaCha8Rng::seed_from_u64(seed);
    let metrics = MetricSet::default();
    Arc::new(StoreClient::new(store.clone(), clock, metrics, generator))
}

/// Calls between the entries of a test; a killed entry does not answer.
#[derive(Default)]
pub struct TestLinks {
    claimers: Mutex<HashMap<SocketAddr, RingSender<ClaimCommand>>>,
}

impl EntryLinks for TestLinks {
    fn call(&self, _: SocketAddr, _: FleetCall) -> LinkFuture<FleetAnswer> {
        std::future::ready(None).boxed()
    }

    fn claim(&self, to: SocketAddr, call: ClaimCall) -> LinkFuture<ClaimReply> {
        let claimer = self.claimers.lock().unwrap().get(&to).cloned();
        async move {
            let (reply, answer) = oneshot::channel();
            claimer?
                .try_send(ClaimCommand::Remote { call, reply })
                .ok()?;
            tokio::time::timeout(CALL_TIMEOUT, answer).await.ok()?.ok()
        }
        .boxed()
    }

    fn send_demand(&self, _: SocketAddr, _: DemandReport) -> LinkFuture<()> {
        std::future::ready(None).boxed()
    }

    fn fetch_generations(&self, _: SocketAddr) -> LinkFuture<GenerationRows> {
        std::future::ready(None).boxed()
    }

    fn fetch_status(&self, _: SocketAddr) -> LinkFuture<EndpointStatus> {
        std::future::ready(None).boxed()
    }
}

struct ClaimingEntry {
    commands: RingSender<ClaimCommand>,
    task: JoinHandle<()>,
}

/// Entries that claim keys in one shared store.
pub struct ClaimFleet {
    pub store: Arc<LocalStore>,
    links: Arc<TestLinks>,
    entries: Vec<ClaimingEntry>,
}

impl ClaimFleet {
    /// Starts entries that know each other.
    pub async fn start(count: u16) -> Self {
        let mut fleet = Self {
            store: Arc::new(LocalStore::new()),
            links: Arc::default(),
            entries: Vec::new(),
        };
        let contacts: Vec<EntryContact> = (0..count).map(contact).collect();
        for number in 0..count {
            fleet.start_entry(number);
        }
        for entry in &fleet.entries {
            let known = ClaimCommand::Entries(contacts.clone());
            entry.commands.send(known).await;
        }
        fleet
    }

    fn start_entry(&mut self, number: u16) {
        let clock = RuntimeClock::start();
        let metrics = MetricSet::default();
        let (commands, receiver) = ring(64, RingRule::Wait, metrics.ring("claims"));
        let links: Arc<TestLinks> = Arc::clone(&self.links);
        let inputs = ClaimsInputs {
            own: daemon(number),
            boot: BootId(u128::from(number) + 1),
            client: client(&self.store, clock, number.into()),
            links,
            clock,
            metrics,
            commands: receiver,
            stop: StopSignal::default(),
        };
        let address = contact(number).address;
        let mut claimers = self.links.claimers.lock().unwrap();
        claimers.insert(address, commands.clone());
        let task = tokio::spawn(run_claims(inputs));
        self.entries.push(ClaimingEntry { commands, task });
    }

    /// Kills an entry: it no longer answers calls.
    pub fn kill(&self, number: u16) {
        self.entries[usize::from(number)].task.abort();
        let address = contact(number).address;
        self.links.claimers.lock().unwrap().remove(&address);
    }

    /// Queries a key for a request at an entry.
    pub async fn query(&self, entry: u16, key: u128, request: u128) -> ClaimAnswer {
        let query = ClaimQuery {
            key: KeyHash(key),
            fingerprint: RequestFingerprint(1),
            request: RequestId(request),
        };
        let (reply, answer) = oneshot::channel();
        let command = ClaimCommand::Query { query, reply };
        self.entries[usize::from(entry)]
            .commands
            .send(command)
            .await;
        answer.await.unwrap()
    }

    /// Settles the key of a request at an entry.
    pub async fn settle(&self, entry: u16, key: u128, request: u128, verdict: RunVerdict) {
        let command = ClaimCommand::Settle {
            key: KeyHash(key),
            request: RequestId(request),
            verdict,
        };
        self.entries[usize::from(entry)]
            .commands
            .send(command)
            .await;
    }

    /// Waits until all settlements of an entry are in the store.
    pub async fn flush(&self, entry: u16) {
        let (reply, flushed) = oneshot::channel();
        let command = ClaimCommand::Flush { reply };
        self.entries[usize::from(entry)]
            .commands
            .send(command)
            .await;
        let flushed = tokio::time::timeout(FLUSH_TIMEOUT, flushed);
        flushed
            .await
            .expect("all settlements are in the store")
            .unwrap();
    }
}
