//! Greetings of sidecars that are not heard.

use oatpier_serving::greetings::GreetingPaces;

use crate::support::{at, endpoint};

fn greeted(from_ms: u64, to_ms: u64, paces: &mut GreetingPaces) -> Vec<u64> {
    let ticks = (from_ms..to_ms).step_by(125);
    ticks
        .filter(|now| paces.is_due(&endpoint("e1"), at(*now)))
        .collect()
}

/// All processes start together, and a sidecar comes up a second or two after the gateways.
#[test]
fn a_sidecar_that_starts_late_is_greeted_each_eighth_of_a_second() {
    let mut paces = GreetingPaces::default();
    assert_eq!(greeted(0, 4_000, &mut paces).len(), 32);
}

/// An engine has no sidecar. Whoever goes on greeting it at full pace sends its VM as much as all others together.
#[test]
fn a_sidecar_that_never_answers_is_greeted_rarely() {
    let mut paces = GreetingPaces::default();
    greeted(0, 30_000, &mut paces);
    let later = greeted(30_000, 90_000, &mut paces);
    assert!(later.len() <= 13, "{later:?}");
    assert!(later.windows(2).all(|pair| pair[1] - pair[0] <= 5_125));
}

#[test]
fn a_sidecar_that_was_heard_again_is_greeted_at_once_when_it_falls_silent() {
    let mut paces = GreetingPaces::default();
    greeted(0, 60_000, &mut paces);
    paces.retain(|_| false);
    assert_eq!(greeted(60_000, 61_000, &mut paces).len(), 8);
}
