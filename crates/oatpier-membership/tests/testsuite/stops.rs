//! Tests of planned stops.

use oatpier_membership::messages::NamedStop;
use oatpier_membership::stops::{
    StopAction, StopEvent, StopKeeper, StopPhase, StopRegistry, StopRequest,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Revision;

use crate::support::{daemon, seconds};

fn request(revision: u64, withdrawn: bool) -> StopRequest {
    StopRequest {
        revision: Revision(revision),
        withdrawn,
    }
}

#[test]
fn entry_announces_then_drains_then_ends() {
    let mut keeper = StopKeeper::new(seconds(4));
    let start = ClockTime::from_millis(10);
    let actions = keeper.handle(StopEvent::Requested(request(1, false)), start);
    assert_eq!(actions, [StopAction::Announce]);
    assert_eq!(keeper.next_wake(), start + seconds(4));
    let later = start + seconds(4);
    assert_eq!(
        keeper.handle(StopEvent::Tick, later),
        [StopAction::RefuseNew]
    );
    assert!(
        keeper
            .handle(StopEvent::WorkCounted { in_flight: 2 }, later)
            .is_empty()
    );
    let ended = keeper.handle(StopEvent::WorkCounted { in_flight: 0 }, later + seconds(60));
    assert_eq!(ended, [StopAction::End]);
    assert_eq!(keeper.phase(), StopPhase::Drained);
}

/// No request was in flight at the last count; then one was admitted before the refusal began.
/// Exiting on the old count would cut that request off.
#[test]
fn count_from_before_the_refusal_does_not_end_the_process() {
    let mut keeper = StopKeeper::new(seconds(0));
    keeper.handle(StopEvent::WorkCounted { in_flight: 0 }, ClockTime::ZERO);
    let actions = keeper.handle(StopEvent::Signalled, ClockTime::ZERO);
    assert_eq!(actions, [StopAction::Announce, StopAction::RefuseNew]);
    let counted = keeper.handle(StopEvent::WorkCounted { in_flight: 1 }, ClockTime::ZERO);
    assert!(counted.is_empty());
}

#[test]
fn withdrawn_stop_resumes_service_and_ignores_older_requests() {
    let mut keeper = StopKeeper::new(seconds(4));
    keeper.handle(StopEvent::Requested(request(1, false)), ClockTime::ZERO);
    let actions = keeper.handle(StopEvent::Requested(request(2, true)), ClockTime::ZERO);
    assert_eq!(actions, [StopAction::ServeAgain]);
    assert!(
        keeper
            .handle(StopEvent::Requested(request(1, false)), ClockTime::ZERO)
            .is_empty()
    );
}

/// A watcher was away while a stop was withdrawn, so the key is missing from the list that it
/// reads. Without a record of the withdrawal, its peers would bring the stop back by gossip
/// forever.
#[test]
fn stops_missing_from_the_list_are_withdrawn() {
    let named = |name, revision, withdrawn| NamedStop {
        daemon: daemon(name),
        request: request(revision, withdrawn),
    };
    let mut registry = StopRegistry::default();
    assert!(registry.merge(&named("agent-1", 3, false)));
    let news = registry.replace(&[named("agent-2", 7, false)]);
    assert_eq!(
        news,
        [named("agent-1", 3, true), named("agent-2", 7, false)]
    );
    assert!(!registry.merge(&named("agent-1", 3, false)));
    assert_eq!(registry.active().collect::<Vec<_>>(), [&daemon("agent-2")]);
}
