//! Cost of claims to the store at the design load. All figures are counted, none is timed.

use std::time::Duration;

use oatpier_claims::event::ClaimSettings;
use oatpier_claims::message::KeyHash;
use oatpier_types::verdict::RunVerdict;

use crate::fleet::ClaimFleet;

/// 8,500 requests per second, one in twenty with a key, over 8 partitions: one query per 19 ms.
const ASK_INTERVAL: Duration = Duration::from_millis(19);

/// Bounds of one claimer, per second.
const MAX_WRITES: f64 = 16.0;
const MAX_BYTES: f64 = 23_000.0;

#[test]
fn claimer_stays_within_its_write_limits() {
    // The store accepts several hundred writes per second, and a process may spend 23 KB per second
    // on control traffic. Writing each claim separately would use up all of the store's writes.
    let settings = ClaimSettings {
        retention: Duration::from_secs(20),
        ..ClaimSettings::default()
    };
    let mut fleet = ClaimFleet::new(1, settings);
    let start = fleet.now;
    for number in 0..3_000_u128 {
        let request = fleet.ask(0, KeyHash((number << 64) | number));
        fleet.run(0, ASK_INTERVAL);
        if number >= 20 {
            let earlier = oatpier_types::ids::RequestId(request.0 - 20);
            fleet.finish(0, earlier, RunVerdict::Ran);
        }
    }
    fleet.run(0, Duration::from_secs(2));
    let seconds = fleet.now.since(start).as_secs_f64();
    let counters = fleet.log(0).counters();
    let writes = f64::from(u32::try_from(counters.writes).unwrap()) / seconds;
    let bytes = f64::from(u32::try_from(counters.bytes_written).unwrap()) / seconds;
    println!("{counters:?}: {writes:.1} writes/s, {bytes:.0} bytes/s");
    assert_eq!(counters.granted, 3_000);
    assert!(writes < MAX_WRITES, "{writes:.1} writes a second");
    assert!(bytes < MAX_BYTES, "{bytes:.0} bytes a second");
    assert!(fleet.store.largest_value < 8_192);
}
