//! Tests of one workspace's limit with a simulated fleet of gateways.

use rand::RngExt;

use crate::fleet::{Fleet, RULE, STEP_MS, TIGHT_BOUNDS, USUAL_BOUNDS};

/// Returns the number of units that the platform allows in a window.
fn max_units() -> f64 {
    let limit = RULE.rate * TIGHT_BOUNDS.window.as_secs_f64() + RULE.burst;
    limit * (1.0 + TIGHT_BOUNDS.overage) + TIGHT_BOUNDS.slack
}

/// Callers of one workspace request four times their limit at all gateways. Datagrams are lost, duplicated and delayed,
/// gateways are killed, frozen and partitioned, and the store is restored from older copies. The engines receive more
/// than the limit in some window if two gateways grant units of the same part, or if units are granted twice.
#[test]
fn no_window_exceeds_the_limit_under_faults() {
    for seed in 0..60 {
        let mut fleet = Fleet::start(seed, 7, TIGHT_BOUNDS);
        for now in (0..90_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
            if now == 5_000 {
                fleet.loss = 0.05;
            }
            if now > 5_000 && fleet.random.random_bool(0.004) {
                fleet.inject_fault(now);
            }
            for index in 0..fleet.gateways.len() {
                if fleet.random.random_bool(0.05) {
                    let units = fleet.random.random_range(20..500);
                    fleet.request(index, units);
                }
            }
            fleet.step(now);
        }
        let most = fleet.max_used_in_window();
        assert!(
            f64::from(u32::try_from(most).unwrap()) <= max_units(),
            "seed {seed}: {most}"
        );
        assert!(most > 10_000, "seed {seed}: only {most} units were given");
    }
}

/// Without faults, all callers of a workspace use one gateway and stay below the limit. With a limit divided equally
/// among the gateways, most of them would be refused.
#[test]
fn a_single_gateway_gets_the_whole_limit_without_faults() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(seed, 7, USUAL_BOUNDS);
        let mut saved = RULE.burst;
        let mut first_refused_ms = u64::MAX;
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
            if fleet.counts.exhausted > 0 {
                first_refused_ms = first_refused_ms.min(now);
            }
        }
        assert_eq!(
            fleet.counts.exhausted, 0,
            "seed {seed}, first at {first_refused_ms}"
        );
        assert_eq!(fleet.counts.no_holder, 0, "seed {seed}");
        assert!(fleet.counts.taken.len() > 100);
    }
}

/// A holder is killed and not replaced. The other parts still grant two thirds of the limit at once, and the whole
/// limit once the lease of the killed holder has expired.
#[test]
fn losing_a_holder_costs_no_more_than_its_part() {
    let mut fleet = Fleet::start(1, 5, USUAL_BOUNDS);
    for now in (0..60_000_u64).step_by(usize::try_from(STEP_MS).unwrap()) {
        if now == 10_000 {
            fleet.gateways[0].down_until = u64::MAX;
        }
        if now >= 5_000 && now % 100 == 0 {
            fleet.request(2, 200);
        }
        fleet.step(now);
    }
    let granted = |from: u64, to: u64| -> u64 {
        let taken = fleet.counts.taken.iter();
        let within = taken.filter(|(now, _)| (from..to).contains(now));
        within.map(|(_, units)| units).sum()
    };
    let whole = 10 * 2_000;
    assert!(
        granted(20_000, 30_000) * 100 >= whole * 60,
        "{}",
        granted(20_000, 30_000)
    );
    assert!(
        granted(50_000, 60_000) * 100 >= whole * 95,
        "{}",
        granted(50_000, 60_000)
    );
}
