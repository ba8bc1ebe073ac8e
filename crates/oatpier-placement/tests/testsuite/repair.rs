//! Tests of reachability without the planner and the store.

use std::time::Duration;

use oatpier_placement::rank::rank_of;
use oatpier_placement::repair::{RepairInput, RepairKeeper, RepairSettings};
use oatpier_placement::steps::ReplicaView;
use oatpier_types::engine::WeightsKey;
use oatpier_types::names::{EndpointName, PoolName};
use smallvec::{SmallVec, smallvec};

use crate::fleet::{adapter, add_adapter, base, endpoint, fleet};
use crate::orders::AgentHarness;

struct OtherReplicas(Vec<WeightsKey>);

impl ReplicaView for OtherReplicas {
    fn ready_elsewhere(&self, weights: &WeightsKey) -> SmallVec<[EndpointName; 4]> {
        if self.0.contains(weights) {
            smallvec![endpoint("other")]
        } else {
            SmallVec::new()
        }
    }
}

fn live(count: usize) -> Vec<EndpointName> {
    (0..count)
        .map(|index| endpoint(&format!("e{index:04}")))
        .collect()
}

fn keeper(name: &EndpointName) -> RepairKeeper {
    let pool = PoolName::try_from("llm").unwrap();
    RepairKeeper::new(RepairSettings::default(), name.clone(), pool)
}

/// Returns the rank of each of five endpoints, and after how many seconds it loads a model that
/// only `replicas` may serve.
fn load_delays(harness: &AgentHarness, replicas: &OtherReplicas) -> Vec<(usize, Option<u64>)> {
    let live = live(5);
    let ranked = live.iter().map(|name| {
        let mut repair = keeper(name);
        let delay = (0..40).find(|second| {
            let now = harness.now + Duration::from_secs(*second);
            let input = RepairInput {
                config: &harness.config,
                live: &live,
                replicas,
                plan: None,
            };
            let row = repair.repaired_row(&input, &harness.keeper, now);
            row.weights.contains(&base("a", "v1"))
        });
        (rank_of("a", name, live.iter()), delay)
    });
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_unstable();
    ranked
}

/// The only endpoint with a model crashes while planner and store are unavailable. The live
/// endpoints load it after a delay by rank, so that only one of them loads it.
#[test]
fn endpoints_load_lost_model_by_rank() {
    let harness = AgentHarness::ready(true, fleet(5, 100, &[("a", 60)]), 100);
    let load_delays = load_delays(&harness, &OtherReplicas(Vec::new()));
    let wanted = [3, 7, 11, 15, 19].into_iter().map(Some).enumerate();
    assert_eq!(load_delays, wanted.collect::<Vec<_>>());
}

#[test]
fn model_served_elsewhere_is_not_repaired() {
    let harness = AgentHarness::ready(true, fleet(5, 100, &[("a", 60)]), 100);
    let load_delays = load_delays(&harness, &OtherReplicas(vec![base("a", "v1")]));
    assert!(load_delays.iter().all(|(_, delay)| delay.is_none()));
}

/// Memory is full. A replica that another endpoint also has is removed to make room, but never the
/// last one.
#[test]
fn only_redundant_replicas_make_room() {
    for extra in [true, false] {
        let mut harness = AgentHarness::ready(true, fleet(1, 100, &[("a", 60), ("b", 60)]), 100);
        harness.engine.put_ready(&base("b", "v1"));
        harness.run(Duration::from_secs(6));
        let replicas = OtherReplicas(if extra {
            vec![base("b", "v1")]
        } else {
            Vec::new()
        });
        let live = live(1);
        let mut repair = keeper(&live[0]);
        let input = RepairInput {
            config: &harness.config,
            live: &live,
            replicas: &replicas,
            plan: None,
        };
        repair.repaired_row(&input, &harness.keeper, harness.now);
        let row = repair.repaired_row(
            &input,
            &harness.keeper,
            harness.now + Duration::from_secs(5),
        );
        let wanted = if extra {
            base("a", "v1")
        } else {
            base("b", "v1")
        };
        assert_eq!(row.weights.as_slice(), [wanted]);
    }
}

#[test]
fn adapter_is_repaired_with_base_model() {
    let mut config = fleet(1, 100, &[("a", 60)]);
    add_adapter(&mut config, "x", "a", 10);
    let harness = AgentHarness::ready(true, config, 100);
    let live = live(1);
    let mut repair = keeper(&live[0]);
    let replicas = OtherReplicas(vec![base("a", "v1")]);
    let input = RepairInput {
        config: &harness.config,
        live: &live,
        replicas: &replicas,
        plan: None,
    };
    repair.repaired_row(&input, &harness.keeper, harness.now);
    let row = repair.repaired_row(
        &input,
        &harness.keeper,
        harness.now + Duration::from_secs(5),
    );
    assert_eq!(
        row.weights.as_slice(),
        [base("a", "v1"), adapter("x", "a", "v1")]
    );
}
