//! Tests of acquiring the epoch, with lost responses and races.

use std::time::Duration;

use oatpier_placement::record::{
    EndpointRecord, EpochState, OrderIntent, RecordAnswer, RecordCall, RecordKeeper, StoredRecord,
};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{EngineRole, OrderAction};
use oatpier_types::ids::{BootId, Epoch, OrderNumber, Revision};

const NOW: ClockTime = ClockTime::from_millis(1_000);
const LATER: ClockTime = ClockTime::from_millis(60_000);

fn stored(epoch: u64, boot: u128, revision: u64) -> StoredRecord {
    let record = EndpointRecord {
        epoch: Epoch(epoch),
        boot: BootId(boot),
        intents: Vec::new(),
    };
    StoredRecord {
        record,
        revision: Revision(revision),
    }
}

fn intent() -> OrderIntent {
    let number = OrderNumber {
        epoch: Epoch(1),
        sequence: 1,
    };
    let role = EngineRole::Both;
    OrderIntent {
        number,
        action: OrderAction::SetRole { role },
    }
}

/// Returns a keeper that has read `found`, and its write call.
fn writing(found: Option<StoredRecord>) -> (RecordKeeper, RecordCall) {
    let mut keeper = RecordKeeper::new(BootId(7));
    assert_eq!(keeper.next_call(&[], false, NOW), Some(RecordCall::Read));
    keeper.on_answer(RecordAnswer::Found(found), NOW);
    let call = keeper.next_call(&[], false, NOW).unwrap();
    (keeper, call)
}

#[test]
fn first_agent_acquires_epoch_one() {
    let (mut keeper, call) = writing(None);
    assert!(matches!(call, RecordCall::Write { expected: None, .. }));
    keeper.on_answer(RecordAnswer::Written(Revision(1)), NOW);
    assert_eq!(keeper.state(), EpochState::Acquired(Epoch(1)));
    assert_eq!(keeper.next_call(&[], false, NOW), None);
}

/// A write took effect and its response was lost. The record that is read back has the agent's own
/// boot ID, so the agent has the epoch and does not acquire another.
#[test]
fn lost_response_is_resolved_by_boot_id() {
    let (mut keeper, _) = writing(Some(stored(4, 3, 9)));
    keeper.on_answer(RecordAnswer::AnswerLost, NOW);
    assert_eq!(keeper.state(), EpochState::Acquiring);
    assert_eq!(keeper.next_call(&[], false, LATER), Some(RecordCall::Read));
    keeper.on_answer(RecordAnswer::Found(Some(stored(5, 7, 10))), LATER);
    assert_eq!(keeper.state(), EpochState::Acquired(Epoch(5)));
}

/// Two agents start at the same time. The one whose write came second acquires the next epoch.
#[test]
fn loser_of_race_acquires_next_epoch() {
    let (mut keeper, _) = writing(Some(stored(4, 3, 9)));
    keeper.on_answer(RecordAnswer::Conflict, NOW);
    assert_eq!(keeper.next_call(&[], false, NOW), Some(RecordCall::Read));
    keeper.on_answer(RecordAnswer::Found(Some(stored(5, 8, 10))), NOW);
    let Some(RecordCall::Write { record, expected }) = keeper.next_call(&[], false, NOW) else {
        panic!("no write");
    };
    assert_eq!((record.epoch, expected), (Epoch(6), Some(Revision(10))));
}

/// A successor acquired the epoch while this agent was suspended. The agent's next write of an
/// intent fails, and the record shows that the agent is superseded.
#[test]
fn agent_with_successor_becomes_superseded() {
    let (mut keeper, _) = writing(None);
    keeper.on_answer(RecordAnswer::Written(Revision(1)), NOW);
    let wanted = [intent()];
    assert!(matches!(
        keeper.next_call(&wanted, true, NOW),
        Some(RecordCall::Write { .. })
    ));
    keeper.on_answer(RecordAnswer::Conflict, NOW);
    assert!(!keeper.is_written(intent().number, NOW));
    assert_eq!(keeper.next_call(&wanted, true, NOW), Some(RecordCall::Read));
    keeper.on_answer(RecordAnswer::Found(Some(stored(2, 8, 2))), NOW);
    assert_eq!(keeper.state(), EpochState::Superseded);
    assert_eq!(keeper.next_call(&wanted, true, LATER), None);
}

/// An agent wrote an intent and was suspended before it sent the order. When it resumes, the
/// confirmation of its epoch has expired. A successor may have completed the intent, so the agent
/// reads the record before it sends.
#[test]
fn expired_confirmation_requires_read() {
    let (mut keeper, _) = writing(None);
    keeper.on_answer(RecordAnswer::Written(Revision(1)), NOW);
    let wanted = [intent()];
    keeper.next_call(&wanted, true, NOW).unwrap();
    keeper.on_answer(RecordAnswer::Written(Revision(2)), NOW);
    assert!(keeper.is_written(intent().number, NOW));
    assert!(!keeper.is_written(intent().number, LATER));
    assert_eq!(
        keeper.next_call(&wanted, true, LATER),
        Some(RecordCall::Read)
    );
}

/// The store is down. The delays between calls grow and differ between agents, so that a recovered
/// store is not called by all agents at once.
#[test]
fn outage_retries_back_off_with_jitter() {
    let tries = |boot: u128| {
        let mut keeper = RecordKeeper::new(BootId(boot));
        let mut times = Vec::new();
        for tenth in 0..1_200 {
            let now = ClockTime::from_millis(tenth * 100);
            if keeper.next_call(&[], false, now).is_some() {
                times.push(tenth);
                keeper.on_answer(RecordAnswer::Unavailable, now);
            }
        }
        times
    };
    assert!((0..50).all(|boot| tries(boot).len() < 20));
    let mut counts = std::collections::BTreeMap::new();
    let last_16_s = (0..1_000).flat_map(tries).filter(|tenth| *tenth >= 1_040);
    for tenth in last_16_s {
        *counts.entry(tenth / 10).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count < 150), "{counts:?}");
}

/// Nothing is pending when the store becomes available again. The agent still detects it.
#[test]
fn end_of_outage_is_detected_without_pending_write() {
    let (mut keeper, _) = writing(None);
    keeper.on_answer(RecordAnswer::Written(Revision(1)), NOW);
    keeper.next_call(&[intent()], true, NOW).unwrap();
    keeper.on_answer(RecordAnswer::Unavailable, NOW);
    assert!(!keeper.is_store_up());
    let later = NOW + Duration::from_secs(20);
    assert_eq!(keeper.next_call(&[], false, later), Some(RecordCall::Read));
    keeper.on_answer(RecordAnswer::Found(Some(stored(1, 7, 1))), later);
    assert!(keeper.is_store_up());
}
