//! Takeovers of a partition at critical points.

use std::time::Duration;

use oatpier_claims::event::{ClaimEvent, ClaimSettings};
use oatpier_claims::message::{ClaimAnswer, ClaimDenial};
use oatpier_types::names::DaemonName;
use oatpier_types::verdict::RunVerdict;

use crate::fleet::{ClaimFleet, key, short_settings};

const SHORT_RUN: Duration = Duration::from_millis(200);

fn moved_to(owner: &str) -> ClaimAnswer {
    let owner = DaemonName::try_from(owner).unwrap();
    ClaimAnswer::Moved { owner: Some(owner) }
}

#[test]
fn successor_grants_the_claim_of_a_claimer_that_died_after_its_write() {
    // A claimer writes a claim and dies before it answers. The entry sends the query of the same
    // request to the successor, and a resubmission of the key arrives through another entry. The
    // first is granted, since the claim is its own. If both were granted, the change would be
    // applied twice.
    let mut fleet = ClaimFleet::new(2, ClaimSettings::default());
    fleet.step(0, ClaimEvent::OwnershipAssigned);
    fleet.run(0, SHORT_RUN);
    let first = fleet.ask(0, key(1));
    fleet.execute_call(fleet.unexecuted(Some(0))[0]);
    fleet.restart(0);
    fleet.ask_again(1, first);
    fleet.run(1, SHORT_RUN);
    assert_eq!(fleet.answer(first), Some(&ClaimAnswer::Granted));
    let second = fleet.ask(1, key(1));
    let held = ClaimDenial::Held { holder: first };
    assert_eq!(fleet.answer(second), Some(&ClaimAnswer::Denied(held)));
}

#[test]
fn paused_claimer_redirects_after_its_successor_granted() {
    // A claimer is paused with a write in flight. A successor takes over and grants the key to a
    // resubmission. Then the write of the first claimer arrives and the first resumes. It has to
    // detect that the partition moved, and redirect its entry.
    let mut fleet = ClaimFleet::new(2, ClaimSettings::default());
    fleet.step(0, ClaimEvent::OwnershipAssigned);
    fleet.run(0, SHORT_RUN);
    let paused = fleet.ask(0, key(1));
    let late_write = fleet.unexecuted(Some(0))[0];
    let second = fleet.ask(1, key(1));
    fleet.run(1, SHORT_RUN);
    assert_eq!(fleet.answer(second), Some(&ClaimAnswer::Granted));
    fleet.execute_call(late_write);
    fleet.deliver(late_write);
    fleet.run(0, SHORT_RUN);
    assert_eq!(fleet.answer(paused), Some(&moved_to("entry-1")));
    assert!(!fleet.log(0).is_owner());
    fleet.ask_again(1, paused);
    let held = ClaimDenial::Held { holder: second };
    assert_eq!(fleet.answer(paused), Some(&ClaimAnswer::Denied(held)));
}

#[test]
fn late_segment_of_a_previous_claimer_loses_no_claim() {
    // A claimer is paused while it copies its records to a closed segment. Its successor has
    // another size limit, appends more and closes a longer segment from the same position. The
    // short copy arrives before or after that. If the short copy replaced the long one, a third
    // claimer would miss a claim.
    (5..12).for_each(assert_late_close_loses_nothing);
}

/// Checks that no claim is lost if the late copy arrives after the claim of key `arrival`.
fn assert_late_close_loses_nothing(arrival: u8) {
    let mut fleet = ClaimFleet::new(3, short_settings());
    fleet.settings.head_bytes *= 2;
    fleet.restart(1);
    (0..4).for_each(|number| {
        fleet.ask(0, key(number));
        fleet.run(0, SHORT_RUN);
    });
    fleet.ask(0, key(4));
    let closing = fleet.unexecuted(Some(0))[0];
    (5..12).for_each(|number| {
        fleet.ask(1, key(number));
        fleet.run(1, SHORT_RUN);
        if number == arrival {
            fleet.execute_call(closing);
        }
    });
    let again: Vec<_> = [0, 3, 5, 8, 11]
        .into_iter()
        .map(|number| fleet.ask(2, key(number)))
        .collect();
    fleet.run(2, SHORT_RUN);
    let is_denied = |answer: Option<&ClaimAnswer>| matches!(answer, Some(ClaimAnswer::Denied(_)));
    assert!(
        again
            .iter()
            .all(|request| is_denied(fleet.answer(*request))),
        "{arrival}: {:?}",
        fleet.answers
    );
}

#[test]
fn finishes_and_releases_survive_a_takeover() {
    // One request ran; another did not run and released its key. Then the claimer dies and the
    // callers send both requests again. The first must be denied as run, the second may run now.
    let mut fleet = ClaimFleet::new(2, ClaimSettings::default());
    let ran = fleet.ask(0, key(1));
    let released = fleet.ask(0, key(2));
    fleet.run(0, SHORT_RUN);
    fleet.finish(0, ran, RunVerdict::Ran);
    fleet.release(0, released);
    assert!(!fleet.recorded.contains(&ran));
    fleet.run(0, Duration::from_secs(2));
    assert!(fleet.recorded.contains(&ran) && fleet.recorded.contains(&released));
    fleet.restart(0);
    let ran_again = fleet.ask(1, key(1));
    let released_again = fleet.ask(1, key(2));
    fleet.run(1, SHORT_RUN);
    let finished = ClaimDenial::Finished {
        holder: ran,
        verdict: RunVerdict::Ran,
    };
    assert_eq!(
        fleet.answer(ran_again),
        Some(&ClaimAnswer::Denied(finished))
    );
    assert_eq!(fleet.answer(released_again), Some(&ClaimAnswer::Granted));
}

#[test]
fn release_after_may_have_run_frees_the_key() {
    // A request ends at its deadline as "may have run", and its key stays claimed. Then its agent
    // reports that it never ran and never will, and its entry releases the key, before or after the
    // first outcome is in the store. The caller's next try may run, also after a takeover.
    for waits in [Duration::ZERO, SHORT_RUN, Duration::from_secs(2)] {
        let mut fleet = ClaimFleet::new(2, ClaimSettings::default());
        let first = fleet.ask(0, key(1));
        fleet.run(0, SHORT_RUN);
        fleet.finish(0, first, RunVerdict::MayHaveRun);
        fleet.run(0, waits);
        fleet.recorded.clear();
        fleet.release(0, first);
        assert!(!fleet.recorded.contains(&first), "{waits:?}");
        fleet.run(0, Duration::from_secs(2));
        assert!(fleet.recorded.contains(&first), "{waits:?}");
        fleet.restart(0);
        let second = fleet.ask(1, key(1));
        fleet.run(1, SHORT_RUN);
        assert_eq!(
            fleet.answer(second),
            Some(&ClaimAnswer::Granted),
            "{waits:?}"
        );
    }
}

#[test]
fn finish_in_flight_does_not_confirm_the_later_release() {
    // The outcome "may have run" is in a write whose answer is in flight when the release arrives.
    // The end of that write must not confirm the release: the entry would stop resending it, and if
    // the claimer died then, the key would stay claimed.
    let mut fleet = ClaimFleet::new(1, ClaimSettings::default());
    let first = fleet.ask(0, key(1));
    fleet.run(0, SHORT_RUN);
    fleet.finish(0, first, RunVerdict::MayHaveRun);
    fleet.advance(Duration::from_secs(2));
    fleet.step(0, ClaimEvent::Timer);
    let write = fleet.unexecuted(Some(0))[0];
    fleet.release(0, first);
    fleet.finish(0, first, RunVerdict::MayHaveRun);
    fleet.execute_call(write);
    fleet.deliver(write);
    assert!(!fleet.recorded.contains(&first));
    fleet.run(0, Duration::from_secs(2));
    assert!(fleet.recorded.contains(&first));
}

fn is_finished_or_held(answer: Option<&ClaimAnswer>) -> bool {
    matches!(
        answer,
        Some(ClaimAnswer::Denied(
            ClaimDenial::Finished { .. } | ClaimDenial::Held { .. }
        ))
    )
}

#[test]
fn late_release_does_not_free_another_requests_key() {
    // The release is sent twice, and the second copy arrives after the next request has the key,
    // running or finished. It must free nothing. Neither may the release of a request that ran.
    let mut fleet = ClaimFleet::new(1, ClaimSettings::default());
    let first = fleet.ask(0, key(1));
    fleet.run(0, SHORT_RUN);
    fleet.finish(0, first, RunVerdict::MayHaveRun);
    fleet.release(0, first);
    let second = fleet.ask(0, key(1));
    fleet.run(0, SHORT_RUN);
    assert_eq!(fleet.answer(second), Some(&ClaimAnswer::Granted));
    let steps = [None, Some(RunVerdict::MayHaveRun), Some(RunVerdict::Ran)];
    for verdict in steps {
        if let Some(verdict) = verdict {
            fleet.finish(0, second, verdict);
        }
        fleet.release(0, first);
        fleet.finish(0, first, RunVerdict::MayHaveRun);
        let third = fleet.ask(0, key(1));
        fleet.run(0, SHORT_RUN);
        assert!(is_finished_or_held(fleet.answer(third)), "{verdict:?}");
    }
    fleet.release(0, second);
    let fourth = fleet.ask(0, key(1));
    fleet.run(0, SHORT_RUN);
    assert!(is_finished_or_held(fleet.answer(fourth)));
}

#[test]
fn late_query_of_a_released_request_claims_nothing() {
    // An entry gives a request up and releases its key, and a copy of its query arrives later. If
    // the copy claimed the key, the caller's next try would be answered "may have run" for a
    // request that did not run.
    let mut fleet = ClaimFleet::new(1, ClaimSettings::default());
    let first = fleet.ask(0, key(1));
    fleet.run(0, SHORT_RUN);
    fleet.release(0, first);
    fleet.ask_again(0, first);
    assert_eq!(
        fleet.answer(first),
        Some(&ClaimAnswer::Denied(ClaimDenial::GivenUp))
    );
    let second = fleet.ask(0, key(1));
    fleet.run(0, SHORT_RUN);
    assert_eq!(fleet.answer(second), Some(&ClaimAnswer::Granted));
}

#[test]
fn keys_and_segments_are_removed_after_the_retention() {
    // Without removal the store and the claimers fill up within days. If keys are removed too
    // early, a caller's late resubmission runs twice.
    let settings = ClaimSettings {
        retention: Duration::from_mins(1),
        ..short_settings()
    };
    let mut fleet = ClaimFleet::new(2, settings);
    (0..20).for_each(|number| {
        fleet.ask(0, key(number));
        fleet.run(0, SHORT_RUN);
    });
    let before = fleet.store.values.len();
    assert!(before > 2, "no segment was closed: {:?}", fleet.keys());
    fleet.run(0, Duration::from_secs(50));
    let early = fleet.ask(0, key(0));
    fleet.run(0, SHORT_RUN);
    assert!(matches!(
        fleet.answer(early),
        Some(ClaimAnswer::Denied(ClaimDenial::Held { .. }))
    ));
    fleet.run(0, Duration::from_secs(30));
    fleet.ask(0, key(100));
    fleet.run(0, SHORT_RUN);
    let late = fleet.ask(0, key(0));
    fleet.run(0, SHORT_RUN);
    assert_eq!(fleet.answer(late), Some(&ClaimAnswer::Granted));
    assert!(fleet.store.values.len() < before, "{:?}", fleet.keys());
    fleet.ask(1, key(101));
    fleet.run(1, SHORT_RUN);
    assert!(
        fleet.log(1).is_owner(),
        "the remaining records can be loaded"
    );
}

#[test]
fn takeovers_do_not_shorten_the_retention() {
    // Claimers change often. Each has its own clock that starts at zero, so the ages of claims pass
    // from one to the next in the head. If they are counted wrongly, a key is forgotten too early.
    let settings = ClaimSettings {
        retention: Duration::from_mins(1),
        ..short_settings()
    };
    let mut fleet = ClaimFleet::new(2, settings);
    (0..20).for_each(|number| {
        fleet.ask(0, key(number));
        fleet.run(0, SHORT_RUN);
    });
    for round in 0..10 {
        let claimer = usize::from(round % 2 == 0);
        fleet.run(claimer, Duration::from_secs(4));
        fleet.restart(claimer);
        fleet.ask(claimer, key(100 + round));
        fleet.run(claimer, SHORT_RUN);
    }
    let again = fleet.ask(0, key(0));
    fleet.run(0, SHORT_RUN);
    assert!(matches!(
        fleet.answer(again),
        Some(ClaimAnswer::Denied(ClaimDenial::Held { .. }))
    ));
}

#[test]
fn head_of_unknown_layout_is_not_overwritten() {
    // The value under the head's key has another format, such as a later layout. Overwriting it
    // would lose all claims in it, so the claimer rejects requests until an operator repairs it.
    let mut fleet = ClaimFleet::new(2, ClaimSettings::default());
    fleet.step(0, ClaimEvent::OwnershipAssigned);
    fleet.run(0, SHORT_RUN);
    let head = fleet.store.values.values_mut().next().unwrap();
    head.0 = b"something else".to_vec();
    let asked = fleet.ask(1, key(1));
    fleet.run(1, SHORT_RUN);
    assert!(matches!(
        fleet.answer(asked),
        Some(ClaimAnswer::Unavailable { .. })
    ));
    assert_eq!(
        fleet.store.values.values().next().unwrap().0,
        b"something else"
    );
}
