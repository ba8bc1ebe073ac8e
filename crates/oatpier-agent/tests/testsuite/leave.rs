//! Tests of planned stops of an agent.

use std::time::Duration;

use oatpier_duty::duty::StopPhase;
use oatpier_types::refusal::RefusalCause;
use oatpier_wire::attempt::AttemptFrame;

use crate::attempt::last_frame;
use crate::fleet::Fleet;
use crate::shape::FleetShape;

const ONE_ENGINE: FleetShape = FleetShape {
    engines: 1,
    memory_mib: 2_000,
    checks_numbers: true,
    models: &["seats", "tables"],
};

/// An agent must stop while two attempts run at its engine and one is queued. New attempts and the
/// queued one are refused, and the engine runs none of them. The two running attempts complete, and
/// only then the process ends.
#[tokio::test(start_paused = true)]
async fn a_leaving_agent_finishes_running_attempts_and_refuses_others() {
    let fleet = Fleet::start(ONE_ENGINE, &["seats"]);
    fleet
        .until("the model is served", || fleet.serves(1, &["seats"]))
        .await;
    let mut running: Vec<_> = (0..2)
        .map(|_| fleet.attempt(1, "seats", 1_000).arrive().unwrap())
        .collect();
    let mut waiting = fleet.attempt(1, "seats", 5).arrive().unwrap();
    fleet.agent(1).stop.advance(StopPhase::Draining);
    fleet.pass(Duration::from_millis(20)).await;
    let mut late = fleet.attempt(1, "seats", 5).arrive().unwrap();
    for frames in [&mut waiting, &mut late] {
        let last = last_frame(frames).await.1;
        let AttemptFrame::Refused { refusal, report } = last else {
            panic!("{last:?}");
        };
        assert_eq!(refusal.cause, RefusalCause::Leaving);
        assert!(!report.accepting);
    }
    assert_eq!(fleet.agent(1).stop.phase(), StopPhase::Draining);
    for frames in &mut running {
        let (tokens, last) = last_frame(frames).await;
        assert_eq!(tokens, 1_000);
        assert!(matches!(last, AttemptFrame::Ended { .. }));
    }
    tokio::task::yield_now().await;
    assert_eq!(fleet.agent(1).stop.phase(), StopPhase::Ended);
    let runs = fleet.engine(1).with_core(|core, _| core.runs().len());
    assert_eq!(runs, 2);
}

/// A leaving agent starts no move: its end would interrupt a load.
#[tokio::test(start_paused = true)]
async fn a_leaving_agent_starts_no_move() {
    let mut fleet = Fleet::start(ONE_ENGINE, &["seats"]);
    fleet
        .until("the model is served", || fleet.serves(1, &["seats"]))
        .await;
    let mut frames = fleet.attempt(1, "seats", 2_000).arrive().unwrap();
    let reading = tokio::spawn(async move { last_frame(&mut frames).await });
    fleet.agent(1).stop.advance(StopPhase::Draining);
    fleet.plan(1, &["seats", "tables"]);
    fleet
        .until("the answer has ended", || reading.is_finished())
        .await;
    fleet.pass(Duration::from_secs(10)).await;
    assert!(fleet.holds(1, &["seats"]));
}
