//! Number of retries that a gateway may send.

use std::time::Duration;

use oatpier_serving::budget::RetryAllowance;
use proptest::prelude::*;

use crate::support::{at, fixed_cases, service};

const RATIO: f64 = 0.2;
const SLACK: f64 = 56.0;
const WINDOW_MS: u64 = 10_000;

#[test]
fn without_requests_only_the_own_share_of_the_fixed_number_is_available() {
    let mut allowance = RetryAllowance::new(RATIO, SLACK, Duration::from_millis(WINDOW_MS));
    allowance.set_gateways(5);
    let taken = (0..1_000)
        .filter(|_| allowance.take(&service(), at(0)))
        .count();
    assert!((1..=11).contains(&taken), "{taken}");
}

proptest! {
    #![proptest_config(fixed_cases(128))]

    /// While endpoints fail, every gateway wants to retry every request. Gateways do not coordinate, so the limit over
    /// all of them must hold in any partition: in every window their retries stay within the fraction of the requests
    /// and the fixed number.
    #[test]
    fn all_gateways_together_stay_within_the_bound(
        gateways in 2_usize..8,
        gaps in prop::collection::vec(1_u64..60, 200..600),
    ) {
        let window = Duration::from_millis(WINDOW_MS);
        let mut allowances: Vec<RetryAllowance> = (0..gateways)
            .map(|_| RetryAllowance::new(RATIO, SLACK, window))
            .collect();
        for allowance in &mut allowances {
            allowance.set_gateways(gateways);
        }
        let mut now = 0;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (number, gap) in gaps.into_iter().enumerate() {
            now += gap;
            let allowance = &mut allowances[number % gateways];
            allowance.note_request(&service(), at(now));
            requests.push(now);
            for _ in 0..3 {
                if allowance.take(&service(), at(now)) {
                    retries.push(now);
                }
            }
        }
        for end in &retries {
            let begin = end.saturating_sub(WINDOW_MS);
            let within = |times: &[u64]| times.iter().filter(|time| (begin..=*end).contains(time)).count();
            #[expect(clippy::cast_precision_loss, reason = "counts of a few hundred")]
            let bound = RATIO * within(&requests) as f64 + SLACK;
            #[expect(clippy::cast_precision_loss, reason = "counts of a few hundred")]
            let sent = within(&retries) as f64;
            prop_assert!(sent <= bound, "{sent} retries exceed {bound}");
        }
    }
}
