//! Seals: cancels of attempts that have not reached the endpoint.

use oatpier_admission::event::AgentAction;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;

use crate::harness::{AgentHarness, cancelled, refused, spec, started};

#[test]
fn seal_does_not_cancel_a_running_change() {
    // An entry has received nothing about a change for a while and sends a seal. The change is
    // running; if it were cancelled at the endpoint, it might stay half done. It must continue, and
    // the entry must be answered "may have run".
    let mut harness = AgentHarness::new(1);
    assert_eq!(started(&harness.arrive(spec(1))), [1]);
    let actions = harness.seal(1);
    assert_eq!(cancelled(&actions), Some(RunVerdict::MayHaveRun));
    let stopped = |action: &AgentAction| matches!(action, AgentAction::CancelAtEndpoint { .. });
    assert!(!actions.iter().any(stopped), "{actions:?}");
    harness.end(1);
    assert_eq!(cancelled(&harness.seal(1)), Some(RunVerdict::Ran));
}

#[test]
fn sealed_waiting_change_never_runs() {
    // A change waits; its entry seals it and sends it to another agent. It must not run here as
    // well when a slot is freed or a late copy arrives.
    let mut harness = AgentHarness::new(1);
    harness.arrive(spec(1));
    harness.arrive(spec(2));
    assert_eq!(cancelled(&harness.seal(2)), Some(RunVerdict::NotRun));
    assert!(started(&harness.end(1)).is_empty());
    assert!(refused(2, RefusalCause::GivenUp, &harness.arrive(spec(2))));
}

#[test]
fn attempt_that_arrives_after_its_seal_is_refused() {
    // The seal arrives before the attempt. Its answer "not run" stays true only if the attempt is
    // then refused.
    let mut harness = AgentHarness::new(1);
    assert_eq!(cancelled(&harness.seal(1)), Some(RunVerdict::NotRun));
    assert!(refused(1, RefusalCause::GivenUp, &harness.arrive(spec(1))));
}
