//! The orders duty: the control side of the endpoint.
//!
//! It turns what arrives into events of `oatpier-placement` and carries out what comes back. It
//! is the only one that gives orders to the engine.
//!
//! - [`state`]: the decisions put together, without I/O.
//! - [`knowledge`]: what entries say of plan and replicas.
//! - [`io`]: calls to the engine, the store and other agents.

pub mod io;
pub mod knowledge;
pub mod outlook;
pub mod spans;
pub mod state;

use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use oatpier_ports::engine::EngineControl;
use oatpier_ports::store::KeyStore;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::BootId;

use crate::endpoint::EndpointIdentity;
use crate::news::{AgentNews, AsksNews, PlanNews, StatusNews, WeightsNews};
use crate::peers::{AgentPeers, PeerFuture};
use io::OrdersIo;
use oatpier_duty::duty::{RingReceiver, RingSender, RuntimeClock, StopPhase, StopSignal};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;
use state::{OrdersDone, OrdersState};

/// What the orders duty works on.
pub struct OrdersInputs {
    /// The endpoint.
    pub identity: EndpointIdentity,
    /// The agent's start.
    pub boot: BootId,
    /// For random waits.
    pub seed: u64,
    /// The engine's control side.
    pub control: Arc<dyn EngineControl>,
    /// The platform's key-value service.
    pub store: Arc<dyn KeyStore>,
    /// Other agents.
    pub peers: Arc<dyn AgentPeers>,
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// The process's metrics.
    pub metrics: MetricSet,
    /// Makes spans.
    pub tracer: HopTracer,
    /// Where news of the weights go.
    pub news: RingSender<AgentNews>,
    /// Where the weights in question go.
    pub status: RingSender<StatusNews>,
    /// What membership says.
    pub plan: RingReceiver<PlanNews>,
    /// What the work duty says.
    pub asks: RingReceiver<AsksNews>,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Gives orders until the process ends.
pub async fn orders(inputs: OrdersInputs) {
    let ended = inputs.stop.clone();
    let duty = OrdersDuty::new(inputs);
    tokio::select! {
        () = duty.run() => {}
        () = ended.reached(StopPhase::Ended) => {}
    }
}

struct OrdersDuty {
    inputs: OrdersInputs,
    state: OrdersState,
    io: OrdersIo,
    pending: FuturesUnordered<PeerFuture<OrdersDone>>,
    told: WeightsNews,
    asked: Vec<WeightsKey>,
}

impl OrdersDuty {
    fn new(inputs: OrdersInputs) -> Self {
        let state = OrdersState::new(
            inputs.identity.clone(),
            inputs.boot,
            inputs.seed,
            inputs.metrics.clone(),
            inputs.tracer.clone(),
        );
        let io = OrdersIo {
            endpoint: inputs.identity.endpoint.clone(),
            control: Arc::clone(&inputs.control),
            store: Arc::clone(&inputs.store),
            peers: Arc::clone(&inputs.peers),
        };
        Self {
            inputs,
            state,
            io,
            pending: FuturesUnordered::new(),
            told: WeightsNews::default(),
            asked: Vec::new(),
        }
    }

    async fn run(mut self) {
        loop {
            self.act().await;
            self.hear().await;
        }
    }

    /// Does what is due, and tells the others of it.
    async fn act(&mut self) {
        let now = self.inputs.clock.now();
        if self.inputs.stop.phase() >= StopPhase::Draining {
            self.state.leave();
        }
        for task in self.state.step(now) {
            self.pending.push(self.io.start(task));
        }
        self.tell_question();
        let news = self.state.weights_news(now);
        if differs(&news, &self.told) {
            self.told.clone_from(&news);
            let news = AgentNews::Weights(Box::new(news));
            self.inputs.news.send(news).await;
        }
    }

    /// Tells membership what to ask entries about; what finds the ring full is said again with
    /// the next look.
    fn tell_question(&mut self) {
        let weights = self.state.weights_in_question();
        if weights != self.asked {
            let news = StatusNews::Weights(weights.clone());
            if self.inputs.status.try_send(news).is_ok() {
                self.asked = weights;
            }
        }
    }

    /// Waits for the next thing that happens.
    async fn hear(&mut self) {
        let wake = self.state.next_wake(self.inputs.clock.now());
        let wake = self.inputs.clock.instant(wake);
        tokio::select! {
            Some(done) = self.pending.next() => {
                let now = self.inputs.clock.now();
                self.state.done(done, now);
            }
            Some(news) = self.inputs.plan.receive() => {
                let now = self.inputs.clock.now();
                self.state.hear_plan(news, now);
            }
            Some(news) = self.inputs.asks.receive() => {
                let now = self.inputs.clock.now();
                self.state.hear_ask(news, now);
            }
            () = tokio::time::sleep_until(wake) => {}
        }
    }
}

/// Whether there is something to tell. How long a load still takes counts down by itself.
fn differs(news: &WeightsNews, told: &WeightsNews) -> bool {
    let loading = |news: &WeightsNews| -> Vec<_> {
        let rows = news.loading.iter();
        rows.map(|row| row.weights.clone()).collect()
    };
    news.ready != told.ready
        || news.draining != told.draining
        || news.round != told.round
        || loading(news) != loading(told)
}
