//! Tests of the membership duty: heartbeats, configuration, planned stops.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use oatpier_agent::channels::{MembershipCall, PlanUpdate, StatusUpdate, WorkUpdate};
use oatpier_agent::membership::{MembershipInputs, membership};
use oatpier_agent::peers::{AgentPeers, PeerFuture};
use oatpier_duty::duty::{
    RingReceiver, RingRule, RingSender, RuntimeClock, StopPhase, StopSignal, ring,
};
use oatpier_duty::messages::{FleetAnswer, FleetCall, encode_plan, plan_key};
use oatpier_duty::placement::{PlacementQuery, PlacementView, PlanRow, PlanStamp};
use oatpier_membership::generation::ConfigContent;
use oatpier_membership::members::MemberPhase;
use oatpier_membership::messages::{ConfigAnswer, HeartbeatAnswer, PeerAnswer, PeerCall};
use oatpier_membership::stops::StopRequest;
use oatpier_placement::release::{ReleaseAnswer, ReleaseRequest};
use oatpier_ports::store::{ExpectedValue, KeyStore};
use oatpier_ports::vms::{VmDuty, VmRow, VmState};
use oatpier_standin::store::{DownMode, LocalStore, StoreFaults};
use oatpier_standin::vms::LocalVms;
use oatpier_types::config::FleetConfig;
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord};
use oatpier_types::engine::EngineRole;
use oatpier_types::ids::{BootId, Generation, Revision, Term};
use oatpier_types::names::DaemonName;
use oatpier_types::plan::{EndpointPlan, PlacementPlan};
use prometheus_client::metrics::counter::Counter;

use crate::shape::{FleetShape, config, endpoint, identity, weights};

const SHAPE: FleetShape = FleetShape {
    engines: 2,
    memory_mib: 2_000,
    checks_numbers: true,
    models: &["seats"],
};

fn daemon(name: &str) -> DaemonName {
    DaemonName::try_from(name).unwrap()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// State of one entry: its answers, and the heartbeats that it received.
#[derive(Default)]
struct TestEntry {
    down: bool,
    generation: u64,
    stop: Option<StopRequest>,
    plan: Option<PlanRow>,
    heartbeats: u32,
    phases: Vec<MemberPhase>,
}

/// All entries, by port.
#[derive(Default)]
struct TestEntries(Mutex<HashMap<u16, TestEntry>>);

impl TestEntries {
    fn with<T>(&self, port: u16, change: impl FnOnce(&mut TestEntry) -> T) -> T {
        change(self.0.lock().unwrap().entry(port).or_default())
    }

    fn answer(&self, port: u16, call: FleetCall) -> Option<FleetAnswer> {
        self.with(port, |entry| {
            if entry.down {
                return None;
            }
            Some(match call {
                PeerCall::Heartbeat(heartbeat) => {
                    entry.heartbeats += 1;
                    entry.phases.push(heartbeat.phase);
                    PeerAnswer::Heartbeat(Box::new(HeartbeatAnswer {
                        generation: Generation(entry.generation),
                        need_full: false,
                        former: None,
                        entries: None,
                        stop: entry.stop,
                    }))
                }
                PeerCall::Pull(_) => PeerAnswer::Pull(Box::new(ConfigAnswer {
                    generation: Generation(entry.generation),
                    former: None,
                    content: Some(ConfigContent::Full {
                        generation: Generation(entry.generation),
                        value: Arc::new(config(SHAPE)),
                    }),
                })),
                _ => PeerAnswer::Unexpected,
            })
        })
    }
}

impl AgentPeers for TestEntries {
    fn call(&self, entry: SocketAddr, call: FleetCall) -> PeerFuture<Option<FleetAnswer>> {
        std::future::ready(self.answer(entry.port(), call)).boxed()
    }

    fn query_placement(
        &self,
        entry: SocketAddr,
        _: PlacementQuery,
    ) -> PeerFuture<Option<PlacementView>> {
        let view = self.with(entry.port(), |entry| {
            let plan = entry.plan.clone();
            (!entry.down).then(|| PlacementView {
                plan,
                ..PlacementView::default()
            })
        });
        std::future::ready(view).boxed()
    }

    fn request_release(
        &self,
        _: SocketAddr,
        _: ReleaseRequest,
    ) -> PeerFuture<Option<ReleaseAnswer>> {
        std::future::ready(None).boxed()
    }
}

struct TestMember {
    entries: Arc<TestEntries>,
    store: Arc<LocalStore>,
    vms: Arc<LocalVms>,
    stop: StopSignal,
    updates: RingReceiver<WorkUpdate>,
    plan: RingReceiver<PlanUpdate>,
    duty: tokio::task::JoinHandle<()>,
    _status: RingSender<StatusUpdate>,
    _calls: RingSender<MembershipCall>,
}

fn vm_row(name: &str, port: u16, duty: VmDuty, state: VmState) -> VmRow {
    VmRow {
        vm: format!("vm-{name}").as_str().try_into().unwrap(),
        daemon: daemon(name),
        zone: "ikeja".try_into().unwrap(),
        peer_address: address(port),
        duty,
        state,
    }
}

fn vm_rows(own: VmState) -> Vec<VmRow> {
    let mut rows: Vec<_> = (1..=3)
        .map(|port| {
            let name = format!("entry-{port}");
            vm_row(&name, port, VmDuty::Entry, VmState::Live)
        })
        .collect();
    rows.push(vm_row("agent-1", 100, VmDuty::Endpoint, own));
    rows
}

impl TestMember {
    fn start() -> Self {
        let (entries, stop) = (Arc::new(TestEntries::default()), StopSignal::default());
        let (store, vms) = (Arc::new(LocalStore::new()), Arc::new(LocalVms::new()));
        vms.set_rows(vm_rows(VmState::Live));
        let (update_sender, updates) = ring(64, RingRule::Wait, Counter::default());
        let (plan_sender, plan) = ring(4_096, RingRule::Wait, Counter::default());
        let (status_sender, status) = ring(64, RingRule::Drop, Counter::default());
        let (calls_sender, calls) = ring(64, RingRule::Drop, Counter::default());
        let inputs = MembershipInputs {
            daemon: daemon("agent-1"),
            identity: identity(1),
            boot: BootId(7),
            seed: 7,
            address: address(100),
            store: store.clone(),
            vms: vms.clone(),
            peers: entries.clone(),
            clock: RuntimeClock::start(),
            updates: update_sender,
            plan: plan_sender,
            status,
            calls,
            stop: stop.clone(),
        };
        Self {
            entries,
            store,
            vms,
            stop,
            updates,
            plan,
            duty: tokio::spawn(membership(inputs)),
            _status: status_sender,
            _calls: calls_sender,
        }
    }

    fn generations(&self) -> Vec<u64> {
        let updates = std::iter::from_fn(|| self.updates.try_receive());
        updates
            .filter_map(|update| match update {
                WorkUpdate::Config { generation, .. } => Some(generation.0),
                _ => None,
            })
            .collect()
    }

    fn stamps(&self) -> Vec<(u64, u64)> {
        let updates = std::iter::from_fn(|| self.plan.try_receive());
        let rows = updates.filter_map(|update| match update {
            PlanUpdate::View(view) => view.plan,
            PlanUpdate::Row(row) => Some(*row),
            PlanUpdate::Config(_) | PlanUpdate::ViewExpired => None,
        });
        rows.map(|row| (row.stamp.term.0, row.stamp.sequence))
            .collect()
    }

    fn is_view_expired(&self) -> bool {
        let updates = std::iter::from_fn(|| self.plan.try_receive());
        updates
            .last()
            .is_some_and(|update| matches!(update, PlanUpdate::ViewExpired))
    }

    /// Returns the entries that received heartbeats since the last call.
    fn registrars(&self) -> Vec<u16> {
        let received = |port: &u16| {
            let count = |entry: &mut TestEntry| std::mem::take(&mut entry.heartbeats);
            self.entries.with(*port, count) > 0
        };
        (1..=3).filter(received).collect()
    }

    async fn store_config(&self, generation: u64) {
        let record = ConfigRecord {
            generation: Generation(generation),
            content: FleetConfig::clone(&config(SHAPE)),
            recent: Vec::new(),
        };
        let value = serde_json::to_vec(&record).unwrap().into();
        let put = self.store.put(CONFIG_KEY, value, ExpectedValue::Any, None);
        put.await.unwrap();
    }
}

fn plan_row(sequence: u64) -> PlanRow {
    let stamp = PlanStamp {
        term: Term(1),
        sequence,
    };
    let row = EndpointPlan {
        endpoint: endpoint(1),
        weights: [weights("seats")].into_iter().collect(),
        role: EngineRole::Both,
    };
    PlanRow { stamp, row }
}

async fn pass(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

/// One of the two entries that receive an agent's heartbeats fails. A third entry replaces it. The
/// active configuration stays, and the agent restarts nothing.
#[tokio::test(start_paused = true)]
async fn a_failed_registrar_is_replaced_without_reconfiguration() {
    let member = TestMember::start();
    for port in 1..=3 {
        member.entries.with(port, |entry| entry.generation = 4);
    }
    pass(6).await;
    let before = member.registrars();
    assert_eq!(before.len(), 2);
    assert_eq!(member.generations(), [4]);
    member.entries.with(before[0], |entry| entry.down = true);
    pass(30).await;
    member.registrars();
    pass(10).await;
    let after = member.registrars();
    assert_eq!(after.len(), 2);
    assert!(!after.contains(&before[0]));
    assert!(member.generations().is_empty());
    assert_eq!(member.stop.phase(), StopPhase::Serving);
    assert_eq!(member.store.calls().gets, 0);
}

/// The entries have a later configuration, and then an older one, as from an entry that lags behind.
/// The agent pulls the later one and never goes back.
#[tokio::test(start_paused = true)]
async fn a_later_configuration_is_pulled_and_an_older_one_is_not() {
    let member = TestMember::start();
    for port in 1..=3 {
        member.entries.with(port, |entry| entry.generation = 4);
    }
    pass(6).await;
    for port in 1..=3 {
        member.entries.with(port, |entry| entry.generation = 6);
    }
    pass(6).await;
    for port in 1..=3 {
        member.entries.with(port, |entry| entry.generation = 5);
    }
    pass(20).await;
    assert_eq!(member.generations(), [4, 6]);
}

/// No entry is reachable when an agent starts. The agent reads the configuration, the plan and later
/// changes from the store, with few calls.
#[tokio::test(start_paused = true)]
async fn without_entries_the_store_is_read_at_a_low_rate() {
    let member = TestMember::start();
    for port in 1..=3 {
        member.entries.with(port, |entry| entry.down = true);
    }
    member.store_config(3).await;
    let row = plan_row(9);
    let plan = PlacementPlan {
        term: row.stamp.term,
        sequence: row.stamp.sequence,
        generation: Generation(3),
        endpoints: vec![row.row],
    };
    let key = plan_key(&identity(1).zone);
    let value = encode_plan(&plan).unwrap();
    let put = member.store.put(&key, value, ExpectedValue::Any, None);
    put.await.unwrap();
    pass(4).await;
    assert_eq!(member.generations(), [3]);
    assert_eq!(member.stamps(), [(1, 9)]);
    member.store.set_faults(StoreFaults {
        down: Some(DownMode::Drop),
        ..StoreFaults::default()
    });
    pass(300).await;
    assert!(member.generations().is_empty());
    member.store.set_faults(StoreFaults::default());
    member.store_config(5).await;
    pass(20).await;
    assert_eq!(member.generations(), [5]);
    // One read of each of the two keys, at most every 7.5 seconds.
    assert!(member.store.calls().gets <= 2 * 44);
}

/// Entries send the plan's row and then stop answering. Their view of the replicas becomes too old
/// for repair, and the orders duty is notified of this.
#[tokio::test(start_paused = true)]
async fn an_outdated_view_is_withdrawn() {
    let member = TestMember::start();
    for port in 1..=3 {
        member
            .entries
            .with(port, |entry| entry.plan = Some(plan_row(2)));
    }
    pass(5).await;
    assert_eq!(member.stamps().last(), Some(&(1, 2)));
    for port in 1..=3 {
        member.entries.with(port, |entry| entry.down = true);
    }
    pass(8).await;
    assert!(member.is_view_expired());
}

/// A planned stop reaches the agent in a registrar's answer or through the list of VMs. In both cases
/// the agent begins to drain. It notifies its registrars that it is leaving, and at the end that it
/// has left.
#[tokio::test(start_paused = true)]
async fn a_planned_stop_drains_and_notifies_the_registrars() {
    for by_list in [true, false] {
        let member = TestMember::start();
        pass(5).await;
        if by_list {
            member.vms.set_rows(vm_rows(VmState::Leaving));
        } else {
            let word = StopRequest {
                revision: Revision(3),
                withdrawn: false,
            };
            for port in 1..=3 {
                member.entries.with(port, |entry| entry.stop = Some(word));
            }
        }
        pass(3).await;
        assert_eq!(member.stop.phase(), StopPhase::Draining);
        let notified = |phase| {
            let received = |port| {
                member
                    .entries
                    .with(port, |entry| entry.phases.contains(&phase))
            };
            (1..=3).filter(|port| received(*port)).count()
        };
        assert_eq!(notified(MemberPhase::Leaving), 2);
        member.stop.advance(StopPhase::Ended);
        pass(1).await;
        assert_eq!(notified(MemberPhase::Left), 2);
        assert!(member.duty.is_finished());
    }
}
