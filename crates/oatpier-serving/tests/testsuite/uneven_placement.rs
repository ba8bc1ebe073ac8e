//! Placement on engines of unequal speed.
//!
//! The load: a third of the engines is slow, a third fast. A few models have many long streams, which slow engines
//! end late; others have short ones, or few.

use oatpier_serving::planner::LoadReason;

use crate::placement_fleet::{FAST, PaceReports, PlacementFleet, SLOW, TrueSpeed, USUAL};

const SEEDS: std::ops::Range<u64> = 0..3;

/// Time after which the placement has settled, in milliseconds.
const SETTLED_MS: u64 = 18_000;

/// Time over which callers' results are counted, in milliseconds.
const COUNTED_MS: u64 = 6_000;

/// Speeds of 24 engines: a third each.
fn thirds() -> Vec<TrueSpeed> {
    [SLOW, USUAL, FAST].repeat(8)
}

/// Models with many long streams, with many short ones, and with few long ones. They take half of the slots.
fn mixed_flows() -> Vec<(String, f64, f64)> {
    let hot = (0..6).map(|number| (format!("hot{number}"), 9.0, 35.0));
    let short = (0..6).map(|number| (format!("short{number}"), 15.0, 6.0));
    let rare = (0..16).map(|number| (format!("rare{number}"), 0.6, 35.0));
    hot.chain(short).chain(rare).collect()
}

fn mixed_fleet(seed: u64, reports: PaceReports) -> PlacementFleet {
    let mut fleet = PlacementFleet::start(seed, &thirds(), &mixed_flows());
    fleet.reports = reports;
    fleet
}

/// Returns the share of long streams that end late or are refused, once the placement has settled.
fn failed_long_share(fleet: &mut PlacementFleet) -> f64 {
    fleet.run(SETTLED_MS);
    let totals = fleet.run(COUNTED_MS);
    1.0 - totals.long_in_time / totals.long_asked
}

fn moves(fleet: &PlacementFleet, since: u64) -> usize {
    let is_move = |reason: LoadReason| matches!(reason, LoadReason::Speed | LoadReason::Swap);
    let advised = fleet.advised.iter();
    advised
        .filter(|load| load.0 >= since && is_move(load.3))
        .count()
}

/// One in six long streams ends late if models are placed as if engines were alike. Placed by speed, at least a
/// quarter of these ends in time, and no placement that the fleet begins with ends worse.
#[test]
fn long_streams_reach_engines_that_serve_them_in_time() {
    let (mut sum_alike, mut sum_by_speed) = (0.0, 0.0);
    for seed in 0..10 {
        let alike = failed_long_share(&mut mixed_fleet(seed, PaceReports::None));
        let by_speed = failed_long_share(&mut mixed_fleet(seed, PaceReports::EverySecond));
        assert!(by_speed < alike, "seed {seed}: {by_speed:.3} of {alike:.3}");
        sum_alike += alike;
        sum_by_speed += by_speed;
    }
    assert!(
        sum_by_speed < sum_alike * 0.75,
        "{sum_by_speed:.3} of {sum_alike:.3}"
    );
}

/// Moves free the holders of a model in turn. A request for a model that all of them had left would find none.
#[test]
fn no_requested_model_loses_its_last_holder_to_a_move() {
    for seed in SEEDS {
        let mut fleet = mixed_fleet(seed, PaceReports::EverySecond);
        fleet.run(300);
        for _ in 0..120 {
            fleet.run(150);
            assert_eq!(fleet.missing(), Vec::<&str>::new(), "seed {seed}");
        }
    }
}

/// Measured paces vary by a tenth. A planner that follows each measurement moves models back and forth, and engines
/// load instead of serving.
#[test]
fn noisy_paces_do_not_move_models_back_and_forth() {
    for seed in SEEDS {
        let mut fleet = mixed_fleet(seed, PaceReports::EverySecond);
        fleet.noise = 0.1;
        fleet.run(SETTLED_MS);
        fleet.run(12_000);
        let loads = &fleet.advised;
        assert!(moves(&fleet, SETTLED_MS) <= 2, "seed {seed}: {loads:?}");
    }
}

/// Engines of one speed are measured with deviations of a tenth. Their models are placed as without any pace.
#[test]
fn engines_that_are_alike_are_planned_for_as_equals() {
    for seed in SEEDS {
        let [without, with] = [PaceReports::None, PaceReports::EverySecond].map(|reports| {
            let mut fleet = PlacementFleet::start(seed, &[USUAL; 24], &mixed_flows());
            fleet.reports = reports;
            fleet.noise = 0.1;
            fleet.run(6_000);
            fleet.advised
        });
        assert_eq!(with, without, "seed {seed}");
    }
}

/// Every other sidecar reports no pace, as during a rolling upgrade, or has stopped reporting it. The callers are
/// served no worse than without any pace.
#[test]
fn unknown_and_stale_paces_of_half_of_the_engines_harm_nobody() {
    for seed in SEEDS {
        let alike = failed_long_share(&mut mixed_fleet(seed, PaceReports::None));
        for reports in [PaceReports::HalfOfEngines, PaceReports::StaleForHalf] {
            let partly = failed_long_share(&mut mixed_fleet(seed, reports));
            assert!(
                partly <= alike + 0.01,
                "seed {seed}, {reports:?}: {partly:.3} of {alike:.3}"
            );
        }
    }
}

/// The gateway that plans is lost, and its successor knows nothing of swaps that are half done.
#[test]
fn another_planner_continues_without_moving_everything_again() {
    for seed in SEEDS {
        let mut fleet = mixed_fleet(seed, PaceReports::EverySecond);
        for _ in 0..3 {
            fleet.run(SETTLED_MS / 3);
            fleet.planner = oatpier_serving::planner::LoadPlanner::default();
        }
        let before = fleet.now;
        fleet.run(6_000);
        assert!(moves(&fleet, before) <= 3, "seed {seed}");
    }
}

/// A fast engine restarts on a slow VM under its name. Its earlier pace must not attract long streams to it.
#[test]
fn pace_of_an_earlier_incarnation_does_not_count() {
    for seed in SEEDS {
        let mut fleet = mixed_fleet(seed, PaceReports::EverySecond);
        fleet.run(SETTLED_MS);
        let fast = |engine: &crate::placement_fleet::PlacedEngine| engine.speed == FAST;
        let index = fleet.engines.iter().position(fast).unwrap();
        fleet.end_engine(index, 0);
        fleet.engines[index].speed = SLOW;
        let failed = failed_long_share(&mut fleet);
        let alike = failed_long_share(&mut mixed_fleet(seed, PaceReports::None));
        assert!(failed < alike, "seed {seed}: {failed:.3} of {alike:.3}");
    }
}

/// The only holder of a model is slow and less than half full. By its slots alone no replica gains anything, but half
/// of the long streams there are late.
#[test]
fn slow_holder_that_is_not_full_gets_help() {
    let speeds = [SLOW, SLOW, USUAL, USUAL, FAST, FAST];
    let name = |number: usize| format!("unused{number}");
    let mut flows: Vec<(String, f64, f64)> =
        (0..12).map(|number| (name(number), 0.0, 35.0)).collect();
    flows.push(("hot".to_owned(), 1.4, 35.0));
    let has_helper = [PaceReports::None, PaceReports::EverySecond].map(|reports| {
        let mut fleet = PlacementFleet::start(1, &speeds, &flows);
        fleet.reports = reports;
        for (index, engine) in fleet.engines.iter_mut().enumerate() {
            engine.held = vec![name(2 * index), name(2 * index + 1)];
        }
        fleet.engines[0].held = vec!["hot".to_owned(), name(0)];
        fleet.run(4_500);
        fleet.holders("hot").any(|engine| engine.speed != SLOW)
    });
    assert_eq!(has_helper, [false, true]);
}
