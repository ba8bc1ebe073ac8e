//! Which endpoint gets a request.

use oatpier_serving::choice::{self, ChoiceOutcome, ChoiceQuery, VersionPin};
use oatpier_serving::directory::{EndpointDirectory, RequestOutcome};
use oatpier_serving::prefill::SentPrompt;
use oatpier_types::names::EndpointName;

use crate::support::{
    SLOTS, adapter, at, directory, endpoint, engine_rule, held, millis, record, request, service,
    status, zone,
};

fn choose(
    directory: &EndpointDirectory,
    weights: &str,
    excluded: &[EndpointName],
) -> ChoiceOutcome {
    let query = ChoiceQuery {
        service: &service(),
        request: &request(weights),
        zone: &zone("near"),
        excluded,
        pin: &VersionPin::Any,
        engine: Some(&engine_rule(&["m1", "m2"])),
        max_turn_wait: millis(0),
        stream: None,
    };
    choice::choose(directory, &query, at(100))
}

fn chosen_endpoint(directory: &EndpointDirectory, weights: &str) -> String {
    match choose(directory, weights, &[]) {
        ChoiceOutcome::Endpoint(choice) => choice.endpoint.to_string(),
        other => panic!("no endpoint was chosen: {other:?}"),
    }
}

#[test]
fn less_busy_holder_is_selected() {
    let directory = directory(&[(&["m1"], 8), (&["m1"], 2), (&["m2"], 0)], at(0));
    assert_eq!(chosen_endpoint(&directory, "m1"), "e2");
}

#[test]
fn missing_model_differs_from_a_service_without_endpoints() {
    let directory = directory(&[(&["m2"], 0)], at(0));
    assert_eq!(
        choose(&directory, "m1", &[]),
        ChoiceOutcome::NoModel {
            ready_in: None,
            load: Some(millis(2_000)),
        }
    );
    assert_eq!(
        choose(&EndpointDirectory::default(), "m1", &[]),
        ChoiceOutcome::NoEndpoint
    );
}

/// Callers of a model that is being loaded are told when to return, or wait. Its engine began a load of two
/// seconds 90 ms ago.
#[test]
fn model_being_loaded_is_reported_with_its_remaining_time() {
    let mut directory = directory(&[(&["m2"], 0)], at(0));
    let mut loading = status(1, &["m2"], 0);
    loading.number.number = 2;
    loading.loading = Some(crate::support::model("m1"));
    directory.apply_status(loading, at(10));
    assert_eq!(
        choose(&directory, "m1", &[]),
        ChoiceOutcome::NoModel {
            ready_in: Some(millis(1_910)),
            load: Some(millis(2_000)),
        }
    );
}

/// The engine waits for the streams of another model to end before it loads. The duration of that wait is
/// unknown, and the load has not begun.
#[test]
fn load_that_waits_for_streams_takes_longer_than_its_load_time() {
    let mut directory = directory(&[(&["m2"], 3)], at(0));
    let mut draining = status(1, &["m2"], 3);
    draining.number.number = 2;
    draining.loading = Some(crate::support::model("m1"));
    draining.retiring = vec![crate::support::model("m2")];
    directory.apply_status(draining, at(10));
    let ChoiceOutcome::NoModel {
        ready_in: Some(ready_in),
        ..
    } = choose(&directory, "m1", &[])
    else {
        panic!("the load is known");
    };
    assert!(ready_in > millis(2_000));
}

/// One engine has 300 ms of prefill work ahead, the other one has none. Their batches are equal. The prompt
/// goes to the engine that can prefill it at once.
#[test]
fn engine_with_less_prefill_work_is_preferred() {
    let mut directory = directory(&[(&["m1"], 3), (&["m1"], 3)], at(0));
    directory.note_permit_wait(&endpoint("e1"), millis(300));
    assert_eq!(chosen_endpoint(&directory, "m1"), "e2");
    directory.note_permit_wait_end(&endpoint("e1"), millis(300));
    directory.note_permit_wait(&endpoint("e2"), millis(300));
    assert_eq!(chosen_endpoint(&directory, "m1"), "e1");
}

/// A model that its engine is about to unload gets no new requests, because the engine would refuse them
/// while it waits for the running ones. The caller sees no refusal.
#[test]
fn retiring_model_gets_no_new_requests() {
    let mut directory = directory(&[(&["m1"], 0), (&["m1"], 5)], at(0));
    let mut retiring = status(1, &["m1"], 0);
    retiring.number.number = 2;
    retiring.retiring = vec![crate::support::model("m1")];
    directory.apply_status(retiring, at(10));
    assert_eq!(chosen_endpoint(&directory, "m1"), "e2");
}

#[test]
fn endpoint_that_was_sent_the_request_is_excluded() {
    let directory = directory(&[(&["m1"], 0), (&["m1"], 5)], at(0));
    let outcome = choose(&directory, "m1", &[endpoint("e1")]);
    assert!(
        matches!(outcome, ChoiceOutcome::Endpoint(choice) if choice.endpoint == endpoint("e2"))
    );
}

#[test]
fn ready_adapter_is_preferred_to_a_free_slot() {
    let mut directory = directory(&[(&["m1"], 1), (&["m1"], 2)], at(0));
    let mut ready = status(2, &[], 2);
    ready.number.number = 2;
    ready.models = vec![held("m1", &["a1"])];
    directory.apply_status(ready, at(10));
    assert_eq!(chosen_endpoint(&directory, "m1/a1"), "e2");
}

/// All adapter slots of the first engine are used by streams, and a request would wait for one of them to
/// end. The other engine is busier but has a free slot.
#[test]
fn engine_with_a_free_adapter_slot_is_preferred() {
    let mut directory = directory(&[(&["m1"], 1), (&["m1"], 6)], at(0));
    let mut full = status(1, &["m1"], 1);
    full.number.number = 2;
    full.adapter_room = 0;
    directory.apply_status(full, at(10));
    assert_eq!(chosen_endpoint(&directory, "m1/a1"), "e2");
}

#[test]
fn own_availability_zone_is_preferred_unless_much_busier() {
    let mut far = record(2, &["m1"]);
    far.zone = zone("far");
    let mut directory = EndpointDirectory::default();
    directory.apply_registry(vec![record(1, &["m1"]), far], at(0));
    directory.apply_status(status(1, &["m1"], 1), at(0));
    directory.apply_status(status(2, &["m1"], 0), at(0));
    assert_eq!(chosen_endpoint(&directory, "m1"), "e1");
    let mut busy = status(1, &["m1"], SLOTS);
    busy.number.number = 2;
    directory.apply_status(busy, at(10));
    assert_eq!(chosen_endpoint(&directory, "m1"), "e2");
}

#[test]
fn engine_with_a_cached_prefix_is_preferred_among_equals() {
    let mut directory = directory(&[(&["m1"], 2), (&["m1"], 2)], at(0));
    learn_prefill(&mut directory, "e1");
    let chain = choice::prefix_chain(&request("m1"));
    directory.note_cached_prompt(&endpoint("e2"), &chain, at(50));
    assert_eq!(chosen_endpoint(&directory, "m1"), "e2");
}

/// Lets an engine prefill some prompts at 0.05 ms per token.
fn learn_prefill(directory: &mut EndpointDirectory, name: &str) {
    let weights = request("m1").weights.unwrap();
    for _ in 0..20 {
        let prompt = directory.note_prefill(&endpoint(name), &weights, 400.0, at(0));
        directory.note_first_chunk(&endpoint(name), Some(&weights), &prompt, millis(20), at(10));
        directory.note_prefill_end(&endpoint(name), &prompt);
    }
}

/// Callers get errors from an engine whose health check succeeds: it fails some of its requests and serves
/// the others, so that failures are not consecutive. It gets fewer requests in proportion to its share of
/// failures, and gets more again after some time without requests.
#[test]
fn partially_failing_engine_is_avoided_temporarily() {
    let mut directory = directory(&[(&["m1"], 0), (&["m1"], 4)], at(0));
    for number in 0..12_u64 {
        let outcome = if number % 2 == 0 {
            RequestOutcome::Broken
        } else {
            RequestOutcome::Whole {
                held: crate::support::millis(300),
            }
        };
        directory.note_sent(&endpoint("e1"), None);
        directory.note_end(
            &endpoint("e1"),
            None,
            &SentPrompt::default(),
            outcome,
            at(number),
        );
    }
    assert_eq!(chosen_endpoint(&directory, "m1"), "e2");
    let row = directory.row(&endpoint("e1")).unwrap();
    assert!(row.failure_share(at(100)) > 0.25);
    assert!(row.failure_share(at(10_000)) < 0.02);
}

#[test]
fn used_adapter_is_reported_until_its_requests_end() {
    let mut directory = directory(&[(&["m1"], 0)], at(0));
    let weights = request("m1/a1").weights.unwrap();
    let name = endpoint("e1");
    directory.note_sent(&name, Some(&weights));
    let used = directory.take_used_adapters(&name);
    assert_eq!(used.len(), 1);
    assert_eq!(
        (used[0].key.clone(), used[0].requests),
        (adapter("m1", "a1"), 1)
    );
    directory.note_end(
        &name,
        Some(&weights),
        &SentPrompt::default(),
        RequestOutcome::Abandoned,
        at(10),
    );
    assert_eq!(directory.take_used_adapters(&name)[0].requests, 0);
    assert!(directory.take_used_adapters(&name).is_empty());
}

/// A VM freezes with its engine and its sidecar. Requests that are sent there are lost, and the last known
/// load of the engine is low. Its sidecar is overdue, so the other holder is selected although it is
/// busier.
#[test]
fn engine_with_an_overdue_sidecar_is_avoided() {
    let mut directory = directory(&[(&["m1"], 0), (&["m1"], 6)], at(0));
    let mut later_status = status(2, &["m1"], 6);
    later_status.number.number = 2;
    directory.apply_status(later_status, at(1_100));
    let query = ChoiceQuery {
        service: &service(),
        request: &request("m1"),
        zone: &zone("near"),
        excluded: &[],
        pin: &VersionPin::Any,
        engine: None,
        max_turn_wait: millis(0),
        stream: None,
    };
    let ChoiceOutcome::Endpoint(choice) = choice::choose(&directory, &query, at(1_200)) else {
        panic!("an endpoint is there");
    };
    assert_eq!(choice.endpoint, endpoint("e2"));
}

/// An engine that unloads and loads models accepts no order for an adapter for seconds. A request that
/// needs an adapter there would wait until it is refused. The busier holder loads the adapter within a few
/// milliseconds.
#[test]
fn adapter_request_avoids_an_engine_that_changes_models() {
    let mut directory = directory(&[(&["m1"], 0), (&["m1"], 5)], at(0));
    let mut changing = status(1, &["m1"], 0);
    changing.number.number = 2;
    changing.loading = Some(crate::support::model("m2"));
    directory.apply_status(changing, at(10));
    assert_eq!(chosen_endpoint(&directory, "m1/a1"), "e2");
    assert_eq!(chosen_endpoint(&directory, "m1"), "e1");
}

/// All engines were restarted and are empty, and one of them has the model on its disk. Callers are told to
/// expect half a second, not the duration of a load from the weight store.
#[test]
fn load_time_is_that_of_the_engine_with_the_fastest_copy() {
    let mut directory = directory(&[(&[], 0), (&[], 0)], at(0));
    let mut restarted = status(2, &[], 0);
    restarted.number.number = 2;
    restarted.copies.on_disk = vec![crate::support::model("m1")];
    directory.apply_status(restarted, at(10));
    assert_eq!(
        choose(&directory, "m1", &[]),
        ChoiceOutcome::NoModel {
            ready_in: None,
            load: Some(millis(500)),
        }
    );
}
