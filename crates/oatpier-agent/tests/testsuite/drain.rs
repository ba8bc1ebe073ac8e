//! Attempts that run on draining weights are never interrupted.

use std::time::Duration;

use oatpier_wire::attempt::AttemptFrame;

use crate::attempt::last_frame;
use crate::fleet::Fleet;
use crate::shape::FleetShape;

const TWO_ENGINES: FleetShape = FleetShape {
    engines: 2,
    memory_mib: 2_000,
    checks_numbers: true,
    models: &["seats"],
};

/// The plan removes a model from an endpoint during an answer. An engine interrupts attempts on weights
/// that it unloads, so the unload must wait for the end of the answer. New attempts are refused
/// meanwhile, and may run at the other endpoint that holds the model.
#[tokio::test(start_paused = true)]
async fn an_unload_waits_for_running_attempts() {
    for checks_numbers in [true, false] {
        let shape = FleetShape {
            checks_numbers,
            ..TWO_ENGINES
        };
        let mut fleet = Fleet::start(shape, &["seats"]);
        fleet
            .until("the model is served", || fleet.serves(1, &["seats"]))
            .await;
        let running = fleet.attempt(1, "seats", 3_000);
        let mut frames = running.arrive().unwrap();
        let reading = tokio::spawn(async move { last_frame(&mut frames).await });
        fleet.plan(1, &[]);
        fleet.plan(2, &["seats"]);
        fleet
            .until("the model takes no new attempts", || fleet.serves(1, &[]))
            .await;
        let mut late = fleet.attempt(1, "seats", 5).arrive().unwrap();
        let refused = last_frame(&mut late).await.1;
        assert!(
            matches!(refused, AttemptFrame::Refused { .. }),
            "{refused:?}"
        );
        assert!(fleet.holds(1, &["seats"]));
        let (tokens, last) = {
            fleet
                .until("the answer has ended", || reading.is_finished())
                .await;
            reading.await.unwrap()
        };
        assert_eq!(tokens, 3_000);
        assert!(matches!(last, AttemptFrame::Ended { .. }), "{last:?}");
        fleet
            .until("the model is unloaded", || fleet.holds(1, &[]))
            .await;
        fleet.pass(Duration::from_secs(1)).await;
    }
}

/// The plan includes draining weights again. They take new attempts again and are not unloaded.
#[tokio::test(start_paused = true)]
async fn a_drain_ends_when_the_plan_includes_the_weights_again() {
    let mut fleet = Fleet::start(TWO_ENGINES, &["seats"]);
    fleet
        .until("the model is served", || fleet.serves(1, &["seats"]))
        .await;
    let mut frames = fleet.attempt(1, "seats", 3_000).arrive().unwrap();
    let reading = tokio::spawn(async move { last_frame(&mut frames).await });
    fleet.plan(1, &[]);
    fleet.plan(2, &["seats"]);
    fleet
        .until("the model takes no new attempts", || fleet.serves(1, &[]))
        .await;
    fleet.plan(1, &["seats"]);
    fleet
        .until("the model takes attempts again", || {
            fleet.serves(1, &["seats"])
        })
        .await;
    fleet
        .until("the answer has ended", || reading.is_finished())
        .await;
    let look = || assert!(fleet.holds(1, &["seats"]));
    fleet.watch(Duration::from_secs(10), look).await;
}
