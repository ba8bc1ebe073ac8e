//! The orders duty: controls which weights and role the endpoint's engine has.
//!
//! It converts messages and results of calls into events of `oatpier-placement`, and executes the
//! commands that these return. No other part of the process sends orders to the engine.
//!
//! - [`state`]: the decisions, without I/O.
//! - [`placement`]: the plan, the replicas and the drain counts that other processes and duties report.
//! - [`io`]: calls to the engine, the store and other agents.

pub mod io;
pub mod loads;
pub mod placement;
pub mod spans;
pub mod state;

use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use oatpier_ports::engine::EngineControl;
use oatpier_ports::store::KeyStore;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::BootId;

use crate::channels::{OrdersMessage, PlanUpdate, StatusUpdate, WeightsUpdate, WorkUpdate};
use crate::endpoint::EndpointIdentity;
use crate::peers::{AgentPeers, PeerFuture};
use io::OrdersIo;
use oatpier_duty::duty::{RingReceiver, RingSender, RuntimeClock, StopPhase, StopSignal};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::HopTracer;
use state::{OrdersState, TaskResult};

/// Inputs of the orders duty.
pub struct OrdersInputs {
    /// Endpoint that the agent serves.
    pub identity: EndpointIdentity,
    /// Identifies this start of the agent.
    pub boot: BootId,
    /// Seed of the random waits.
    pub seed: u64,
    /// Control interface of the engine.
    pub control: Arc<dyn EngineControl>,
    /// The platform's key-value service.
    pub store: Arc<dyn KeyStore>,
    /// Calls to other agents.
    pub peers: Arc<dyn AgentPeers>,
    /// The runtime's clock.
    pub clock: RuntimeClock,
    /// Metrics of the process.
    pub metrics: MetricSet,
    /// Creates spans.
    pub tracer: HopTracer,
    /// Sends updates on the weights to the work duty.
    pub updates: RingSender<WorkUpdate>,
    /// Sends the weights to query entries about to the membership duty.
    pub status: RingSender<StatusUpdate>,
    /// Updates from membership.
    pub plan: RingReceiver<PlanUpdate>,
    /// Messages from the work duty.
    pub messages: RingReceiver<OrdersMessage>,
    /// Signals the phases of a stop.
    pub stop: StopSignal,
}

/// Runs the orders duty until the process ends.
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
    pending: FuturesUnordered<PeerFuture<TaskResult>>,
    last_sent: WeightsUpdate,
    queried: Vec<WeightsKey>,
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
            last_sent: WeightsUpdate::default(),
            queried: Vec::new(),
        }
    }

    async fn run(mut self) {
        loop {
            self.act().await;
            self.wait_for_event().await;
        }
    }

    /// Starts the calls that are due, and sends updates to the other duties.
    async fn act(&mut self) {
        let now = self.inputs.clock.now();
        if self.inputs.stop.phase() >= StopPhase::Draining {
            self.state.leave();
        }
        for task in self.state.step(now) {
            self.pending.push(self.io.start(task));
        }
        self.send_queried_weights();
        let update = self.state.weights_update(now);
        if has_changed(&update, &self.last_sent) {
            self.last_sent.clone_from(&update);
            let update = WorkUpdate::Weights(Box::new(update));
            self.inputs.updates.send(update).await;
        }
    }

    /// Tells membership which weights to query entries about. If the ring is full, the message is
    /// retried in the next iteration.
    fn send_queried_weights(&mut self) {
        let weights = self.state.weights_to_query();
        if weights != self.queried {
            let update = StatusUpdate::Weights(weights.clone());
            if self.inputs.status.try_send(update).is_ok() {
                self.queried = weights;
            }
        }
    }

    /// Waits for the next event, and applies it.
    async fn wait_for_event(&mut self) {
        let wake = self.state.next_wake(self.inputs.clock.now());
        let wake = self.inputs.clock.instant(wake);
        tokio::select! {
            Some(done) = self.pending.next() => {
                let now = self.inputs.clock.now();
                self.state.apply_result(done, now);
            }
            Some(update) = self.inputs.plan.receive() => {
                let now = self.inputs.clock.now();
                self.state.apply_plan_update(update, now);
            }
            Some(message) = self.inputs.messages.receive() => {
                let now = self.inputs.clock.now();
                self.state.handle_message(message, now);
            }
            () = tokio::time::sleep_until(wake) => {}
        }
    }
}

/// Returns whether the update differs from the last one sent. The remaining time of a load is not
/// compared, since it always decreases.
fn has_changed(update: &WeightsUpdate, last_sent: &WeightsUpdate) -> bool {
    let loading = |update: &WeightsUpdate| -> Vec<_> {
        let rows = update.loading.iter();
        rows.map(|row| row.weights.clone()).collect()
    };
    update.ready != last_sent.ready
        || update.draining != last_sent.draining
        || update.round != last_sent.round
        || loading(update) != loading(last_sent)
}
