//! Attempts whose weights are missing or still loading.

use std::time::Duration;

use oatpier_admission::event::{AgentEvent, LoadingWeights};
use oatpier_types::refusal::RefusalCause;

use crate::harness::{AgentHarness, model_spec, refused, started, weights};

fn loading(adapter: Option<&str>, millis: u64) -> LoadingWeights {
    LoadingWeights {
        weights: weights(adapter),
        ready_in: Duration::from_millis(millis),
    }
}

#[test]
fn missing_weights_are_refused() {
    // An entry with an outdated table sends work for a model that was moved to another endpoint. If
    // the agent sent it on, the engine would answer with an error, or with another model.
    let mut harness = AgentHarness::new(1);
    let missing = harness.arrive(model_spec(1, None));
    assert!(refused(1, RefusalCause::WeightsMissing, &missing));
    let ready = vec![weights(None)];
    harness.step(AgentEvent::WeightsChanged {
        ready,
        loading: Vec::new(),
    });
    assert_eq!(started(&harness.arrive(model_spec(2, None))), [2]);
    let adapter = harness.arrive(model_spec(3, Some("hall")));
    assert!(refused(3, RefusalCause::WeightsMissing, &adapter));
}

#[test]
fn adapter_without_its_base_is_not_ready() {
    let mut harness = AgentHarness::new(1);
    let ready = vec![weights(Some("hall"))];
    harness.step(AgentEvent::WeightsChanged {
        ready,
        loading: Vec::new(),
    });
    let adapter = harness.arrive(model_spec(1, Some("hall")));
    assert!(refused(1, RefusalCause::WeightsMissing, &adapter));
}

#[test]
fn attempt_waits_for_weights_that_come_in_time() {
    // A load ends in 2 s. An attempt with 10 s left may wait for it, one with 1 s may not. An
    // attempt whose weights are ready must not wait behind the first.
    let mut harness = AgentHarness::new(2);
    let ready = vec![weights(None)];
    harness.step(AgentEvent::WeightsChanged {
        ready: ready.clone(),
        loading: vec![loading(Some("hall"), 2_000)],
    });
    assert!(harness.arrive(model_spec(1, Some("hall"))).is_empty());
    let mut short = model_spec(2, Some("hall"));
    short.remaining = Duration::from_secs(1);
    assert!(refused(
        2,
        RefusalCause::WeightsMissing,
        &harness.arrive(short)
    ));
    assert_eq!(started(&harness.arrive(model_spec(3, None))), [3]);
    harness.wait(1_500);
    let ready = vec![weights(None), weights(Some("hall"))];
    let loaded = harness.step(AgentEvent::WeightsChanged {
        ready,
        loading: Vec::new(),
    });
    assert_eq!(started(&loaded), [1]);
}

#[test]
fn waiting_attempt_whose_load_failed_is_refused() {
    let mut harness = AgentHarness::new(1);
    harness.step(AgentEvent::WeightsChanged {
        ready: Vec::new(),
        loading: vec![loading(None, 2_000)],
    });
    assert!(harness.arrive(model_spec(1, None)).is_empty());
    let failed = harness.step(AgentEvent::WeightsChanged {
        ready: Vec::new(),
        loading: Vec::new(),
    });
    assert!(refused(1, RefusalCause::WeightsMissing, &failed));
}
