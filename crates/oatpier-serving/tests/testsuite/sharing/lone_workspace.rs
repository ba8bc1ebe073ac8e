//! One workspace alone gets all.

use super::engines::{SharedFleet, load};

/// It asks for twice the engine, and no other workspace asks.
#[test]
fn lone_workspace_gets_the_whole_engine() {
    let mut fleet = SharedFleet::new(1, &[0.0; 4], vec![load(0, 2.0, 60)], 1);
    fleet.run(4);
    let outcomes = fleet.run(20);
    assert!(
        outcomes[&0].engine_s >= 0.9 * 20.0,
        "with a workspace: {:?}",
        outcomes[&0]
    );
    assert_eq!(fleet.idle_beside_waiting, 0);
}

/// A workspace that used an idle engine alone is not shut out once another one asks: within a few seconds both get the
/// same.
#[test]
fn use_of_an_idle_engine_counts_for_seconds_only() {
    let mut newcomer = load(1, 2.0, 60);
    newcomer.sends = 10_000..u64::MAX;
    let loads = vec![load(0, 2.0, 60), newcomer];
    let mut fleet = SharedFleet::new(1, &[0.0; 2], loads, 3);
    fleet.run(10);
    let first = fleet.run(6);
    assert!(first[&0].engine_s >= 0.15 * 6.0, "{first:?}");
    let then = fleet.run(10);
    assert!(then[&0].engine_s >= 0.35 * 10.0, "{then:?}");
    assert!(then[&1].engine_s >= 0.35 * 10.0, "{then:?}");
}
