//! A partition that passes from one claimer to another, at the worst moments.

use std::time::Duration;

use oatpier_claims::event::{ClaimEvent, ClaimSettings};
use oatpier_claims::message::{ClaimAnswer, ClaimDenial};
use oatpier_types::names::DaemonName;
use oatpier_types::verdict::RunVerdict;

use crate::fleet::{ClaimFleet, key, short_settings};

const SOON: Duration = Duration::from_millis(200);

fn moved_to(owner: &str) -> ClaimAnswer {
    let owner = DaemonName::try_from(owner).unwrap();
    ClaimAnswer::Moved { owner: Some(owner) }
}

#[test]
fn claimer_dies_after_its_write() {
    // A claimer writes a claim and dies before it answers. The entry asks the successor for the
    // same request, and a resubmission of the key comes through another entry. The first is
    // granted, since the claim is its own; were both, the change would be applied twice.
    let mut fleet = ClaimFleet::new(2, ClaimSettings::default());
    fleet.step(0, ClaimEvent::Assumed);
    fleet.run(0, SOON);
    let first = fleet.ask(0, key(1));
    fleet.take_effect(fleet.unseen(Some(0))[0]);
    fleet.restart(0);
    fleet.ask_again(1, first);
    fleet.run(1, SOON);
    assert_eq!(fleet.answer(first), Some(&ClaimAnswer::Granted));
    let second = fleet.ask(1, key(1));
    let held = ClaimDenial::Held { holder: first };
    assert_eq!(fleet.answer(second), Some(&ClaimAnswer::Denied(held)));
}

#[test]
fn paused_claimer_wakes_after_its_successor_granted() {
    // A claimer is paused with a write on its way. A successor takes over and grants the key to a
    // resubmission. Then the write of the first arrives and the first wakes: it has to find out
    // that the partition moved, and send its asker there.
    let mut fleet = ClaimFleet::new(2, ClaimSettings::default());
    fleet.step(0, ClaimEvent::Assumed);
    fleet.run(0, SOON);
    let paused = fleet.ask(0, key(1));
    let late_write = fleet.unseen(Some(0))[0];
    let second = fleet.ask(1, key(1));
    fleet.run(1, SOON);
    assert_eq!(fleet.answer(second), Some(&ClaimAnswer::Granted));
    fleet.take_effect(late_write);
    fleet.deliver(late_write);
    fleet.run(0, SOON);
    assert_eq!(fleet.answer(paused), Some(&moved_to("entry-1")));
    assert!(!fleet.log(0).owns());
    fleet.ask_again(1, paused);
    let held = ClaimDenial::Held { holder: second };
    assert_eq!(fleet.answer(paused), Some(&ClaimAnswer::Denied(held)));
}

#[test]
fn former_claimer_closes_a_segment_late() {
    // A claimer is paused while it copies its records to a closed segment. Its successor, with
    // another size set, appends more and closes a longer segment from the same position; the
    // short copy arrives before or after that. If the short one stood in for the long one, a third claimer would miss a claim.
    (5..12).for_each(assert_late_close_loses_nothing);
}

/// The late copy arrives after the claim of key `arrival`.
fn assert_late_close_loses_nothing(arrival: u8) {
    let mut fleet = ClaimFleet::new(3, short_settings());
    fleet.settings.head_bytes *= 2;
    fleet.restart(1);
    (0..4).for_each(|number| {
        fleet.ask(0, key(number));
        fleet.run(0, SOON);
    });
    fleet.ask(0, key(4));
    let closing = fleet.unseen(Some(0))[0];
    (5..12).for_each(|number| {
        fleet.ask(1, key(number));
        fleet.run(1, SOON);
        if number == arrival {
            fleet.take_effect(closing);
        }
    });
    let again: Vec<_> = [0, 3, 5, 8, 11]
        .into_iter()
        .map(|number| fleet.ask(2, key(number)))
        .collect();
    fleet.run(2, SOON);
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
    // One request ran, one did not and gave its key back; then the claimer dies. The callers send
    // both again: the one is told that it ran, the other may run now.
    let mut fleet = ClaimFleet::new(2, ClaimSettings::default());
    let ran = fleet.ask(0, key(1));
    let released = fleet.ask(0, key(2));
    fleet.run(0, SOON);
    fleet.finish(0, ran, RunVerdict::Ran);
    fleet.release(0, released);
    assert!(!fleet.recorded.contains(&ran));
    fleet.run(0, Duration::from_secs(2));
    assert!(fleet.recorded.contains(&ran) && fleet.recorded.contains(&released));
    fleet.restart(0);
    let ran_again = fleet.ask(1, key(1));
    let released_again = fleet.ask(1, key(2));
    fleet.run(1, SOON);
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
fn release_after_the_own_may_have_run_frees_the_key() {
    // A request ends at its deadline as "may have run", and its key stays used. Then its agent
    // says that it never ran and never will: its entry releases the key, before or after the
    // first word is in the store. The caller's next try may run, also after a take-over.
    for waits in [Duration::ZERO, SOON, Duration::from_secs(2)] {
        let mut fleet = ClaimFleet::new(2, ClaimSettings::default());
        let first = fleet.ask(0, key(1));
        fleet.run(0, SOON);
        fleet.finish(0, first, RunVerdict::MayHaveRun);
        fleet.run(0, waits);
        fleet.recorded.clear();
        fleet.release(0, first);
        assert!(!fleet.recorded.contains(&first), "{waits:?}");
        fleet.run(0, Duration::from_secs(2));
        assert!(fleet.recorded.contains(&first), "{waits:?}");
        fleet.restart(0);
        let second = fleet.ask(1, key(1));
        fleet.run(1, SOON);
        assert_eq!(
            fleet.answer(second),
            Some(&ClaimAnswer::Granted),
            "{waits:?}"
        );
    }
}

#[test]
fn finish_in_flight_does_not_record_the_release_after_it() {
    // The word "may have run" is in a write whose answer is under way when the release comes. Its
    // entry must not take that write's end for the release's: it would say it no more, and a
    // claimer that dies now would leave the key used.
    let mut fleet = ClaimFleet::new(1, ClaimSettings::default());
    let first = fleet.ask(0, key(1));
    fleet.run(0, SOON);
    fleet.finish(0, first, RunVerdict::MayHaveRun);
    fleet.advance(Duration::from_secs(2));
    fleet.step(0, ClaimEvent::Timer);
    let write = fleet.unseen(Some(0))[0];
    fleet.release(0, first);
    fleet.finish(0, first, RunVerdict::MayHaveRun);
    fleet.take_effect(write);
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
fn late_release_frees_no_other_requests_key() {
    // The release is said twice, and the second comes after the next request has the key, running
    // or over. It must free nothing; nor does a release of a request that ran.
    let mut fleet = ClaimFleet::new(1, ClaimSettings::default());
    let first = fleet.ask(0, key(1));
    fleet.run(0, SOON);
    fleet.finish(0, first, RunVerdict::MayHaveRun);
    fleet.release(0, first);
    let second = fleet.ask(0, key(1));
    fleet.run(0, SOON);
    assert_eq!(fleet.answer(second), Some(&ClaimAnswer::Granted));
    let steps = [None, Some(RunVerdict::MayHaveRun), Some(RunVerdict::Ran)];
    for verdict in steps {
        if let Some(verdict) = verdict {
            fleet.finish(0, second, verdict);
        }
        fleet.release(0, first);
        fleet.finish(0, first, RunVerdict::MayHaveRun);
        let third = fleet.ask(0, key(1));
        fleet.run(0, SOON);
        assert!(is_finished_or_held(fleet.answer(third)), "{verdict:?}");
    }
    fleet.release(0, second);
    let fourth = fleet.ask(0, key(1));
    fleet.run(0, SOON);
    assert!(is_finished_or_held(fleet.answer(fourth)));
}

#[test]
fn late_ask_of_a_released_request_claims_nothing() {
    // An entry gives a request up and releases its key, and a copy of its ask comes after that.
    // If the copy claimed the key, the caller's next try would be told "may have run" of a
    // request that was truly not run.
    let mut fleet = ClaimFleet::new(1, ClaimSettings::default());
    let first = fleet.ask(0, key(1));
    fleet.run(0, SOON);
    fleet.release(0, first);
    fleet.ask_again(0, first);
    assert_eq!(
        fleet.answer(first),
        Some(&ClaimAnswer::Denied(ClaimDenial::GivenUp))
    );
    let second = fleet.ask(0, key(1));
    fleet.run(0, SOON);
    assert_eq!(fleet.answer(second), Some(&ClaimAnswer::Granted));
}

#[test]
fn keys_and_segments_go_after_the_retention() {
    // Without removal the store and the claimers fill up in days; too early, and a caller's late
    // resubmission runs twice.
    let settings = ClaimSettings {
        retention: Duration::from_mins(1),
        ..short_settings()
    };
    let mut fleet = ClaimFleet::new(2, settings);
    (0..20).for_each(|number| {
        fleet.ask(0, key(number));
        fleet.run(0, SOON);
    });
    let before = fleet.store.values.len();
    assert!(before > 2, "segments were closed: {:?}", fleet.keys());
    fleet.run(0, Duration::from_secs(50));
    let early = fleet.ask(0, key(0));
    fleet.run(0, SOON);
    assert!(matches!(
        fleet.answer(early),
        Some(ClaimAnswer::Denied(ClaimDenial::Held { .. }))
    ));
    fleet.run(0, Duration::from_secs(30));
    fleet.ask(0, key(100));
    fleet.run(0, SOON);
    let late = fleet.ask(0, key(0));
    fleet.run(0, SOON);
    assert_eq!(fleet.answer(late), Some(&ClaimAnswer::Granted));
    assert!(fleet.store.values.len() < before, "{:?}", fleet.keys());
    fleet.ask(1, key(101));
    fleet.run(1, SOON);
    assert!(fleet.log(1).owns(), "what is left can be loaded");
}

#[test]
fn takeovers_shorten_no_retention() {
    // Claimers change often. Each has a clock of its own that starts at zero, so ages of claims
    // go from one to the next in the head; counted wrongly, a key is forgotten too soon.
    let settings = ClaimSettings {
        retention: Duration::from_mins(1),
        ..short_settings()
    };
    let mut fleet = ClaimFleet::new(2, settings);
    (0..20).for_each(|number| {
        fleet.ask(0, key(number));
        fleet.run(0, SOON);
    });
    for round in 0..10 {
        let claimer = usize::from(round % 2 == 0);
        fleet.run(claimer, Duration::from_secs(4));
        fleet.restart(claimer);
        fleet.ask(claimer, key(100 + round));
        fleet.run(claimer, SOON);
    }
    let again = fleet.ask(0, key(0));
    fleet.run(0, SOON);
    assert!(matches!(
        fleet.answer(again),
        Some(ClaimAnswer::Denied(ClaimDenial::Held { .. }))
    ));
}

#[test]
fn foreign_value_is_left_alone() {
    // Something else stands under the head's key, such as a later layout. Overwriting it would
    // forget all claims in it, so the claimer turns requests back until somebody mends it.
    let mut fleet = ClaimFleet::new(2, ClaimSettings::default());
    fleet.step(0, ClaimEvent::Assumed);
    fleet.run(0, SOON);
    let head = fleet.store.values.values_mut().next().unwrap();
    head.0 = b"something else".to_vec();
    let asked = fleet.ask(1, key(1));
    fleet.run(1, SOON);
    assert!(matches!(
        fleet.answer(asked),
        Some(ClaimAnswer::Unavailable { .. })
    ));
    assert_eq!(
        fleet.store.values.values().next().unwrap().0,
        b"something else"
    );
}
