//! Tests of how the rates of control messages depend on the size of the fleet.

use std::time::Duration;

use oatpier_serving::pacing::{self, StatusLifetime};

use crate::support::millis;

/// Messages per second at one process when `senders` send at an interval.
fn rate(senders: usize, interval: Duration) -> f64 {
    let senders = f64::from(u32::try_from(senders).unwrap());
    senders / interval.as_secs_f64()
}

/// Guards against messages that grow with the fleet, or with its square over all processes: at twice the fleet a
/// process may receive a tenth more at most.
#[test]
fn the_messages_that_a_process_receives_do_not_grow_with_the_fleet() {
    let received = |gateways: usize| {
        let (near, engines) = (gateways / 5, gateways * 7 / 4);
        let far = gateways - near;
        [
            rate(engines, pacing::load_interval(engines)),
            rate(engines, pacing::status_repeat_interval(engines)),
            rate(near, pacing::relay_interval(near)),
            rate(near, pacing::near_report_interval(near)),
            rate(far, pacing::far_report_interval(far)),
            rate(far, pacing::planner_report_interval(far)),
            rate(gateways, pacing::demand_report_interval(gateways)),
            rate(gateways, pacing::unserved_report_delay(gateways)),
        ]
    };
    for gateways in [600, 1_000, 3_500] {
        let pairs = received(gateways).into_iter().zip(received(2 * gateways));
        for (kind, (now, doubled)) in pairs.enumerate() {
            assert!(
                doubled <= now * 1.1,
                "kind {kind} at {gateways}: {now}, {doubled}"
            );
        }
    }
}

/// Guards against older knowledge in fleets that can bear the messages: 25 gateways in three zones before 93 engines.
#[test]
fn a_small_fleet_keeps_the_shortest_intervals() {
    assert_eq!(pacing::load_interval(93), millis(100));
    assert_eq!(pacing::heartbeat_interval(93), millis(800));
    assert_eq!(pacing::status_repeat_interval(93), millis(800));
    assert_eq!(pacing::relay_interval(9), millis(40));
    assert_eq!(pacing::near_report_interval(9), millis(750));
    assert_eq!(pacing::far_report_interval(16), millis(2_250));
    assert_eq!(pacing::planner_report_interval(16), millis(750));
    assert_eq!(pacing::demand_report_interval(25), millis(250));
    assert_eq!(pacing::unserved_report_delay(25), millis(40));
    let lifetime = StatusLifetime::new(93, 9);
    assert_eq!(lifetime.overdue_after, millis(1_000));
    assert_eq!(lifetime.expires_after, millis(1_500));
    assert_eq!(lifetime.max_transit, millis(400));
}

/// Guards against engines that count as silent, at any size of the fleet, because their updates are sent or forwarded more
/// rarely.
#[test]
fn a_status_counts_until_the_next_update_is_forwarded() {
    for gateways in [5, 100, 357, 1_000, 3_500] {
        let (zone_gateways, engines) = (gateways / 5, gateways * 7 / 4);
        let lifetime = StatusLifetime::new(engines, zone_gateways);
        let next = pacing::heartbeat_interval(engines) + pacing::relay_interval(zone_gateways);
        assert!(lifetime.overdue_after > next, "{lifetime:?}, {next:?}");
        assert!(lifetime.expires_after > lifetime.overdue_after);
        assert!(lifetime.max_transit > pacing::relay_interval(zone_gateways));
    }
}
