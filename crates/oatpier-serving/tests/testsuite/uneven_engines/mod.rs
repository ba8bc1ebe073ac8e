//! Load: long and short streams of one model over engines of different speed, from many gateways.
//!
//! The VMs of the engines are disturbed for blocks of time. A disturbed chunk of a slow engine takes longer than the
//! pause limit, one of a fast engine does not.

mod fleet;

use fleet::{EngineFleet, EngineKind, FAST, LOAD, LoadOutcome, SLOW, StreamLoad};

/// Callers expect 95 of 100 streams of each class to be in time.
const MAX_LATE_SHARE: f64 = 0.05;

/// Returns the outcome over some seeds.
fn outcome(kinds: &[EngineKind], load: StreamLoad) -> LoadOutcome {
    let mut sum = LoadOutcome::default();
    for seed in 1..=2 {
        let one = EngineFleet::new(kinds, StreamLoad { seed, ..load }).run();
        sum.long.add(one.long);
        sum.short.add(one.short);
    }
    sum
}

/// A fast holder can serve all long streams, beside most short ones. On the slow one more than half of the long
/// streams would be late by a pause.
#[test]
fn long_streams_get_the_engine_that_serves_them_in_time() {
    let kinds = [SLOW, FAST];
    let known = outcome(&kinds, LOAD);
    assert!(known.long.late_share() <= MAX_LATE_SHARE, "{known:?}");
    assert!(known.short.late_share() <= MAX_LATE_SHARE, "{known:?}");
    let unknown = outcome(
        &kinds,
        StreamLoad {
            reports_pace: false,
            ..LOAD
        },
    );
    assert!(unknown.long.late_share() > MAX_LATE_SHARE, "{unknown:?}");
}

/// Thirty gateways see the same fast engines, with loads that are up to a second old.
#[test]
fn gateways_do_not_crowd_onto_fast_engines() {
    let load = StreamLoad {
        long_per_s: 20.0,
        short_per_s: 20.0,
        ..LOAD
    };
    let known = outcome(&[SLOW, SLOW, FAST, FAST], load);
    assert!(known.long.start_share() <= MAX_LATE_SHARE, "{known:?}");
    assert!(known.long.late_share() <= MAX_LATE_SHARE, "{known:?}");
    assert!(known.short.late_share() <= MAX_LATE_SHARE, "{known:?}");
}

/// The fast engine alone is too small. Both kinds of streams gain, and neither pays for the other.
#[test]
fn all_callers_gain_if_the_fast_engine_is_full() {
    let kinds = [SLOW, FAST];
    let load = StreamLoad {
        long_per_s: 14.0,
        short_per_s: 14.0,
        ..LOAD
    };
    let known = outcome(&kinds, load);
    let unknown = outcome(
        &kinds,
        StreamLoad {
            reports_pace: false,
            ..load
        },
    );
    assert!(
        known.long.late < unknown.long.late * 3 / 4,
        "{known:?} {unknown:?}"
    );
    assert!(
        known.short.late <= unknown.short.late,
        "{known:?} {unknown:?}"
    );
}

#[test]
fn engines_of_the_same_pace_are_chosen_as_without_it() {
    for kinds in [[FAST, FAST], [SLOW, SLOW]] {
        let load = StreamLoad {
            long_per_s: 8.0,
            short_per_s: 8.0,
            ..LOAD
        };
        let known = outcome(&kinds, load);
        let unknown = outcome(
            &kinds,
            StreamLoad {
                reports_pace: false,
                ..load
            },
        );
        assert_eq!(known, unknown);
    }
}
