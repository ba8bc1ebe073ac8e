//! Idempotency keys across entries, during entry failures and store outages.

use oatpier_claims::message::{ClaimAnswer, ClaimDenial};
use oatpier_standin::store::{DownMode, StoreFaults};
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::RunVerdict;

use crate::support::ClaimFleet;

/// Enough keys for each of the two entries to be the claimer of some of them.
const KEYS: u128 = 16;
/// Delay per key, so that the second settlement arrives at a different point of the first one's
/// write for each key.
const SETTLE_DELAY_STEP: std::time::Duration = std::time::Duration::from_millis(250);

fn held_by(request: u128) -> ClaimAnswer {
    ClaimAnswer::Denied(ClaimDenial::Held {
        holder: RequestId(request),
    })
}

/// The same request arrives at both entries at once. Whichever entry is the claimer of the key,
/// exactly one of the two requests may run, and the other is told the holder of the key.
#[tokio::test(start_paused = true)]
async fn a_key_sent_through_two_entries_at_once_is_granted_once() {
    let fleet = ClaimFleet::start(2).await;
    for key in 0..KEYS {
        let (first, second) = (100 + key, 200 + key);
        let queries = (fleet.query(0, key, first), fleet.query(1, key, second));
        let answers = tokio::join!(queries.0, queries.1);
        match answers {
            (ClaimAnswer::Granted, other) => assert_eq!(other, held_by(first)),
            (other, ClaimAnswer::Granted) => assert_eq!(other, held_by(second)),
            neither => panic!("one query must be granted: {neither:?}"),
        }
    }
}

/// During a store outage a new key can't be claimed, and its caller is told that the request did
/// not run. A key claimed before is still answered from the claimer's memory. After the outage the
/// refused request can claim its key.
#[tokio::test(start_paused = true)]
async fn in_an_outage_new_keys_are_refused_and_known_ones_answered() {
    let fleet = ClaimFleet::start(2).await;
    for key in 0..KEYS {
        assert_eq!(fleet.query(0, key, 100 + key).await, ClaimAnswer::Granted);
    }
    for mode in [DownMode::Refuse, DownMode::Drop] {
        fleet.store.set_faults(StoreFaults {
            down: Some(mode),
            ..StoreFaults::default()
        });
        let fresh = fleet.query(0, KEYS, 300).await;
        assert!(
            matches!(fresh, ClaimAnswer::Unavailable { .. }),
            "{fresh:?}"
        );
        for key in 0..KEYS {
            assert_eq!(fleet.query(1, key, 200 + key).await, held_by(100 + key));
        }
    }
    fleet.store.set_faults(StoreFaults::default());
    loop {
        // The claimer waits a while before it retries the store.
        match fleet.query(0, KEYS, 300).await {
            ClaimAnswer::Unavailable { retry_after } => tokio::time::sleep(retry_after).await,
            last => break assert_eq!(last, ClaimAnswer::Granted),
        }
    }
}

/// An entry fails after it granted keys as their claimer, and the other entry has not detected it
/// yet. Its query gets no answer, so it takes over the partitions through the store and finds the
/// grants there. The keys must not be granted again, and new keys are granted by the remaining
/// entry.
#[tokio::test(start_paused = true)]
async fn a_failed_claimer_is_replaced_and_its_grants_are_kept() {
    let fleet = ClaimFleet::start(2).await;
    for key in 0..KEYS {
        assert_eq!(fleet.query(0, key, 100 + key).await, ClaimAnswer::Granted);
    }
    fleet.kill(0);
    for key in 0..KEYS {
        assert_eq!(fleet.query(1, key, 200 + key).await, held_by(100 + key));
    }
    for key in KEYS..2 * KEYS {
        assert_eq!(fleet.query(1, key, 200 + key).await, ClaimAnswer::Granted);
    }
}

/// The store writes a claim but its answer is lost. The claimer does not know whether the key is
/// claimed, reads it again, and must grant it only to the request that queried it.
#[tokio::test(start_paused = true)]
async fn a_claim_whose_answer_is_lost_is_granted_to_its_request_alone() {
    let fleet = ClaimFleet::start(2).await;
    assert_eq!(fleet.query(0, 1, 100).await, ClaimAnswer::Granted);
    fleet.store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let same_partition = 1 + 8;
    let first = fleet.query(0, same_partition, 101).await;
    assert_eq!(first, ClaimAnswer::Granted);
    assert_eq!(fleet.query(1, same_partition, 201).await, held_by(101));
}

/// A request got its key but did not run, because no endpoint accepted it. Its entry releases the
/// key, also if the claimer is in the other entry, and the caller's next attempt may run. The key
/// of a request that ran stays used.
#[tokio::test(start_paused = true)]
async fn the_key_of_a_request_that_did_not_run_is_released() {
    let fleet = ClaimFleet::start(2).await;
    for key in 0..KEYS {
        assert_eq!(fleet.query(0, key, 100 + key).await, ClaimAnswer::Granted);
        let is_even = key % 2 == 0;
        let verdict = if is_even {
            RunVerdict::NotRun
        } else {
            RunVerdict::Ran
        };
        fleet.settle(0, key, 100 + key, verdict).await;
    }
    fleet.flush(0).await;
    for key in 0..KEYS {
        let answer = fleet.query(1, key, 200 + key).await;
        let used = ClaimAnswer::Denied(ClaimDenial::Finished {
            holder: RequestId(100 + key),
            verdict: RunVerdict::Ran,
        });
        let wanted = if key % 2 == 0 {
            ClaimAnswer::Granted
        } else {
            used
        };
        assert_eq!(answer, wanted, "key {key}");
    }
}

/// Requests end without having run during a store outage. Their entry sends the settlements again
/// until the store has them: the keys are free once the store is back, and not before.
#[tokio::test(start_paused = true)]
async fn settlements_are_sent_again_until_an_outage_ends() {
    let fleet = ClaimFleet::start(2).await;
    for key in 0..KEYS {
        assert_eq!(fleet.query(0, key, 100 + key).await, ClaimAnswer::Granted);
    }
    fleet.store.set_faults(StoreFaults {
        down: Some(DownMode::Drop),
        ..StoreFaults::default()
    });
    for key in 0..KEYS {
        fleet.settle(0, key, 100 + key, RunVerdict::NotRun).await;
    }
    tokio::time::sleep(std::time::Duration::from_secs(30)).await;
    fleet.store.set_faults(StoreFaults::default());
    fleet.flush(0).await;
    for key in 0..KEYS {
        let answer = fleet.query(1, key, 200 + key).await;
        assert_eq!(answer, ClaimAnswer::Granted, "key {key}");
    }
}

/// A non-idempotent request ends as "may have run", and its seal is answered "not run" shortly
/// after, before or after the first settlement is in the store. The last settlement must win
/// regardless of which entry is the claimer, and the key is free for the caller's next attempt.
#[tokio::test(start_paused = true)]
async fn a_key_is_released_after_its_request_ended_as_may_have_run() {
    let fleet = ClaimFleet::start(2).await;
    for key in 0..KEYS {
        assert_eq!(fleet.query(0, key, 100 + key).await, ClaimAnswer::Granted);
        fleet
            .settle(0, key, 100 + key, RunVerdict::MayHaveRun)
            .await;
        tokio::time::sleep(SETTLE_DELAY_STEP * u32::try_from(key).unwrap()).await;
        fleet.settle(0, key, 100 + key, RunVerdict::NotRun).await;
    }
    fleet.flush(0).await;
    for key in 0..KEYS {
        assert_eq!(fleet.query(1, key, 200 + key).await, ClaimAnswer::Granted);
    }
}
