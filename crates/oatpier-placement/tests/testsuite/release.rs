//! Tests of releases between two holders of the same weights, of which one must keep them.

use std::time::Duration;

use oatpier_placement::release::{ReleaseKeeper, ReleaseState};
use oatpier_types::ids::BootId;

use crate::fleet::{base, endpoint, fleet};
use crate::orders::Desk;

/// Returns an agent that has `a` ready, and its release keeper.
fn holder(name: &str, boot: u128) -> (Desk, ReleaseKeeper) {
    let mut desk = Desk::ready(true, fleet(2, 100, &[("a", 60)]), 100);
    desk.engine.put_ready(&base("a", "v1"));
    desk.run(Duration::from_secs(6));
    let releases = ReleaseKeeper::new(endpoint(name), BootId(boot), 1);
    (desk, releases)
}

#[test]
fn a_holder_that_stays_grants() {
    let (mut granter, mut granting) = holder("e1", 1);
    let (asker, mut asking) = holder("e2", 2);
    let a = base("a", "v1");
    let ask = asking.ask(&a, &a, asker.now);
    granting.on_ask(ask, &mut granter.keeper, granter.now);
    assert!(granting.replies(&granter.keeper, granter.now).is_empty());
    granter.run(Duration::from_millis(200));
    let replies = granting.replies(&granter.keeper, granter.now);
    asking.on_answer(replies[0].answer, asker.now);
    assert_eq!(asking.state(&a), ReleaseState::Granted);
}

/// Each of two agents sees the other's replica and asks at the same time. If both asks were
/// granted, both agents would unload and the model would be unavailable. A holder with a pending
/// ask denies others.
#[test]
fn of_two_that_ask_each_other_neither_is_granted() {
    let (mut left, mut left_releases) = holder("e1", 1);
    let (mut right, mut right_releases) = holder("e2", 2);
    let a = base("a", "v1");
    let left_ask = left_releases.ask(&a, &a, left.now);
    let right_ask = right_releases.ask(&a, &a, right.now);
    left_releases.on_ask(right_ask, &mut left.keeper, left.now);
    right_releases.on_ask(left_ask, &mut right.keeper, right.now);
    left.run(Duration::from_millis(200));
    right.run(Duration::from_millis(200));
    let to_right = left_releases.replies(&left.keeper, left.now);
    let to_left = right_releases.replies(&right.keeper, right.now);
    assert!(!to_right[0].answer.granted && !to_left[0].answer.granted);
}

/// A grant arrives after its ask has expired. It must be ignored: meanwhile the agent may have
/// granted a release to another holder, which then relies on this replica.
#[test]
fn a_late_grant_is_ignored() {
    let (mut granter, mut granting) = holder("e1", 1);
    let (asker, mut asking) = holder("e2", 2);
    let a = base("a", "v1");
    let ask = asking.ask(&a, &a, asker.now);
    granting.on_ask(ask, &mut granter.keeper, granter.now);
    granter.run(Duration::from_millis(200));
    let replies = granting.replies(&granter.keeper, granter.now);
    assert!(replies[0].answer.granted);
    asking.expire(asker.now + Duration::from_secs(3));
    asking.on_answer(replies[0].answer, asker.now + Duration::from_secs(3));
    assert_eq!(asking.state(&a), ReleaseState::None);
}

/// An agent was superseded and has not learned it, and its successor may be unloading. It has no
/// proof of its epoch, so it grants no ask.
#[test]
fn without_proof_of_the_epoch_nothing_is_granted() {
    let (mut former, mut granting) = holder("e1", 1);
    let (asker, mut asking) = holder("e2", 2);
    let a = base("a", "v1");
    let mut successor = Desk::ready(true, former.config.clone(), 100);
    std::mem::swap(&mut successor.engine, &mut former.engine);
    successor.store = former.store.clone();
    successor.now = former.now;
    successor.successor(true, 9);
    successor.run(Duration::from_secs(1));
    std::mem::swap(&mut successor.engine, &mut former.engine);
    granting.on_ask(
        asking.ask(&a, &a, asker.now),
        &mut former.keeper,
        former.now,
    );
    let mut replies = granting.replies(&former.keeper, former.now);
    former.run(Duration::from_millis(500));
    replies.extend(granting.replies(&former.keeper, former.now));
    assert!(replies.iter().all(|reply| !reply.answer.granted));
}
