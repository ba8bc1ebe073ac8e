//! Store calls of the claimers.

use std::sync::Arc;

use bytes::Bytes;
use oatpier_claims::event::{CallNumber, ClaimAction, ExpectedSegment, SegmentValue, StoreAnswer};
use oatpier_claims::partition::PartitionId;
use oatpier_membership::budget::CallKind;
use oatpier_ports::store::{ExpectedValue, StoreError, StoredValue};

use super::ClaimEnd;
use crate::store::StoreGate;

/// One store call of a claimer.
pub(super) struct StoreCall {
    call: CallNumber,
    key: String,
    work: CallWork,
}

enum CallWork {
    Write {
        value: Vec<u8>,
        expected: ExpectedValue,
    },
    Read,
    List,
    Delete,
}

impl StoreCall {
    /// Returns the store call of an action, or `None` if the action is no store call.
    pub(super) fn of(action: ClaimAction) -> Option<Self> {
        let (call, key, work) = match action {
            ClaimAction::WriteSegment {
                call,
                key,
                value,
                expected,
            } => {
                let expected = match expected {
                    ExpectedSegment::Absent => ExpectedValue::Absent,
                    ExpectedSegment::At(revision) => ExpectedValue::At(revision),
                };
                (call, key, CallWork::Write { value, expected })
            }
            ClaimAction::ReadSegment { call, key } => (call, key, CallWork::Read),
            ClaimAction::ListSegments { call, prefix } => (call, prefix, CallWork::List),
            ClaimAction::DeleteSegment { call, key } => (call, key, CallWork::Delete),
            ClaimAction::Answer { .. } | ClaimAction::Recorded { .. } => return None,
        };
        Some(Self { call, key, work })
    }
}

/// Makes a store call.
pub(super) async fn carry_out(
    gate: Arc<StoreGate>,
    partition: PartitionId,
    order: StoreCall,
) -> ClaimEnd {
    let StoreCall { call, key, work } = order;
    let kind = CallKind::KeyClaim;
    let answer = match work {
        CallWork::Write { value, expected } => {
            let written = gate.put(kind, &key, Bytes::from(value), expected).await;
            written.map(StoreAnswer::Written)
        }
        CallWork::Read => {
            let read = gate.get(kind, &key).await;
            read.map(|value| StoreAnswer::Read(value.map(segment)))
        }
        CallWork::List => {
            let listed = gate.list(kind, &key).await;
            listed.map(|values| StoreAnswer::Listed(values.into_iter().map(segment).collect()))
        }
        CallWork::Delete => {
            let deleted = gate.delete(kind, &key).await;
            deleted.map(|()| StoreAnswer::Deleted)
        }
    };
    ClaimEnd::Store {
        partition,
        call,
        answer: answer.map_or_else(|error| answer_of(&error), Some),
    }
}

fn segment(value: StoredValue) -> SegmentValue {
    SegmentValue {
        key: value.key,
        value: value.value.to_vec(),
        revision: value.revision,
    }
}

/// Converts a store error; `None` means that the call may have taken effect.
fn answer_of(error: &StoreError) -> Option<StoreAnswer> {
    match error {
        StoreError::Conflict { .. } => Some(StoreAnswer::Conflict),
        StoreError::LeaseLapsed | StoreError::Unavailable { .. } | StoreError::TooLarge { .. } => {
            Some(StoreAnswer::Unavailable)
        }
        StoreError::AnswerLost { .. } => None,
    }
}
