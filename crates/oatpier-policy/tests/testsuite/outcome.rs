//! The status of a request's final answer.

use oatpier_policy::outcome::{FinalCause, promises_not_run, status_of};
use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;

const REFUSALS: [RefusalCause; 5] = [
    RefusalCause::QueueFull,
    RefusalCause::RetriesSpent,
    RefusalCause::KeyUsed,
    RefusalCause::GivenUp,
    RefusalCause::Duplicate,
];

/// A request may have run, and its caller gets a status that promises that it did not.
#[test]
fn a_request_that_may_have_run_gets_no_promise() {
    let ends = [
        FinalCause::Complete,
        FinalCause::DeadlinePassed,
        FinalCause::Incomplete,
        FinalCause::CallerGone,
    ];
    for cause in REFUSALS.map(FinalCause::Refused).into_iter().chain(ends) {
        for verdict in [RunVerdict::MayHaveRun, RunVerdict::Ran] {
            let status = status_of(cause, verdict);
            assert!(!promises_not_run(status), "{cause:?}: {status}");
        }
    }
}
