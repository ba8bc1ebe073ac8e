//! How many slots the requests of each model will occupy.
//!
//! The situation: demand leaves one model and rises at another over some seconds, and a load takes about as
//! long.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_serving::demand::DemandTracker;
use oatpier_serving::peers::{PeerTable, TotalDemand};
use oatpier_serving::planner::forecast::{SlotTimes, slots_wanted};
use oatpier_types::names::ModelName;

use crate::support::{address, at, model, request};

/// Demand after requests whose rate rises by `per_s2` per second each second.
fn demand_after_rise(per_s2: u64, seconds: u64) -> HashMap<ModelName, TotalDemand> {
    let mut tracker = DemandTracker::default();
    let weights = request("m1").weights.unwrap();
    for second in 0..seconds {
        let rate = per_s2 * (second + 1);
        for number in 0..rate {
            tracker.note_arrival(&weights, at(second * 1_000 + number * 1_000 / rate));
        }
    }
    let now = at(seconds * 1_000);
    PeerTable::new(address(1), 100).total_demand(&tracker.summary(now), now)
}

fn slots_after(total: &HashMap<ModelName, TotalDemand>, lead_s: u64) -> f64 {
    let slot_times = SlotTimes::of_fleet(total);
    slots_wanted(
        &total[&model("m1")],
        slot_times,
        Duration::from_secs(lead_s),
    )
}

/// Callers of a model with rising demand would be refused until a load that begins after the rise is done.
/// The forecast exceeds the current rate, and exceeds it further for a longer load.
#[test]
fn rise_is_extrapolated_over_the_load_time() {
    let total = demand_after_rise(10, 4);
    let present = total[&model("m1")].asked_fast * 0.9;
    assert!(slots_after(&total, 0) > present);
    assert!(slots_after(&total, 2) > 1.3 * present);
}

#[test]
fn steady_demand_is_not_extrapolated() {
    let mut tracker = DemandTracker::default();
    let weights = request("m1").weights.unwrap();
    for number in 0..1_200 {
        tracker.note_arrival(&weights, at(number * 10));
    }
    let now = at(12_000);
    let total = PeerTable::new(address(1), 100).total_demand(&tracker.summary(now), now);
    let slots = slots_after(&total, 3);
    assert!((80.0..110.0).contains(&slots), "{slots}");
}

/// The number of requests at full engines is limited by their slots, but the arrival rate is not.
#[test]
fn demand_beyond_the_slots_is_forecast_from_the_arrival_rate() {
    let total = TotalDemand {
        running: 10.0,
        sent: 10.0,
        unserved: 30.0,
        asked_fast: 40.0,
        asked_slow: 40.0,
        asked_long: 40.0,

        adapters: 0.0,
        idle: Some(Duration::ZERO),
    };
    let all = HashMap::from([(model("m1"), total)]);
    assert!(slots_after(&all, 1) > 35.0);
}

#[test]
fn longer_requests_need_more_slots_at_the_same_rate() {
    let row = |running: f64| TotalDemand {
        running,
        sent: 20.0,
        unserved: 0.0,
        asked_fast: 20.0,
        asked_slow: 20.0,
        asked_long: 20.0,

        adapters: 0.0,
        idle: Some(Duration::ZERO),
    };
    let all = HashMap::from([(model("short"), row(4.0)), (model("long"), row(40.0))]);
    let slot_times = SlotTimes::of_fleet(&all);
    let slots = |name: &str| slots_wanted(&all[&model(name)], slot_times, Duration::ZERO);
    assert!(slots("long") > 4.0 * slots("short"));
}

/// Maps iterate in a different order each time, and the rounding of a sum depends on the order. The same demand must give
/// the same plan.
#[test]
fn same_demand_gives_the_same_forecast() {
    let totals = |_| {
        let demand = (1..=60_u8).map(|number| {
            let total = TotalDemand {
                running: 1.0 / f64::from(number),
                sent: 1.0 / f64::from(number + 7),
                asked_fast: 5.0,
                asked_slow: 5.0,
                ..TotalDemand::default()
            };
            (model(&format!("m{number}")), total)
        });
        slots_after(&demand.collect(), 2).to_bits()
    };
    let forecasts: Vec<u64> = (0..50).map(totals).collect();
    assert!(
        forecasts.windows(2).all(|pair| pair[0] == pair[1]),
        "{forecasts:?}"
    );
}
