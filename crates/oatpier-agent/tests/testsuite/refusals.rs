//! Tests of what an agent takes for a refusal of the engine.

use oatpier_standin::engine::EngineFaults;
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::attempt::AttemptFrame;

use crate::attempt::{TestAttempt, last_frame};
use crate::requests::{runs, serving};

/// Sends an attempt and returns the verdict of its failure.
async fn failed_verdict(attempt: &TestAttempt) -> RunVerdict {
    let last = last_frame(&mut attempt.arrive().unwrap()).await.1;
    let AttemptFrame::Failed { verdict, .. } = last else {
        panic!("{last:?}");
    };
    verdict
}

/// An engine runs a request and fails with a status that refusals have too. If the status alone were taken for a
/// refusal, the entry would send an at-most-once request again, and free its idempotency key.
#[tokio::test(start_paused = true)]
async fn an_engine_error_after_a_run_is_no_refusal() {
    for fail_status in [404, 408, 421, 429, 503] {
        let fleet = serving().await;
        fleet.engine(1).set_faults(EngineFaults {
            fail_runs: 1,
            fail_status,
            ..EngineFaults::default()
        });
        let verdict = failed_verdict(&fleet.attempt(1, "seats", 5)).await;
        assert_eq!(runs(&fleet), 1, "{fail_status}");
        assert_eq!(verdict, RunVerdict::MayHaveRun, "{fail_status}");
    }
}

/// An engine refuses a request before it runs, and states so. The entry may send it to another engine.
#[tokio::test(start_paused = true)]
async fn an_engine_that_states_a_refusal_has_not_run_the_request() {
    let fleet = serving().await;
    let mut attempt = fleet.attempt(1, "seats", 5);
    "missing".clone_into(&mut attempt.model);
    assert_eq!(failed_verdict(&attempt).await, RunVerdict::NotRun);
    assert_eq!(runs(&fleet), 0);
}
