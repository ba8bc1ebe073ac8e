//! Handling of the planner's plans and of the agents' moves of weights.

use std::time::Duration;

use oatpier_admission::event::{AgentEvent, LoadingWeights};
use oatpier_placement::orders::{OrderCommand, OrderEvent, OrderOutcome};
use oatpier_placement::planner::{EndpointView, PlannerInput};
use oatpier_placement::record::{RecordAnswer, RecordCall, StoredRecord};
use oatpier_placement::release::{ReleaseAnswer, ReleaseRequest};
use oatpier_placement::steps::{PlacementStep, ReplicaView, STEP_INTERVAL, StepInput};
use oatpier_ports::engine::OrderError;
use oatpier_types::engine::{EngineOrder, WeightsKey, WeightsState};
use oatpier_types::event::FleetEvent;
use oatpier_types::ids::{BootId, Generation, Revision, Term};
use oatpier_types::names::{DaemonName, EndpointName};
use oatpier_types::plan::PlacementPlan;
use smallvec::SmallVec;

use super::step::FleetStep;
use super::world::FleetWorld;

/// Duration of a store call.
const STORE_CALL_TIME: Duration = Duration::from_millis(3);
/// Delay until a new plan reaches the agents.
const PLAN_DELAY: Duration = Duration::from_millis(100);
/// Time that an agent estimates for a load.
const LOAD_TIME_ESTIMATE: Duration = Duration::from_secs(4);

impl FleetWorld<'_> {
    /// Starts a node's agent and engine.
    pub(super) fn start_node(&mut self, node: usize) {
        self.update_ready(node);
        let boot = self.nodes[node].boot;
        self.queue.push(self.now, FleetStep::Moves { node, boot });
        self.arm_engine(node);
    }

    /// Notifies the agent's decisions and the entries if the set of servable weights has changed.
    pub(super) fn update_ready(&mut self, node: usize) {
        let ready = self.nodes[node].servable();
        if ready == self.nodes[node].ready && self.nodes[node].ready_sequence > 0 {
            return;
        }
        let changed = self.changed_models(node, &ready);
        let state = &mut self.nodes[node];
        state.ready.clone_from(&ready);
        state.ready_sequence += 1;
        let loading = loading_of(&state.state());
        self.handle_agent_event(
            node,
            AgentEvent::WeightsChanged {
                ready: ready.into_vec(),
                loading,
            },
        );
        self.broadcast_status(node);
        self.log_replicas(&changed);
    }

    fn changed_models(&self, node: usize, ready: &[WeightsKey]) -> Vec<WeightsKey> {
        let before = self.nodes[node].ready.iter();
        let removed = before.filter(|weights| !ready.contains(weights));
        let added = ready
            .iter()
            .filter(|weights| !self.nodes[node].ready.contains(weights));
        removed
            .chain(added)
            .filter(|weights| weights.adapter.is_none())
            .cloned()
            .collect()
    }

    pub(super) fn log_replicas(&mut self, changed: &[WeightsKey]) {
        for weights in changed {
            let count = self
                .nodes
                .iter()
                .filter(|node| node.alive && node.ready.contains(weights))
                .count();
            let event = FleetEvent::ReplicasReady {
                model: weights.model.clone(),
                count: u32::try_from(count).unwrap_or(u32::MAX),
            };
            self.callers.log(self.now, event);
        }
    }

    pub(super) fn run_placement_step(&mut self, node: usize, boot: BootId) {
        if !self.is_current(node, boot) {
            return;
        }
        self.step_moves(node);
        self.run_commands(node);
        self.update_ready(node);
        let at = self.now + STEP_INTERVAL;
        self.queue.push(at, FleetStep::Moves { node, boot });
    }

    fn step_moves(&mut self, node: usize) {
        let others = OtherReplicas::collect(self, node);
        let state = &mut self.nodes[node];
        let Some(plan) = state.plan.clone() else {
            return;
        };
        let input = StepInput {
            plan: &plan,
            config: &self.deployment.config,
            replicas: &others,
            attempts: &state.attempts,
        };
        let step = state
            .stepper
            .next_step(input, &mut state.keeper, &mut state.releases, self.now);
        if let Ok(PlacementStep::RequestRelease { to, request }) = step
            && let Some(holder) = self.indices.get(&to).copied()
        {
            let at = self.now + self.deployment.between_zones;
            let step = FleetStep::ReleaseRequested {
                node: holder,
                request,
            };
            self.queue.push(at, step);
        }
    }

    fn run_commands(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let commands = state.keeper.commands(&self.deployment.config, self.now);
        for command in commands {
            match command {
                OrderCommand::CallStore(call) => self.call_store(node, call),
                OrderCommand::Send(order) => self.send_order(node, &order),
                OrderCommand::Poll(ticket) => {
                    let state = Box::new(self.nodes[node].engine.state());
                    self.apply_order_event(node, OrderEvent::Polled { ticket, state });
                }
            }
        }
        self.send_replies(node);
    }

    fn send_order(&mut self, node: usize, order: &EngineOrder) {
        if self.is_measured(self.now) {
            self.move_times.push(self.now);
        }
        let result = self.nodes[node].engine.order(self.now, order);
        let outcome = match result {
            Ok(()) => OrderOutcome::Accepted,
            Err(OrderError::Stale { highest }) => OrderOutcome::Stale { highest },
            Err(OrderError::Refused { .. }) => OrderOutcome::Rejected,
            Err(OrderError::NotSent { .. }) => OrderOutcome::NotSent,
            Err(OrderError::Unknown { .. }) => OrderOutcome::Unknown,
        };
        let number = order.number;
        self.apply_order_event(node, OrderEvent::Answered { number, outcome });
        self.arm_engine(node);
    }

    fn apply_order_event(&mut self, node: usize, event: OrderEvent) {
        self.nodes[node]
            .keeper
            .on_event(event, &self.deployment.config, self.now);
    }

    fn call_store(&mut self, node: usize, call: RecordCall) {
        let boot = self.nodes[node].boot;
        let answer = self.store_answer(node, call);
        let step = FleetStep::StoreAnswered { node, boot, answer };
        self.queue.push(self.now + STORE_CALL_TIME, step);
    }

    fn store_answer(&mut self, node: usize, call: RecordCall) -> RecordAnswer {
        let kept = &mut self.nodes[node].record;
        match call {
            RecordCall::Read => RecordAnswer::Found(kept.clone()),
            RecordCall::Write { record, expected } => {
                let current = kept.as_ref().map(|stored| stored.revision);
                if current != expected {
                    return RecordAnswer::Conflict;
                }
                let revision = Revision(current.unwrap_or_default().0 + 1);
                *kept = Some(StoredRecord { record, revision });
                RecordAnswer::Written(revision)
            }
        }
    }

    pub(super) fn handle_store_answer(&mut self, node: usize, boot: BootId, answer: RecordAnswer) {
        if self.is_current(node, boot) {
            self.apply_order_event(node, OrderEvent::Record(answer));
            self.run_commands(node);
        }
    }

    pub(super) fn handle_release_request(&mut self, node: usize, request: ReleaseRequest) {
        let state = &mut self.nodes[node];
        if !state.alive {
            return;
        }
        state
            .releases
            .on_request(request, &mut state.keeper, self.now);
        self.run_commands(node);
    }

    fn send_replies(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let at = self.now + self.deployment.between_zones;
        for reply in state.releases.replies(&state.keeper, self.now) {
            if let Some(node) = self.indices.get(&reply.to).copied() {
                let answer = reply.answer;
                self.queue
                    .push(at, FleetStep::ReleaseAnswered { node, answer });
            }
        }
    }

    pub(super) fn handle_release_answer(&mut self, node: usize, answer: ReleaseAnswer) {
        if self.nodes[node].alive {
            self.nodes[node].releases.on_answer(answer, self.now);
        }
    }

    pub(super) fn run_planner(&mut self, every: Duration) {
        if self.replans {
            let plan = self.make_plan();
            let at = self.now + PLAN_DELAY;
            for row in &plan.endpoints {
                if let Some(node) = self.indices.get(&row.endpoint).copied() {
                    let row = row.clone();
                    self.queue.push(at, FleetStep::Planned { node, row });
                }
            }
            self.plan = Some(plan);
        }
        self.queue.push(self.now + every, FleetStep::Plan);
    }

    pub(super) fn make_plan(&mut self) -> PlacementPlan {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let summary = entry.demand.summary(self.now);
            self.demand.update(entry_name(index), summary, self.now);
        }
        let demand = self.demand.total(self.now);
        let mut endpoints: Vec<EndpointView> = (0..self.nodes.len())
            .map(|node| self.endpoint_view(node))
            .collect();
        endpoints.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
        let input = PlannerInput {
            config: &self.deployment.config,
            generation: Generation(1),
            term: Term(1),
            demand: &demand,
            endpoints: &endpoints,
            previous: self.plan.as_ref(),
        };
        self.planner.plan(&input, self.now).plan
    }

    fn endpoint_view(&mut self, node: usize) -> EndpointView {
        let report = self.nodes[node].decider.queue_report(self.now);
        let state = &self.nodes[node];
        let engine = state.state();
        EndpointView {
            endpoint: state.identity.endpoint.clone(),
            pool: state.identity.pool.clone(),
            zone: state.identity.zone.clone(),
            alive: state.alive && !state.unregistered,
            leaving: false,
            held: engine.held,
            role: engine.role,
            prompt_token_ns: report.prompt_token_ns,
            step_us: report.step_us,
        }
    }
}

/// Replicas on other endpoints, as an agent knows them through its registrars.
struct OtherReplicas {
    holders: Vec<(EndpointName, SmallVec<[WeightsKey; 8]>)>,
}

impl OtherReplicas {
    fn collect(world: &FleetWorld<'_>, node: usize) -> Self {
        let others = world.nodes.iter().enumerate();
        let holders = others
            .filter(|(index, other)| *index != node && other.alive)
            .map(|(_, other)| (other.identity.endpoint.clone(), other.ready.clone()))
            .collect();
        Self { holders }
    }
}

impl ReplicaView for OtherReplicas {
    fn ready_elsewhere(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]> {
        self.holders
            .iter()
            .filter(|(_, ready)| ready.contains(weights))
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }
}

fn loading_of(state: &oatpier_types::engine::EngineState) -> Vec<LoadingWeights> {
    state
        .held
        .iter()
        .filter(|held| held.state == WeightsState::Loading)
        .map(|held| LoadingWeights {
            weights: held.weights.clone(),
            ready_in: LOAD_TIME_ESTIMATE,
        })
        .collect()
}

fn entry_name(index: usize) -> DaemonName {
    DaemonName::try_from(format!("entry-{index}")).expect("a valid name")
}
