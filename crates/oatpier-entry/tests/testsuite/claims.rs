//! Idempotency keys across entries, their deaths, and outages of the store.

use oatpier_claims::message::{ClaimAnswer, ClaimDenial};
use oatpier_standin::store::{DownMode, StoreFaults};
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::RunVerdict;

use crate::support::ClaimFleet;

/// Enough keys for each of the two entries to be the claimer of some.
const KEYS: u128 = 16;
/// Makes the second word on a key come at another point of the first one's write.
const SETTLE_STEP: std::time::Duration = std::time::Duration::from_millis(250);

fn held_by(request: u128) -> ClaimAnswer {
    ClaimAnswer::Denied(ClaimDenial::Held {
        holder: RequestId(request),
    })
}

/// A caller sends one request twice, through both entries at once. Whichever of them is the
/// claimer of the key, exactly one of the two may run, and the other is told who holds the key.
#[tokio::test(start_paused = true)]
async fn a_key_sent_through_two_entries_at_once_is_granted_once() {
    let fleet = ClaimFleet::start(2).await;
    for key in 0..KEYS {
        let (first, second) = (100 + key, 200 + key);
        let asks = (fleet.ask(0, key, first), fleet.ask(1, key, second));
        let answers = tokio::join!(asks.0, asks.1);
        match answers {
            (ClaimAnswer::Granted, other) => assert_eq!(other, held_by(first)),
            (other, ClaimAnswer::Granted) => assert_eq!(other, held_by(second)),
            neither => panic!("one has to be granted: {neither:?}"),
        }
    }
}

/// The store is away. A new key can't be claimed, and its caller is told so: it did not run. A
/// key that was claimed before is still answered, since its claimer remembers it. Once the store
/// is back the refused request may claim its key.
#[tokio::test(start_paused = true)]
async fn in_an_outage_new_keys_are_refused_and_known_ones_answered() {
    let fleet = ClaimFleet::start(2).await;
    for key in 0..KEYS {
        assert_eq!(fleet.ask(0, key, 100 + key).await, ClaimAnswer::Granted);
    }
    for mode in [DownMode::Refuse, DownMode::Drop] {
        fleet.store.set_faults(StoreFaults {
            down: Some(mode),
            ..StoreFaults::default()
        });
        let fresh = fleet.ask(0, KEYS, 300).await;
        assert!(
            matches!(fresh, ClaimAnswer::Unavailable { .. }),
            "{fresh:?}"
        );
        for key in 0..KEYS {
            assert_eq!(fleet.ask(1, key, 200 + key).await, held_by(100 + key));
        }
    }
    fleet.store.set_faults(StoreFaults::default());
    loop {
        // The claimer lets a while pass before it tries the store again.
        match fleet.ask(0, KEYS, 300).await {
            ClaimAnswer::Unavailable { retry_after } => tokio::time::sleep(retry_after).await,
            last => break assert_eq!(last, ClaimAnswer::Granted),
        }
    }
}

/// An entry dies after it granted keys as their claimer. The other does not know of its death
/// yet: it gets no answer, takes the partitions over through the store, and finds the grants
/// there. The keys are not granted again, and new ones are granted by the other entry.
#[tokio::test(start_paused = true)]
async fn a_dead_claimer_is_replaced_and_its_grants_stand() {
    let fleet = ClaimFleet::start(2).await;
    for key in 0..KEYS {
        assert_eq!(fleet.ask(0, key, 100 + key).await, ClaimAnswer::Granted);
    }
    fleet.kill(0);
    for key in 0..KEYS {
        assert_eq!(fleet.ask(1, key, 200 + key).await, held_by(100 + key));
    }
    for key in KEYS..2 * KEYS {
        assert_eq!(fleet.ask(1, key, 200 + key).await, ClaimAnswer::Granted);
    }
}

/// The store takes a claim and loses its answer. The claimer does not know whether the key is
/// claimed, reads it again, and grants it to the request that asked and to no other.
#[tokio::test(start_paused = true)]
async fn a_claim_whose_answer_is_lost_is_granted_to_its_request_alone() {
    let fleet = ClaimFleet::start(2).await;
    assert_eq!(fleet.ask(0, 1, 100).await, ClaimAnswer::Granted);
    fleet.store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let same_partition = 1 + 8;
    let first = fleet.ask(0, same_partition, 101).await;
    assert_eq!(first, ClaimAnswer::Granted);
    assert_eq!(fleet.ask(1, same_partition, 201).await, held_by(101));
}

/// A request got its key and did not run after all, since no endpoint took it. Its entry gives
/// the key back, also to a claimer in the other entry, and the caller's next try may run. A key
/// whose request ran stays used.
#[tokio::test(start_paused = true)]
async fn the_key_of_a_request_that_did_not_run_is_free_again() {
    let fleet = ClaimFleet::start(2).await;
    for key in 0..KEYS {
        assert_eq!(fleet.ask(0, key, 100 + key).await, ClaimAnswer::Granted);
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
        let answer = fleet.ask(1, key, 200 + key).await;
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

/// The store is away while requests end without having run. Their entry says so again until the
/// store has it: the keys are free once the store is back, and were not before.
#[tokio::test(start_paused = true)]
async fn a_settlement_outlasts_an_outage() {
    let fleet = ClaimFleet::start(2).await;
    for key in 0..KEYS {
        assert_eq!(fleet.ask(0, key, 100 + key).await, ClaimAnswer::Granted);
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
        let answer = fleet.ask(1, key, 200 + key).await;
        assert_eq!(answer, ClaimAnswer::Granted, "key {key}");
    }
}

/// A change ends as "may have run", and its seal is answered "not run" a moment later, before or
/// after the first word is in the store. The last word holds, whoever of the two entries is the
/// claimer, and the key is free for the caller's next try.
#[tokio::test(start_paused = true)]
async fn a_key_is_freed_after_its_own_may_have_run() {
    let fleet = ClaimFleet::start(2).await;
    for key in 0..KEYS {
        assert_eq!(fleet.ask(0, key, 100 + key).await, ClaimAnswer::Granted);
        fleet
            .settle(0, key, 100 + key, RunVerdict::MayHaveRun)
            .await;
        tokio::time::sleep(SETTLE_STEP * u32::try_from(key).unwrap()).await;
        fleet.settle(0, key, 100 + key, RunVerdict::NotRun).await;
    }
    fleet.flush(0).await;
    for key in 0..KEYS {
        assert_eq!(fleet.ask(1, key, 200 + key).await, ClaimAnswer::Granted);
    }
}
