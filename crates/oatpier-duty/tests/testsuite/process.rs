//! Duties that end, and duties that panic.

use oatpier_duty::duty::{DutyPanic, DutyProcess, StopPhase};

/// An operator's supervisor sees only the exit code. A duty panics, the others are told to end,
/// and the process ends. If that looked like a planned stop, nobody would start it again.
#[test]
fn a_duty_that_panics_fails_the_process() {
    let mut process = DutyProcess::default();
    let stop = process.stop.clone();
    process.spawn("waits", move || async move {
        stop.reached(StopPhase::Ended).await;
    });
    process.spawn("panics", || async { panic!("as the test wants it") });
    assert_eq!(process.join(), Err(DutyPanic));
}

#[test]
fn duties_that_end_by_themselves_leave_no_error() {
    let mut process = DutyProcess::default();
    process.spawn("ends", || async {});
    assert_eq!(process.join(), Ok(()));
}
