//! Graceful shutdown and unreachable endpoints.

use oatpier_admission::drain::DrainState;
use oatpier_admission::event::{AgentAction, AgentEvent};
use oatpier_types::refusal::RefusalCause;

use crate::harness::{AgentHarness, refused, spec, started};

#[test]
fn leaving_agent_refuses_new_and_finishes_old_work() {
    // An endpoint starts to leave while it works, and entries with outdated state go on sending.
    // Running attempts are finished, waiting ones are refused at once so that they can go
    // elsewhere, new ones are refused, and the last end lets the agent exit, exactly once.
    let mut harness = AgentHarness::new(1);
    harness.arrive(spec(1));
    harness.arrive(spec(2));
    let leave = harness.step(AgentEvent::Leave);
    assert!(refused(2, RefusalCause::Leaving, &leave));
    assert!(!leave.contains(&AgentAction::Drained));
    assert!(refused(3, RefusalCause::Leaving, &harness.arrive(spec(3))));
    let now = harness.now;
    assert!(!harness.policy.queue_report(now).accepting);
    assert!(harness.end(1).contains(&AgentAction::Drained));
    assert!(harness.step(AgentEvent::Leave).is_empty());
    assert_eq!(harness.policy.drain_state(), DrainState::Drained);
    assert!(refused(4, RefusalCause::Leaving, &harness.arrive(spec(4))));
}

#[test]
fn idle_agent_drains_at_once() {
    let mut harness = AgentHarness::new(1);
    let leave = harness.step(AgentEvent::Leave);
    assert_eq!(leave.as_slice(), [AgentAction::Drained]);
}

#[test]
fn endpoint_down_refuses_what_waits() {
    // The endpoint went down. Attempts that stay in its queue would wait until their deadline.
    let mut harness = AgentHarness::new(1);
    harness.arrive(spec(1));
    harness.arrive(spec(2));
    let down = harness.step(AgentEvent::EndpointUp { up: false });
    assert!(refused(2, RefusalCause::EndpointDown, &down));
    assert!(refused(
        3,
        RefusalCause::EndpointDown,
        &harness.arrive(spec(3))
    ));
    harness.step(AgentEvent::EndpointUp { up: true });
    harness.arrive(spec(4));
    assert_eq!(started(&harness.end(1)), [4]);
}
