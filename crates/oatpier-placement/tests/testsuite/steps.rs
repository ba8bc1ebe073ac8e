//! Tests of the steps from the current state to the plan.

use std::time::Duration;

use oatpier_placement::release::{ReleaseAnswer, ReleaseKeeper};
use oatpier_placement::steps::{
    AttemptCount, MoveStepper, PlacementStep, ReplicaView, StepInput, StepWait,
};
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{EngineRole, OrderAction, WeightsKey};
use oatpier_types::ids::BootId;
use oatpier_types::names::{EndpointName, VersionName};
use oatpier_types::plan::EndpointPlan;
use smallvec::{SmallVec, smallvec};

use crate::fleet::{adapter, add_adapter, base, endpoint, fleet};
use crate::orders::{AgentHarness, load, unload};

/// Replicas on other endpoints and running attempts, as this endpoint's agent sees them.
#[derive(Default)]
struct FakePeers {
    elsewhere: Vec<WeightsKey>,
    running: Vec<WeightsKey>,
}

impl ReplicaView for FakePeers {
    fn ready_elsewhere(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]> {
        if self.elsewhere.contains(weights) {
            smallvec![endpoint("other")]
        } else {
            SmallVec::new()
        }
    }
}

impl AttemptCount for FakePeers {
    fn in_flight(&self, weights: &WeightsKey) -> u32 {
        u32::from(self.running.contains(weights))
    }
}

struct Agent {
    harness: AgentHarness,
    stepper: MoveStepper,
    releases: ReleaseKeeper,
    peers: FakePeers,
    plan: EndpointPlan,
}

impl Agent {
    fn new(config: FleetConfig, memory_mib: u64, held: &[WeightsKey]) -> Self {
        let mut harness = AgentHarness::ready(true, config, memory_mib);
        for weights in held {
            harness.engine.put_ready(weights);
        }
        harness.run(Duration::from_secs(6));
        let plan = EndpointPlan {
            endpoint: endpoint("e0000"),
            weights: held.iter().cloned().collect(),
            role: EngineRole::Both,
        };
        Self {
            harness,
            stepper: MoveStepper::new(),
            releases: ReleaseKeeper::new(endpoint("e0000"), BootId(1), 1),
            peers: FakePeers::default(),
            plan,
        }
    }

    fn step(&mut self) -> Result<PlacementStep, StepWait> {
        let input = StepInput {
            plan: &self.plan,
            config: &self.harness.config,
            replicas: &self.peers,
            attempts: &self.peers,
        };
        let now = self.harness.now;
        self.stepper
            .next_step(input, &mut self.harness.keeper, &mut self.releases, now)
    }

    /// Returns all steps until the endpoint matches the plan. The other holder grants every request.
    fn all_steps(&mut self) -> Vec<PlacementStep> {
        let mut steps = Vec::new();
        for _ in 0..400 {
            match self.step() {
                Ok(step) => {
                    if let PlacementStep::RequestRelease { request, .. } = &step {
                        let answer = ReleaseAnswer {
                            boot: request.boot,
                            sequence: request.sequence,
                            granted: true,
                        };
                        self.releases.on_answer(answer, self.harness.now);
                    }
                    steps.push(step);
                }
                Err(StepWait::Done) if self.harness.keeper.pending_orders() == 0 => break,
                Err(_) => self.harness.run(Duration::from_millis(100)),
            }
        }
        steps
    }

    fn orders(&mut self) -> Vec<OrderAction> {
        let steps = self.all_steps().into_iter();
        let orders = steps.filter_map(|step| match step {
            PlacementStep::Ordered(action) => Some(action),
            _ => None,
        });
        orders.collect()
    }
}

fn change_version(config: &mut FleetConfig) {
    config.models[0].version = VersionName::try_from("v2").unwrap();
}

#[test]
fn base_model_is_loaded_before_and_unloaded_after_adapter() {
    let mut config = fleet(1, 100, &[("a", 60)]);
    add_adapter(&mut config, "x", "a", 10);
    let both = [base("a", "v1"), adapter("x", "a", "v1")];
    let mut agent = Agent::new(config, 100, &[]);
    agent.plan.weights = both.iter().rev().cloned().collect();
    assert_eq!(agent.orders(), [load(&both[0]), load(&both[1])]);
    agent.plan.weights.clear();
    agent.peers.elsewhere = both.to_vec();
    assert_eq!(agent.orders(), [unload(&both[1]), unload(&both[0])]);
}

/// The plan removes the only known replica. The model would become unavailable, so the replica
/// stays and the result gives the reason.
#[test]
fn last_ready_replica_is_not_unloaded() {
    let a = base("a", "v1");
    let mut agent = Agent::new(fleet(1, 100, &[("a", 60)]), 100, std::slice::from_ref(&a));
    agent.plan.weights.clear();
    assert_eq!(agent.step(), Err(StepWait::LastReplica(a)));
}

/// A new version fits beside the old one. It is ready before the old one is unloaded. No release
/// is needed, because this endpoint continues to serve the model.
#[test]
fn version_change_keeps_model_served() {
    let (old, new) = (base("a", "v1"), base("a", "v2"));
    let mut agent = Agent::new(fleet(1, 130, &[("a", 60)]), 130, std::slice::from_ref(&old));
    change_version(&mut agent.harness.config);
    agent.plan.weights = smallvec![new.clone()];
    let steps = agent.all_steps();
    let wanted = [
        PlacementStep::Ordered(load(&new)),
        PlacementStep::StartDrain(old.clone()),
        PlacementStep::Ordered(unload(&old)),
    ];
    assert_eq!(steps, wanted);
}

/// Memory does not hold both versions, and an adapter depends on the old one. While no other
/// endpoint serves them, nothing is unloaded. Once one does, the adapter and the old base model
/// are unloaded, and the new base model and the adapter are loaded in order.
#[test]
fn version_change_without_memory_waits_for_other_replica() {
    let mut config = fleet(1, 100, &[("a", 60)]);
    add_adapter(&mut config, "x", "a", 10);
    let (old, new, x) = (base("a", "v1"), base("a", "v2"), adapter("x", "a", "v1"));
    let mut agent = Agent::new(config, 100, &[old.clone(), x.clone()]);
    change_version(&mut agent.harness.config);
    agent.plan.weights = smallvec![new.clone(), x.clone()];
    agent.harness.run(Duration::from_secs(1));
    assert!(agent.step().is_err());
    agent.peers.elsewhere = vec![old.clone(), x.clone()];
    assert_eq!(
        agent.orders(),
        [unload(&x), unload(&old), load(&new), load(&x)]
    );
}

/// An attempt runs on weights that the plan removes. An unload would abort it, so no new attempts
/// are accepted and the order waits for the last one to end.
#[test]
fn unload_waits_for_running_attempts() {
    let a = base("a", "v1");
    let mut agent = Agent::new(fleet(1, 100, &[("a", 60)]), 100, std::slice::from_ref(&a));
    agent.plan.weights.clear();
    agent.peers.elsewhere = vec![a.clone()];
    agent.peers.running = vec![a.clone()];
    let steps = agent.all_steps();
    assert_eq!(steps.last(), Some(&PlacementStep::StartDrain(a.clone())));
    assert!(!agent.stepper.accepts_new(&a));
    agent.peers.running.clear();
    assert_eq!(agent.orders(), [unload(&a)]);
}

/// The plan includes weights again while they drain. They accept new attempts again, and the agent
/// may grant releases to others again.
#[test]
fn drain_is_canceled_when_plan_changes_back() {
    let a = base("a", "v1");
    let mut agent = Agent::new(fleet(1, 100, &[("a", 60)]), 100, std::slice::from_ref(&a));
    agent.plan.weights.clear();
    agent.peers.elsewhere = vec![a.clone()];
    agent.peers.running = vec![a.clone()];
    agent.all_steps();
    agent.plan.weights = smallvec![a.clone()];
    assert_eq!(agent.step(), Ok(PlacementStep::ResumeServing(a.clone())));
    assert!(agent.stepper.accepts_new(&a) && !agent.releases.is_releasing(&a));
}

#[test]
fn role_change_follows_plan() {
    let mut agent = Agent::new(fleet(1, 100, &[("a", 60)]), 100, &[]);
    let role = EngineRole::Prefill;
    agent.plan.role = role;
    assert_eq!(agent.orders(), [OrderAction::SetRole { role }]);
}
