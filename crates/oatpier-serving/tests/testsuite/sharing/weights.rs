//! Workspaces to which the configuration grants unequal rates.

use oatpier_serving::sharing::WorkspaceTag;
use oatpier_serving::sharing::weights::ShareWeights;
use oatpier_serving::workspace::WorkspaceTable;

use super::engines::{SharedFleet, load, name, workspaces};

fn weights(rates: &[f64]) -> Vec<u32> {
    let weights = ShareWeights::from(&workspaces(rates));
    let tags = (0..rates.len()).map(|workspace| WorkspaceTag::from(&name(workspace)));
    tags.map(|tag| weights.weight(tag)).collect()
}

/// Both ask for twice the engine, and one is granted three times the rate of the other.
#[test]
fn shares_follow_the_granted_rates() {
    for seed in 0..4 {
        let loads = vec![load(0, 2.0, 60), load(1, 2.0, 60)];
        let mut fleet = SharedFleet::new(1, &[300.0, 100.0], loads, seed);
        fleet.run(6);
        let outcomes = fleet.run(30);
        let total = outcomes[&0].engine_s + outcomes[&1].engine_s;
        let share = outcomes[&0].engine_s / total;
        assert!((0.65..=0.85).contains(&share), "seed {seed}: {share:.2}");
    }
}

#[test]
fn weights_are_equal_where_nothing_is_granted() {
    let weights = weights(&[0.0, 0.0, 0.0]);
    assert!(weights.iter().all(|weight| *weight == weights[0]));
}

#[test]
fn workspace_without_a_quota_gets_the_median_weight() {
    assert_eq!(
        weights(&[10.0, 0.0, 20.0, 500.0]),
        [10_000, 20_000, 20_000, 500_000]
    );
}

#[test]
fn rates_of_several_units_cannot_be_compared() {
    use oatpier_serving::workspace::quota::{QuotaRule, QuotaUnit};
    use oatpier_serving::workspace::{DeclaredWorkspace, WorkspaceRule};
    let units = [QuotaUnit::Requests, QuotaUnit::Tokens { plain: 1 }];
    let declared = units.into_iter().enumerate().map(|(workspace, unit)| {
        let quota = QuotaRule {
            rate: 1_000.0,
            burst: 0.0,
            unit,
        };
        DeclaredWorkspace {
            rule: WorkspaceRule {
                name: name(workspace),
                priority: None,
                quota: Some(quota),
            },
            keys: Vec::new(),
        }
    });
    let table = WorkspaceTable::try_from(declared.collect::<Vec<_>>()).unwrap();
    assert_eq!(ShareWeights::from(&table), ShareWeights::default());
}
