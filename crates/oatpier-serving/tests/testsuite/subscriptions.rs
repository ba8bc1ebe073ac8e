//! Tests of the intervals between subscriptions to sidecars that send no updates.

use oatpier_serving::subscriptions::SubscriptionSchedule;

use crate::support::{at, endpoint};

fn subscription_times(from_ms: u64, to_ms: u64, schedule: &mut SubscriptionSchedule) -> Vec<u64> {
    let ticks = (from_ms..to_ms).step_by(125);
    ticks
        .filter(|now| schedule.is_due(&endpoint("e1"), at(*now)))
        .collect()
}

/// All processes start together, and a sidecar is ready one or two seconds after the gateways.
#[test]
fn sidecar_that_starts_late_is_sent_eight_subscriptions_a_second() {
    let mut schedule = SubscriptionSchedule::default();
    assert_eq!(subscription_times(0, 4_000, &mut schedule).len(), 32);
}

/// An engine has no sidecar. Subscriptions at the initial rate would be as much traffic to its VM as all other
/// messages together.
#[test]
fn sidecar_that_never_answers_is_rarely_sent_subscriptions() {
    let mut schedule = SubscriptionSchedule::default();
    subscription_times(0, 30_000, &mut schedule);
    let later = subscription_times(30_000, 90_000, &mut schedule);
    assert!(later.len() <= 13, "{later:?}");
    assert!(later.windows(2).all(|pair| pair[1] - pair[0] <= 5_125));
}

#[test]
fn recovered_sidecar_is_sent_subscriptions_at_the_initial_rate_when_it_falls_silent() {
    let mut schedule = SubscriptionSchedule::default();
    subscription_times(0, 60_000, &mut schedule);
    schedule.retain(|_| false);
    assert_eq!(subscription_times(60_000, 61_000, &mut schedule).len(), 8);
}
