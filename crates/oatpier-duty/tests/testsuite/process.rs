//! Tests of duties that end and duties that panic.

use oatpier_duty::duty::{DutyPanic, DutyProcess, StopPhase};

/// A duty panics, so the others are ended and the process exits. A supervisor sees only the exit code: if it looked
/// like a planned shutdown, the process would not be restarted.
#[test]
fn panic_of_a_duty_fails_the_process() {
    let mut process = DutyProcess::default();
    let stop = process.stop.clone();
    process.spawn("waits", move || async move {
        stop.reached(StopPhase::Ended).await;
    });
    process.spawn("panics", || async { panic!("intended by the test") });
    assert_eq!(process.join(), Err(DutyPanic));
}

#[test]
fn duties_that_end_normally_return_no_error() {
    let mut process = DutyProcess::default();
    process.spawn("ends", || async {});
    assert_eq!(process.join(), Ok(()));
}
