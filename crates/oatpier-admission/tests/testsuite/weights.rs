//! Attempts for weights that are not there, or not yet.

use std::time::Duration;

use oatpier_admission::event::{AgentEvent, LoadingWeights};
use oatpier_types::refusal::RefusalCause;

use crate::bench::{AgentBench, model_spec, refused, started, weights};

fn loading(adapter: Option<&str>, millis: u64) -> LoadingWeights {
    LoadingWeights {
        weights: weights(adapter),
        ready_in: Duration::from_millis(millis),
    }
}

#[test]
fn missing_weights_are_refused() {
    // An entry's table is old, and it sends work for a model that was moved away. Sent on, the
    // engine would answer with an error, or with another model.
    let mut bench = AgentBench::new(1);
    let missing = bench.arrive(model_spec(1, None));
    assert!(refused(1, RefusalCause::WeightsMissing, &missing));
    let ready = vec![weights(None)];
    bench.step(AgentEvent::ReadyChanged {
        ready,
        loading: Vec::new(),
    });
    assert_eq!(started(&bench.arrive(model_spec(2, None))), [2]);
    let adapter = bench.arrive(model_spec(3, Some("hall")));
    assert!(refused(3, RefusalCause::WeightsMissing, &adapter));
}

#[test]
fn adapter_without_its_base_is_not_ready() {
    let mut bench = AgentBench::new(1);
    let ready = vec![weights(Some("hall"))];
    bench.step(AgentEvent::ReadyChanged {
        ready,
        loading: Vec::new(),
    });
    let adapter = bench.arrive(model_spec(1, Some("hall")));
    assert!(refused(1, RefusalCause::WeightsMissing, &adapter));
}

#[test]
fn attempt_waits_for_weights_that_come_in_time() {
    // A load ends in 2 s. An attempt with 10 s left may wait for it, one with 1 s may not, and
    // one for weights that are there must not wait behind the first.
    let mut bench = AgentBench::new(2);
    let ready = vec![weights(None)];
    bench.step(AgentEvent::ReadyChanged {
        ready: ready.clone(),
        loading: vec![loading(Some("hall"), 2_000)],
    });
    assert!(bench.arrive(model_spec(1, Some("hall"))).is_empty());
    let mut short = model_spec(2, Some("hall"));
    short.remaining = Duration::from_secs(1);
    assert!(refused(
        2,
        RefusalCause::WeightsMissing,
        &bench.arrive(short)
    ));
    assert_eq!(started(&bench.arrive(model_spec(3, None))), [3]);
    bench.wait(1_500);
    let ready = vec![weights(None), weights(Some("hall"))];
    let loaded = bench.step(AgentEvent::ReadyChanged {
        ready,
        loading: Vec::new(),
    });
    assert_eq!(started(&loaded), [1]);
}

#[test]
fn waiting_attempt_whose_load_failed_is_refused() {
    let mut bench = AgentBench::new(1);
    bench.step(AgentEvent::ReadyChanged {
        ready: Vec::new(),
        loading: vec![loading(None, 2_000)],
    });
    assert!(bench.arrive(model_spec(1, None)).is_empty());
    let failed = bench.step(AgentEvent::ReadyChanged {
        ready: Vec::new(),
        loading: Vec::new(),
    });
    assert!(refused(1, RefusalCause::WeightsMissing, &failed));
}
