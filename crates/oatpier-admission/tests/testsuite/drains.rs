//! Planned stops and endpoints that go away.

use oatpier_admission::drain::DrainState;
use oatpier_admission::event::{AgentAction, AgentEvent};
use oatpier_types::refusal::RefusalCause;

use crate::bench::{AgentBench, refused, spec, started};

#[test]
fn leaving_agent_refuses_new_and_finishes_old_work() {
    // An endpoint is to leave while it works and entries go on sending, since their tables are
    // old. What runs is finished, what waits may go elsewhere at once, what comes is refused, and
    // the last end lets the agent exit, once.
    let mut bench = AgentBench::new(1);
    bench.arrive(spec(1));
    bench.arrive(spec(2));
    let leave = bench.step(AgentEvent::Leave);
    assert!(refused(2, RefusalCause::Leaving, &leave));
    assert!(!leave.contains(&AgentAction::Drained));
    assert!(refused(3, RefusalCause::Leaving, &bench.arrive(spec(3))));
    let now = bench.now;
    assert!(!bench.policy.queue_report(now).accepting);
    assert!(bench.end(1).contains(&AgentAction::Drained));
    assert!(bench.step(AgentEvent::Leave).is_empty());
    assert_eq!(bench.policy.drain_state(), DrainState::Drained);
    assert!(refused(4, RefusalCause::Leaving, &bench.arrive(spec(4))));
}

#[test]
fn idle_agent_drains_at_once() {
    let mut bench = AgentBench::new(1);
    let leave = bench.step(AgentEvent::Leave);
    assert_eq!(leave.as_slice(), [AgentAction::Drained]);
}

#[test]
fn endpoint_down_refuses_what_waits() {
    // The endpoint died. What waits for it would wait until its deadline.
    let mut bench = AgentBench::new(1);
    bench.arrive(spec(1));
    bench.arrive(spec(2));
    let down = bench.step(AgentEvent::EndpointUp { up: false });
    assert!(refused(2, RefusalCause::EndpointDown, &down));
    assert!(refused(
        3,
        RefusalCause::EndpointDown,
        &bench.arrive(spec(3))
    ));
    bench.step(AgentEvent::EndpointUp { up: true });
    bench.arrive(spec(4));
    assert_eq!(started(&bench.end(1)), [4]);
}
