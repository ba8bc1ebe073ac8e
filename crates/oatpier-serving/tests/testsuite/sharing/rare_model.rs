//! Several engines, and a workspace whose model lives on one of them only.
//!
//! An order by the use of each engine alone gives the rare one half of its engine, although the other workspace has
//! three engines more.

use super::engines::{SharedFleet, WorkspaceLoad, load, prompt_load};

const ENGINES: u8 = 4;
const RUN_S: u64 = 30;

/// A common workspace asks for twice all engines, the rare one for 0.9 of the only engine that it can use.
fn rare_beside_common(seed: u64) -> SharedFleet {
    let common = WorkspaceLoad {
        engines: 0..usize::from(ENGINES),
        ..load(0, 8.0, 60)
    };
    let rare = WorkspaceLoad {
        engines: 3..4,
        ..load(1, 0.8, 60)
    };
    SharedFleet::new(ENGINES, &[0.0; 2], vec![common, rare], seed)
}

#[test]
fn rare_model_gets_its_only_engine() {
    for seed in 0..3 {
        let mut fleet = rare_beside_common(seed);
        fleet.run(6);
        let outcomes = fleet.run(RUN_S);
        assert!(
            outcomes[&1].timely_share() >= 0.9,
            "seed {seed}: {:?}",
            outcomes[&1]
        );
    }
}

/// The common one loses nothing at the other engines.
#[test]
fn common_workspace_gets_the_other_engines() {
    let mut fleet = rare_beside_common(1);
    fleet.run(6);
    let outcomes = fleet.run(RUN_S);
    assert!(outcomes[&0].engine_s >= 0.95 * 3.0 * 30.0, "{outcomes:?}");
}

/// Prompts that take longer than the prefill budget of an engine get their turn beside short ones.
#[test]
fn large_prompts_are_not_starved_by_short_ones() {
    let large = prompt_load(0, 0.3, 6_000, 100);
    let small = prompt_load(1, 1.5, 600, 30);
    let mut fleet = SharedFleet::new(1, &[0.0; 2], vec![large, small], 5);
    fleet.run(6);
    let outcomes = fleet.run(RUN_S);
    assert!(outcomes[&0].timely_share() >= 0.9, "{outcomes:?}");
}
