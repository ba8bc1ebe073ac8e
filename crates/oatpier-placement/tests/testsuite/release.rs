//! Tests of releases between two holders of the same weights, of which one must keep them.

use std::time::Duration;

use oatpier_placement::release::{ReleaseKeeper, ReleaseState};
use oatpier_types::ids::BootId;

use crate::fleet::{base, endpoint, fleet};
use crate::orders::AgentHarness;

/// Returns an agent that has `a` ready, and its release keeper.
fn holder(name: &str, boot: u128) -> (AgentHarness, ReleaseKeeper) {
    let mut harness = AgentHarness::ready(true, fleet(2, 100, &[("a", 60)]), 100);
    harness.engine.put_ready(&base("a", "v1"));
    harness.run(Duration::from_secs(6));
    let releases = ReleaseKeeper::new(endpoint(name), BootId(boot), 1);
    (harness, releases)
}

#[test]
fn holder_that_keeps_its_replica_grants() {
    let (mut granter, mut granter_releases) = holder("e1", 1);
    let (requester, mut requester_releases) = holder("e2", 2);
    let a = base("a", "v1");
    let request = requester_releases.request(&a, &a, requester.now);
    granter_releases.on_request(request, &mut granter.keeper, granter.now);
    assert!(
        granter_releases
            .replies(&granter.keeper, granter.now)
            .is_empty()
    );
    granter.run(Duration::from_millis(200));
    let replies = granter_releases.replies(&granter.keeper, granter.now);
    requester_releases.on_answer(replies[0].answer, requester.now);
    assert_eq!(requester_releases.state(&a), ReleaseState::Granted);
}

/// Each of two agents sees the other's replica and requests a release at the same time. If both
/// requests were granted, both agents would unload and the model would be unavailable. A holder with
/// a pending request denies the requests of others.
#[test]
fn mutual_requests_are_both_denied() {
    let (mut left, mut left_releases) = holder("e1", 1);
    let (mut right, mut right_releases) = holder("e2", 2);
    let a = base("a", "v1");
    let left_request = left_releases.request(&a, &a, left.now);
    let right_request = right_releases.request(&a, &a, right.now);
    left_releases.on_request(right_request, &mut left.keeper, left.now);
    right_releases.on_request(left_request, &mut right.keeper, right.now);
    left.run(Duration::from_millis(200));
    right.run(Duration::from_millis(200));
    let to_right = left_releases.replies(&left.keeper, left.now);
    let to_left = right_releases.replies(&right.keeper, right.now);
    assert!(!to_right[0].answer.granted && !to_left[0].answer.granted);
}

/// A grant arrives after its request has expired. It must be ignored: meanwhile the agent may have
/// granted a release to another holder, which then relies on this replica.
#[test]
fn grant_after_timeout_is_ignored() {
    let (mut granter, mut granter_releases) = holder("e1", 1);
    let (requester, mut requester_releases) = holder("e2", 2);
    let a = base("a", "v1");
    let request = requester_releases.request(&a, &a, requester.now);
    granter_releases.on_request(request, &mut granter.keeper, granter.now);
    granter.run(Duration::from_millis(200));
    let replies = granter_releases.replies(&granter.keeper, granter.now);
    assert!(replies[0].answer.granted);
    requester_releases.expire(requester.now + Duration::from_secs(3));
    requester_releases.on_answer(replies[0].answer, requester.now + Duration::from_secs(3));
    assert_eq!(requester_releases.state(&a), ReleaseState::None);
}

/// An agent was superseded and has not learned it, and its successor may be unloading. It has no
/// proof of its epoch, so it grants no request.
#[test]
fn superseded_agent_grants_nothing() {
    let (mut superseded, mut granter_releases) = holder("e1", 1);
    let (requester, mut requester_releases) = holder("e2", 2);
    let a = base("a", "v1");
    let mut successor = AgentHarness::ready(true, superseded.config.clone(), 100);
    std::mem::swap(&mut successor.engine, &mut superseded.engine);
    successor.store = superseded.store.clone();
    successor.now = superseded.now;
    successor.replace_agent(true, 9);
    successor.run(Duration::from_secs(1));
    std::mem::swap(&mut successor.engine, &mut superseded.engine);
    granter_releases.on_request(
        requester_releases.request(&a, &a, requester.now),
        &mut superseded.keeper,
        superseded.now,
    );
    let mut replies = granter_releases.replies(&superseded.keeper, superseded.now);
    superseded.run(Duration::from_millis(500));
    replies.extend(granter_releases.replies(&superseded.keeper, superseded.now));
    assert!(replies.iter().all(|reply| !reply.answer.granted));
}
