//! Giving up only what has not reached the endpoint.

use oatpier_admission::event::AgentAction;
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;

use crate::bench::{AgentBench, cancelled, refused, spec, started};

#[test]
fn a_running_change_is_left_to_its_end() {
    // An entry hears nothing of a change for a while and asks for a seal. The change runs: were it
    // cancelled at the endpoint, it might stay half done. It goes on, and the entry is told so.
    let mut bench = AgentBench::new(1);
    assert_eq!(started(&bench.arrive(spec(1))), [1]);
    let actions = bench.seal(1);
    assert_eq!(cancelled(&actions), Some(RunVerdict::MayHaveRun));
    let stopped = |action: &AgentAction| matches!(action, AgentAction::CancelAtEndpoint { .. });
    assert!(!actions.iter().any(stopped), "{actions:?}");
    bench.end(1);
    assert_eq!(cancelled(&bench.seal(1)), Some(RunVerdict::Ran));
}

#[test]
fn a_waiting_change_never_runs_once_sealed() {
    // A change waits, its entry seals it and sends it elsewhere. When the slot is free, or a copy
    // comes late, it must not run here as well.
    let mut bench = AgentBench::new(1);
    bench.arrive(spec(1));
    bench.arrive(spec(2));
    assert_eq!(cancelled(&bench.seal(2)), Some(RunVerdict::NotRun));
    assert!(started(&bench.end(1)).is_empty());
    assert!(refused(2, RefusalCause::GivenUp, &bench.arrive(spec(2))));
}

#[test]
fn a_seal_overtakes_its_attempt() {
    // The seal comes before the attempt: "not run" is true only if the attempt is then refused.
    let mut bench = AgentBench::new(1);
    assert_eq!(cancelled(&bench.seal(1)), Some(RunVerdict::NotRun));
    assert!(refused(1, RefusalCause::GivenUp, &bench.arrive(spec(1))));
}
