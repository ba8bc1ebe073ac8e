//! The planner lease and the plans in the store.

use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{RingRule, RingSender, RuntimeClock, StopPhase, StopSignal, ring};
use oatpier_duty::messages::{decode_plan, plan_key};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_entry::planner::{
    EndpointView, FleetSnapshot, PlanCache, PlanGroup, PlannerInputs, PlannerUpdate, run_planner,
};
use oatpier_ports::store::KeyStore;
use oatpier_standin::store::{DownMode, LocalStore, StoreFaults};
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::EngineRole;
use oatpier_types::ids::{BootId, Generation, Term};
use oatpier_types::names::ZoneName;
use oatpier_types::plan::PlacementPlan;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use tokio::task::JoinHandle;

use crate::support::{TestLinks, client, contact, daemon};

pub const CONFIG: &str = r#"
[weight_store]
loads_per_second = 3.0
full_speed_loads = 4
[region.lagos]
zones = ["ikeja", "lekki"]
[class.drafting]
first_token = "2s"
between_tokens = "50ms"
attain = 0.95
[pool.seat-llm]
kind = "engine"
accelerators = 1
memory_mib = 1000
slots = 16
checks_order_numbers = true
[[pool.seat-llm.group]]
zone = "ikeja"
names = ["seat-llm-1"]
[[pool.seat-llm.group]]
zone = "lekki"
names = ["seat-llm-2"]
[model.tables]
pool = "seat-llm"
version = "v1"
memory_mib = 600
class = "drafting"
[model.halls]
pool = "seat-llm"
version = "v1"
memory_mib = 600
class = "drafting"
"#;

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).unwrap()
}

/// Two live endpoints without weights, one in each availability zone.
fn snapshot() -> FleetSnapshot {
    snapshot_of(CONFIG)
}

/// All endpoints of a configuration, live and without weights.
pub fn snapshot_of(config: &str) -> FleetSnapshot {
    let config = FleetConfig::try_from(config).unwrap();
    let pools = config.pools.iter();
    let endpoints = pools.flat_map(|(pool, spec)| {
        spec.endpoints.iter().map(|(endpoint, zone)| EndpointView {
            endpoint: endpoint.clone(),
            pool: pool.clone(),
            zone: zone.clone(),
            alive: true,
            leaving: false,
            held: SmallVec::new(),
            role: EngineRole::Both,
            prompt_token_ns: 0,
            step_us: 0,
        })
    });
    FleetSnapshot {
        generation: Generation(1),
        endpoints: endpoints.collect(),
        config: Arc::new(config),
        group: PlanGroup::Fleet,
        entries: vec![contact(0), contact(1)],
    }
}

pub struct PlanningEntry {
    updates: RingSender<PlannerUpdate>,
    cache: Arc<PlanCache>,
    stop: StopSignal,
    task: JoinHandle<()>,
}

impl PlanningEntry {
    async fn start(number: u16, store: &Arc<LocalStore>) -> Self {
        Self::start_after(number, store, snapshot(), Duration::ZERO).await
    }

    /// Starts an entry that receives the fleet state some time after its start.
    pub async fn start_after(
        number: u16,
        store: &Arc<LocalStore>,
        snapshot: FleetSnapshot,
        delay: Duration,
    ) -> Self {
        let clock = RuntimeClock::start();
        let metrics = MetricSet::default();
        let (updates, receiver) = ring(64, RingRule::Drop, metrics.ring("planner"));
        let (cache, stop) = (Arc::<PlanCache>::default(), StopSignal::default());
        let inputs = PlannerInputs {
            own: daemon(number),
            boot: BootId(u128::from(number) + 1),
            client: client(store, clock, number.into()),
            links: Arc::<TestLinks>::default(),
            cache: Arc::clone(&cache),
            updates: receiver,
            clock,
            generator: ChaCha8Rng::seed_from_u64(number.into()),
            stop: stop.clone(),
        };
        let task = tokio::spawn(run_planner(inputs));
        tokio::time::sleep(delay).await;
        updates.send(PlannerUpdate::Fleet(Box::new(snapshot))).await;
        Self {
            updates,
            cache,
            stop,
            task,
        }
    }
}

pub async fn stored_plan(store: &LocalStore, name: &str) -> Option<PlacementPlan> {
    let stored = store.get(&plan_key(&zone(name))).await.ok().flatten();
    stored.map(|stored| decode_plan(&stored.value).unwrap())
}

pub async fn advance(seconds: u64) {
    tokio::time::sleep(Duration::from_secs(seconds)).await;
}

/// Only one of two candidates plans: the plan of each availability zone is in the store under its
/// term, both models are placed, and both entries know the plans, which agents query from either.
#[tokio::test(start_paused = true)]
async fn one_entry_plans_and_all_know_the_plan() {
    let store = Arc::new(LocalStore::new());
    let first = PlanningEntry::start(0, &store).await;
    let second = PlanningEntry::start(1, &store).await;
    advance(20).await;
    let plans = [
        stored_plan(&store, "ikeja").await.unwrap(),
        stored_plan(&store, "lekki").await.unwrap(),
    ];
    let placed = |plan: &PlacementPlan| plan.endpoints[0].weights.len();
    assert_eq!(plans.iter().map(placed).sum::<usize>(), 2);
    for plan in &plans {
        assert_eq!(plan.term, Term(1));
        for entry in [&first, &second] {
            let row = entry.cache.row(&plan.endpoints[0].endpoint).unwrap();
            assert_eq!(row.row, plan.endpoints[0]);
        }
    }
}

/// The planner fails without releasing its lease, so the other entry waits until the lease expires
/// and then plans under the next term. It writes the plans under that term immediately: a late
/// write of the failed planner would find another revision.
#[tokio::test(start_paused = true)]
async fn the_next_entry_plans_after_the_planner_failed() {
    let store = Arc::new(LocalStore::new());
    let first = PlanningEntry::start(0, &store).await;
    advance(10).await;
    let before = stored_plan(&store, "ikeja").await.unwrap();
    assert_eq!(before.term, Term(1));
    first.task.abort();
    let _second = PlanningEntry::start(1, &store).await;
    advance(20).await;
    let after = stored_plan(&store, "ikeja").await.unwrap();
    assert_eq!(after.term, Term(2));
    assert!(after.sequence > before.sequence);
    assert_eq!(
        after.endpoints, before.endpoints,
        "a new planner moves no replicas"
    );
}

/// A planner that stops releases its lease: the next one plans within seconds, before the lease
/// would have expired, and while the first still finishes its requests.
#[tokio::test(start_paused = true)]
async fn a_stopping_planner_releases_its_lease() {
    let store = Arc::new(LocalStore::new());
    let first = PlanningEntry::start(0, &store).await;
    advance(10).await;
    assert_eq!(stored_plan(&store, "ikeja").await.unwrap().term, Term(1));
    let _second = PlanningEntry::start(1, &store).await;
    advance(5).await;
    assert_eq!(stored_plan(&store, "ikeja").await.unwrap().term, Term(1));
    first.stop.advance(StopPhase::Draining);
    advance(5).await;
    assert_eq!(stored_plan(&store, "ikeja").await.unwrap().term, Term(2));
    assert!(!first.task.is_finished());
}

/// The store is unavailable for longer than the lease lasts. The planner must stop planning,
/// because another one could hold the lease. After the outage there is a planner again, and no plan
/// was lost.
#[tokio::test(start_paused = true)]
async fn an_outage_ends_planning_and_keeps_the_plan() {
    let store = Arc::new(LocalStore::new());
    let entry = PlanningEntry::start(0, &store).await;
    advance(10).await;
    let before = stored_plan(&store, "lekki").await.unwrap();
    store.set_faults(StoreFaults {
        down: Some(DownMode::Drop),
        ..StoreFaults::default()
    });
    advance(30).await;
    let clock = RuntimeClock::start();
    assert_eq!(
        entry.cache.plan_age_ms(clock.now()),
        None,
        "the entry is no longer the planner"
    );
    let kept = entry.cache.row(&before.endpoints[0].endpoint);
    assert_eq!(kept.unwrap().row, before.endpoints[0]);
    store.set_faults(StoreFaults::default());
    entry
        .updates
        .send(PlannerUpdate::Fleet(Box::new(snapshot())))
        .await;
    advance(30).await;
    let after = stored_plan(&store, "lekki").await.unwrap();
    assert_eq!(after.endpoints, before.endpoints);
    assert!(after.term >= before.term);
    assert!(
        entry.cache.plan_age_ms(clock.now()).is_some(),
        "the entry is the planner again"
    );
}
