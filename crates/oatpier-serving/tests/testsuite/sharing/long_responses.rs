//! A workspace that asks for long responses only, beside others with short ones.
//!
//! Each of its requests holds a slot for many times as long. An order by requests would give it most of the engine.

use super::engines::{SharedFleet, load};

/// The long ones ask for the whole engine, three workspaces with short ones for 0.22 of it each.
fn long_beside_short(seed: u64) -> SharedFleet {
    let mut loads = vec![load(0, 1.0, 600)];
    loads.extend((1..=3).map(|workspace| load(workspace, 0.22, 40)));
    SharedFleet::new(1, &[0.0; 4], loads, seed)
}

#[test]
fn long_responses_leave_the_shares_of_the_others() {
    for seed in 0..4 {
        let mut fleet = long_beside_short(seed);
        fleet.run(8);
        let outcomes = fleet.run(30);
        for workspace in 1..=3 {
            let outcome = outcomes[&workspace];
            assert!(
                outcome.timely_share() >= 0.9,
                "seed {seed}: {workspace}: {outcome:?}"
            );
        }
    }
}

/// The long ones are not starved either: they get at least two thirds of an equal share.
#[test]
fn long_responses_get_their_share() {
    for seed in 0..4 {
        let mut fleet = long_beside_short(seed);
        fleet.run(8);
        let outcomes = fleet.run(30);
        let engine_s = outcomes[&0].engine_s;
        assert!(engine_s >= 30.0 * 0.25 * 2.0 / 3.0, "{outcomes:?}");
    }
}
