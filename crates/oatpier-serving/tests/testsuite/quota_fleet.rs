//! A fleet of gateways before one workspace's limit.

use rand::RngExt;

use crate::fleet::{Fleet, RULE, STEP_MS, TIGHT, USUAL};

/// What the platform allows in a window.
fn allowed() -> f64 {
    let limit = RULE.rate * TIGHT.window.as_secs_f64() + RULE.burst;
    limit * (1.0 + TIGHT.overage) + TIGHT.slack
}

/// Callers of one workspace ask for four times their limit at all gateways, while datagrams are lost, doubled and
/// late, gateways are killed, frozen and cut off, and the store comes back from older copies. The engines see more
/// than the limit in some window where two gateways hand out the same part, or where one is given twice.
#[test]
fn no_window_is_over_the_limit_whatever_goes_wrong() {
    for seed in 0..60 {
        let mut fleet = Fleet::start(seed, 7, TIGHT);
        for now in (0..90_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
            if now == 5_000 {
                fleet.loss = 0.05;
            }
            if now > 5_000 && fleet.random.random_bool(0.004) {
                fleet.disturb(now);
            }
            for place in 0..fleet.gateways.len() {
                if fleet.random.random_bool(0.05) {
                    let units = fleet.random.random_range(20..500);
                    fleet.request(place, units);
                }
            }
            fleet.step(now);
        }
        let most = fleet.used_in_windows();
        assert!(
            f64::from(u32::try_from(most).unwrap()) <= allowed(),
            "seed {seed}: {most}"
        );
        assert!(most > 10_000, "seed {seed}: only {most} units were given");
    }
}

/// All callers of a workspace come to one gateway, below the limit, and nothing is wrong. A limit that is divided
/// evenly among gateways refuses most of them.
#[test]
fn a_lone_gateway_gets_the_whole_limit_while_nothing_is_cut() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(seed, 7, USUAL);
        let mut saved = RULE.burst;
        let mut refused_least = u64::MAX;
        for now in (0..60_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
            saved = (saved + RULE.rate * 0.01).min(RULE.burst);
            let units = fleet.random.random_range(50..500);
            let is_busy = (now / 4_000).is_multiple_of(2);
            let wants = now > 5_000 && fleet.random.random_bool(if is_busy { 0.2 } else { 0.04 });
            if wants && f64::from(u32::try_from(units).unwrap()) <= saved {
                saved -= f64::from(u32::try_from(units).unwrap());
                fleet.request(3, units);
            }
            fleet.step(now);
            if fleet.count.spent > 0 {
                refused_least = refused_least.min(now);
            }
        }
        assert_eq!(
            fleet.count.spent, 0,
            "seed {seed}, first at {refused_least}"
        );
        assert_eq!(fleet.count.nobody, 0, "seed {seed}");
        assert!(fleet.count.taken.len() > 100);
    }
}

/// A holder is killed and not replaced. The other parts still give two thirds of the limit at once, and the whole of
/// it once the holder's tenure has ended.
#[test]
fn a_holder_that_is_gone_costs_its_part_and_no_more() {
    let mut fleet = Fleet::start(1, 5, USUAL);
    for now in (0..60_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
        if now == 10_000 {
            fleet.gateways[0].off_until = u64::MAX;
        }
        if now >= 5_000 && now % 100 == 0 {
            fleet.request(2, 200);
        }
        fleet.step(now);
    }
    let given = |from: u64, to: u64| -> u64 {
        let taken = fleet.count.taken.iter();
        let within = taken.filter(|(now, _)| (from..to).contains(now));
        within.map(|(_, units)| units).sum()
    };
    let whole = 10 * 2_000;
    assert!(
        given(20_000, 30_000) * 100 >= whole * 60,
        "{}",
        given(20_000, 30_000)
    );
    assert!(
        given(50_000, 60_000) * 100 >= whole * 95,
        "{}",
        given(50_000, 60_000)
    );
}
