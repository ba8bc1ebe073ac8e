//! A fleet of agents and stand-in engines in one runtime with a paused clock. Calls between agents
//! and to entries go through [`TestPeers`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use oatpier_agent::channels::{OrdersMessage, PlanUpdate, WorkUpdate};
use oatpier_agent::core::AgentCore;
use oatpier_agent::endpoint::EndpointClients;
use oatpier_agent::orders::{OrdersInputs, orders};
use oatpier_agent::peers::{AgentPeers, PeerFuture};
use oatpier_agent::work::WorkReporter;
use oatpier_duty::duty::{RingReceiver, RingRule, RingSender, RuntimeClock, StopSignal, ring};
use oatpier_duty::messages::{FleetAnswer, FleetCall};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;
use oatpier_duty::placement::{
    HolderContact, PlacementQuery, PlacementView, PlanRow, PlanStamp, WeightsHolders,
};
use oatpier_placement::release::{ReleaseAnswer, ReleaseRequest};
use oatpier_standin::clock::StandinClock;
use oatpier_standin::endpoint::LocalEndpoint;
use oatpier_standin::engine::{EngineOptions, LocalEngine};
use oatpier_standin::store::LocalStore;
use oatpier_standin::weights::{SharedWeights, WeightStore, WeightsOptions};
use oatpier_types::engine::EngineRole;
use oatpier_types::ids::{BootId, Generation, Term};
use oatpier_types::names::DaemonName;
use oatpier_types::plan::EndpointPlan;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::attempt::TestAttempt;
use crate::shape::{FleetShape, MODEL_MIB, config, endpoint, identity, weights};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Calls between the agents of a test. Calls to entries get no answer.
#[derive(Default)]
pub struct TestPeers {
    messages: Mutex<HashMap<SocketAddr, RingSender<OrdersMessage>>>,
}

impl AgentPeers for TestPeers {
    fn call(&self, _: SocketAddr, _: FleetCall) -> PeerFuture<Option<FleetAnswer>> {
        std::future::ready(None).boxed()
    }

    fn query_placement(
        &self,
        _: SocketAddr,
        _: PlacementQuery,
    ) -> PeerFuture<Option<PlacementView>> {
        std::future::ready(None).boxed()
    }

    fn request_release(
        &self,
        agent: SocketAddr,
        request: ReleaseRequest,
    ) -> PeerFuture<Option<ReleaseAnswer>> {
        let messages = self.messages.lock().unwrap().get(&agent).cloned();
        async move {
            let (reply, answer) = oneshot::channel();
            messages?
                .try_send(OrdersMessage::Release { request, reply })
                .ok()?;
            answer.await.ok()
        }
        .boxed()
    }
}

/// One start of an agent's orders and work duties.
pub struct TestAgent {
    pub core: Arc<AgentCore>,
    pub stop: StopSignal,
    plan: RingSender<PlanUpdate>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for TestAgent {
    /// Kills the agent: its tasks are aborted.
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

pub struct Fleet {
    pub shape: FleetShape,
    pub store: Arc<LocalStore>,
    pub engines: Vec<Arc<LocalEngine>>,
    pub agents: Vec<Option<TestAgent>>,
    pub rows: Vec<Option<EndpointPlan>>,
    peers: Arc<TestPeers>,
    next_id: AtomicU64,
    sequence: u64,
    /// Whether an entry sends the agents the plan and replicas. Otherwise they get only the plan, as
    /// from the store.
    pub has_entry: bool,
}

impl Fleet {
    /// Starts engines that all hold `preloaded`, and their agents.
    pub fn start(shape: FleetShape, preloaded: &[&str]) -> Self {
        let clock = StandinClock::start();
        let options = WeightsOptions {
            default_mib: MODEL_MIB,
            ..WeightsOptions::default()
        };
        let shared: SharedWeights = WeightStore::shared(options);
        let engines = (1..=shape.engines).map(|number| {
            let options = EngineOptions {
                memory_mib: shape.memory_mib,
                checks_order_numbers: shape.checks_numbers,
                preloaded: preloaded.iter().map(|model| weights(model)).collect(),
                ..EngineOptions::named(endpoint(number))
            };
            LocalEngine::start(options, Arc::clone(&shared), clock)
        });
        let mut fleet = Self {
            shape,
            store: Arc::new(LocalStore::new()),
            engines: engines.collect(),
            agents: Vec::new(),
            rows: vec![None; usize::from(shape.engines)],
            peers: Arc::default(),
            next_id: AtomicU64::new(1),
            sequence: 0,
            has_entry: true,
        };
        for number in 1..=shape.engines {
            let agent = fleet.start_agent(number);
            fleet.agents.push(Some(agent));
        }
        fleet
    }

    fn id(&self) -> u128 {
        u128::from(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    pub fn start_agent(&self, number: u16) -> TestAgent {
        let engine = Arc::clone(&self.engines[usize::from(number) - 1]);
        let (metrics, stop) = (MetricSet::default(), StopSignal::default());
        let clock = RuntimeClock::start();
        let boot = BootId(self.id());
        let (spans, _) = ring(1, RingRule::Drop, metrics.ring("spans"));
        let daemon = DaemonName::try_from(format!("agent-{number}").as_str()).unwrap();
        let tracer = HopTracer::new(&daemon, spans);
        let work = Arc::new(LocalEndpoint::engine(Arc::clone(&engine)));
        let core = Arc::new(AgentCore::new(
            identity(number),
            boot,
            EndpointClients {
                engine: work.clone(),
                service: work,
            },
            clock,
            metrics.clone(),
            tracer.clone(),
            stop.clone(),
        ));
        let (update_sender, updates) = ring(64, RingRule::Wait, metrics.ring("news"));
        let (plan_sender, plan) = ring(64, RingRule::Wait, metrics.ring("plan"));
        let (message_sender, messages) = ring(64, RingRule::Drop, metrics.ring("asks"));
        let (status, _) = ring(1, RingRule::Drop, metrics.ring("status"));
        let config = Arc::new(config(self.shape));
        let generation = Generation(1);
        let core_config = Arc::clone(&config);
        core.apply_update(WorkUpdate::Config {
            generation,
            config: core_config,
        });
        assert!(plan_sender.try_send(PlanUpdate::Config(config)).is_ok());
        let mut peers = self.peers.messages.lock().unwrap();
        peers.insert(address(number), message_sender.clone());
        let orders_inputs = OrdersInputs {
            identity: identity(number),
            boot,
            seed: u64::from(number),
            control: engine,
            store: self.store.clone(),
            peers: self.peers.clone(),
            clock,
            metrics,
            tracer,
            updates: update_sender,
            status: status.clone(),
            plan,
            messages,
            stop: stop.clone(),
        };
        let reporter = WorkReporter {
            core: Arc::clone(&core),
            messages: message_sender,
            status,
        };
        let work = run_work(reporter, updates, stop.clone());
        TestAgent {
            core,
            stop,
            plan: plan_sender,
            tasks: vec![tokio::spawn(orders(orders_inputs)), tokio::spawn(work)],
        }
    }

    pub fn agent(&self, number: u16) -> &TestAgent {
        self.agents[usize::from(number) - 1].as_ref().unwrap()
    }

    pub fn engine(&self, number: u16) -> &Arc<LocalEngine> {
        &self.engines[usize::from(number) - 1]
    }

    /// Kills an agent and starts another for the same engine.
    pub fn restart_agent(&mut self, number: u16) {
        let place = usize::from(number) - 1;
        self.agents[place] = None;
        self.agents[place] = Some(self.start_agent(number));
    }

    /// Sets the planned models of an endpoint.
    pub fn plan(&mut self, number: u16, models: &[&str]) {
        self.sequence += 1;
        self.rows[usize::from(number) - 1] = Some(EndpointPlan {
            endpoint: endpoint(number),
            weights: models.iter().map(|model| weights(model)).collect(),
            role: EngineRole::Both,
        });
    }

    /// Lets time pass, and regularly sends the plan to all agents.
    pub async fn pass(&self, span: Duration) {
        self.watch(span, || {}).await;
    }

    /// Does the same as [`Fleet::pass`], and calls `look` every 20 ms.
    pub async fn watch(&self, span: Duration, mut look: impl FnMut()) {
        let end = tokio::time::Instant::now() + span;
        let mut tick = 0_u32;
        while tokio::time::Instant::now() < end {
            if tick.is_multiple_of(25) {
                self.send_plan();
            }
            tick += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
            look();
            for engine in &self.engines {
                assert_eq!(engine.with_core(|core, _| core.overcommits()), 0);
            }
        }
    }

    /// Lets time pass until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics if it does not hold within 30 minutes.
    pub async fn until(&self, what: &str, is_met: impl Fn() -> bool) {
        for _ in 0..18_000 {
            if is_met() {
                return;
            }
            self.pass(Duration::from_millis(100)).await;
        }
        panic!("condition not reached: {what}");
    }

    /// Returns whether an engine has exactly these models ready.
    pub fn holds(&self, number: u16, models: &[&str]) -> bool {
        let mut names = self.engine(number).with_core(|core, _| core.served_names());
        names.sort();
        names == models
    }

    /// Returns whether an agent accepts requests for exactly these models.
    pub fn serves(&self, number: u16, models: &[&str]) -> bool {
        let status = self.agent(number).core.status().unwrap();
        let mut names: Vec<_> = status.ready.iter().map(|key| key.model.as_str()).collect();
        names.sort_unstable();
        names == models
    }

    /// Sends the plan as an entry does, or as the agents read it from the store.
    fn send_plan(&self) {
        if self.has_entry {
            return self.send_views();
        }
        for (agent, row) in self.agents.iter().zip(&self.rows) {
            if let (Some(agent), Some(row)) = (agent, row) {
                let row = Box::new(self.plan_row(row.clone()));
                let _ = agent.plan.try_send(PlanUpdate::Row(row));
            }
        }
    }

    fn plan_row(&self, row: EndpointPlan) -> PlanRow {
        let stamp = PlanStamp {
            term: Term(1),
            sequence: self.sequence,
        };
        PlanRow { stamp, row }
    }

    fn send_views(&self) {
        let ready: Vec<_> = self
            .agents
            .iter()
            .map(|agent| agent.as_ref().and_then(|agent| agent.core.status()))
            .collect();
        for number in 1..=self.shape.engines {
            let view = self.view(number, &ready);
            if let Some(agent) = &self.agents[usize::from(number) - 1] {
                let _ = agent.plan.try_send(PlanUpdate::View(Box::new(view)));
            }
        }
    }

    fn view(
        &self,
        number: u16,
        ready: &[Option<oatpier_types::status::EndpointStatus>],
    ) -> PlacementView {
        let mut view = PlacementView::default();
        for model in self.shape.models {
            let key = weights(model);
            let holders = (1..=self.shape.engines).filter(|other| {
                let status = &ready[usize::from(*other) - 1];
                status
                    .as_ref()
                    .is_some_and(|status| status.ready.contains(&key))
            });
            let holders: Vec<u16> = holders.collect();
            if holders.is_empty() {
                view.unserved.push(key.clone());
            }
            let others = holders.into_iter().filter(|other| *other != number);
            view.holders.push(WeightsHolders {
                weights: key,
                holders: others
                    .map(|other| HolderContact {
                        endpoint: endpoint(other),
                        address: address(other),
                    })
                    .collect(),
            });
        }
        let live =
            (1..=self.shape.engines).filter(|other| ready[usize::from(*other) - 1].is_some());
        view.live = live.map(endpoint).collect();
        let row = self.rows[usize::from(number) - 1].clone();
        view.plan = row.map(|row| self.plan_row(row));
        view
    }

    /// Creates the attempt that an entry would send for a prompt.
    pub fn attempt(&self, number: u16, model: &str, tokens: u32) -> TestAttempt {
        let core = Arc::clone(&self.agent(number).core);
        TestAttempt::new(core, self.id(), model, tokens)
    }
}

async fn run_work(reporter: WorkReporter, updates: RingReceiver<WorkUpdate>, stop: StopSignal) {
    reporter.run(&updates, &stop).await;
}
