//! Tests of the failure share of engines that lose a part of their requests.

use oatpier_serving::choice::{self, ChoiceOutcome, ChoiceQuery, VersionPin};
use oatpier_serving::failures::{EngineFailure, FailureCount};
use oatpier_serving::message::{EngineStatus, MessageNumber};

use crate::support::{at, directory, engine_rule, request, service, status, zone};

/// An engine receives twenty requests per second and loses a fifth of its responses from second 2 to second
/// 6.
#[test]
fn failure_share_rises_within_a_second_and_decays_within_six() {
    let mut count = FailureCount::default();
    let mut shown = Vec::new();
    for number in 0..240_u64 {
        let now = at(number * 50);
        count.note_request(now);
        let is_bad = (40..120).contains(&number);
        if is_bad && number.is_multiple_of(5) {
            count.note_failure(EngineFailure::Broken, now);
        }
        shown.push(count.share_percent(now));
    }
    assert_eq!(shown[39], 0);
    assert!(shown[60] >= 5, "{}", shown[60]);
    assert!((10..=20).contains(&shown[119]), "{}", shown[119]);
    assert_eq!(shown[239], 0);
}

#[test]
fn single_failure_of_an_idle_engine_has_little_weight() {
    let mut count = FailureCount::default();
    count.note_request(at(0));
    count.note_failure(EngineFailure::Broken, at(0));
    assert!(count.share_percent(at(0)) <= 10);
}

/// Two engines hold the model, and one of them loses a fifth of its responses, none of which were to this
/// gateway. The request goes to the other engine, unless that one is so full that the request would be
/// late.
#[test]
fn engine_that_fails_requests_of_other_gateways_is_avoided() {
    let chosen = |losing_percent: u8, other_running: u32| {
        let mut directory = directory(&[(&["m1"], 2), (&["m1"], other_running)], at(0));
        let update = EngineStatus {
            number: MessageNumber { boot: 1, number: 2 },
            failing_percent: losing_percent,
            ..status(1, &["m1"], 2)
        };
        directory.apply_status(update, at(10));
        let outcome = choice::choose(
            &directory,
            &ChoiceQuery {
                service: &service(),
                request: &request("m1"),
                zone: &zone("near"),
                excluded: &[],
                pin: &VersionPin::Any,
                engine: Some(&engine_rule(&["m1"])),
                max_turn_wait: std::time::Duration::ZERO,
                stream: None,
            },
            at(100),
        );
        match outcome {
            ChoiceOutcome::Endpoint(choice) => choice.endpoint.to_string(),
            other => panic!("no endpoint was chosen: {other:?}"),
        }
    };
    assert_eq!(chosen(0, 6), "e1");
    assert_eq!(chosen(20, 6), "e2");
    assert_eq!(chosen(20, 14), "e1");
}
