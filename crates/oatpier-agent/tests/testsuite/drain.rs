//! What runs on weights that are to go is never cut off.

use std::time::Duration;

use oatpier_wire::attempt::AttemptFrame;

use crate::attempt::last_frame;
use crate::fleet::Fleet;
use crate::shape::FleetShape;

const PAIR: FleetShape = FleetShape {
    engines: 2,
    memory_mib: 2_000,
    checks_numbers: true,
    models: &["seats"],
};

/// An answer is half-way when the plan no longer wants its model here. An engine cuts what runs
/// on weights that it unloads, so the unload waits for the answer's end; what is new is refused
/// meanwhile, and may run at the other holder.
#[tokio::test(start_paused = true)]
async fn an_unload_waits_for_what_runs() {
    for checks_numbers in [true, false] {
        let shape = FleetShape {
            checks_numbers,
            ..PAIR
        };
        let mut fleet = Fleet::start(shape, &["seats"]);
        fleet
            .until("it is served", || fleet.serves(1, &["seats"]))
            .await;
        let running = fleet.attempt(1, "seats", 3_000);
        let mut frames = running.arrive().unwrap();
        let reading = tokio::spawn(async move { last_frame(&mut frames).await });
        fleet.plan(1, &[]);
        fleet.plan(2, &["seats"]);
        fleet
            .until("it takes no new attempts", || fleet.serves(1, &[]))
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
                .until("the answer is over", || reading.is_finished())
                .await;
            reading.await.unwrap()
        };
        assert_eq!(tokens, 3_000);
        assert!(matches!(last, AttemptFrame::Ended { .. }), "{last:?}");
        fleet.until("it is unloaded", || fleet.holds(1, &[])).await;
        fleet.pass(Duration::from_secs(1)).await;
    }
}

/// The plan wants weights back that drain: they take attempts again, and stay.
#[tokio::test(start_paused = true)]
async fn a_drain_ends_when_the_plan_wants_the_weights_back() {
    let mut fleet = Fleet::start(PAIR, &["seats"]);
    fleet
        .until("it is served", || fleet.serves(1, &["seats"]))
        .await;
    let mut frames = fleet.attempt(1, "seats", 3_000).arrive().unwrap();
    let reading = tokio::spawn(async move { last_frame(&mut frames).await });
    fleet.plan(1, &[]);
    fleet.plan(2, &["seats"]);
    fleet
        .until("it takes no new attempts", || fleet.serves(1, &[]))
        .await;
    fleet.plan(1, &["seats"]);
    fleet
        .until("it takes attempts again", || fleet.serves(1, &["seats"]))
        .await;
    fleet
        .until("the answer is over", || reading.is_finished())
        .await;
    let look = || assert!(fleet.holds(1, &["seats"]));
    fleet.watch(Duration::from_secs(10), look).await;
}
