//! Sixteen workspaces at once ask for twice what three engines serve.

use super::engines::{SharedFleet, WorkspaceLoad, load};

const ENGINES: u8 = 3;
const RUN_S: u64 = 30;

fn sixteen(seed: u64, shares: impl Fn(usize) -> f64) -> SharedFleet {
    let loads = (0..16).map(|workspace| WorkspaceLoad {
        engines: 0..usize::from(ENGINES),
        ..load(workspace, shares(workspace), 60)
    });
    SharedFleet::new(ENGINES, &[0.0; 16], loads.collect(), seed)
}

/// All ask for the same, and all get about the same.
#[test]
fn equal_workspaces_get_equal_shares() {
    for seed in 0..3 {
        let mut fleet = sixteen(seed, |_| 6.0 / 16.0);
        fleet.run(6);
        let outcomes = fleet.run(RUN_S);
        let total: f64 = outcomes.values().map(|outcome| outcome.engine_s).sum();
        for (workspace, outcome) in &outcomes {
            let share = outcome.engine_s / total * 16.0;
            assert!(
                (0.75..=1.25).contains(&share),
                "seed {seed}: {workspace}: {share:.2} of an equal share"
            );
        }
    }
}

/// Four ask for eight times as much as the others, who ask for less than their shares and get all of it in time.
#[test]
fn four_large_workspaces_leave_the_others_their_shares() {
    for seed in 0..3 {
        let mut fleet = sixteen(seed, |workspace| if workspace < 4 { 1.2 } else { 0.1 });
        fleet.run(6);
        let outcomes = fleet.run(RUN_S);
        for workspace in 4..16 {
            let outcome = outcomes[&workspace];
            assert!(
                outcome.timely_share() >= 0.95,
                "seed {seed}: {workspace}: {outcome:?}"
            );
        }
    }
}
