//! Store calls of the claimers.

use std::sync::Arc;

use bytes::Bytes;
use oatpier_claims::event::{CallNumber, ClaimAction, ExpectedSegment, SegmentValue, StoreAnswer};
use oatpier_claims::partition::PartitionId;
use oatpier_membership::budget::CallKind;
use oatpier_ports::store::{ExpectedValue, StoreError, StoredValue};

use super::ClaimResult;
use crate::store::StoreClient;

/// One store call of a claimer.
pub(super) struct StoreCall {
    call: CallNumber,
    key: String,
    operation: StoreOperation,
}

enum StoreOperation {
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
        let (call, key, operation) = match action {
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
                (call, key, StoreOperation::Write { value, expected })
            }
            ClaimAction::ReadSegment { call, key } => (call, key, StoreOperation::Read),
            ClaimAction::ListSegments { call, prefix } => (call, prefix, StoreOperation::List),
            ClaimAction::DeleteSegment { call, key } => (call, key, StoreOperation::Delete),
            ClaimAction::Answer { .. } | ClaimAction::Recorded { .. } => return None,
        };
        Some(Self {
            call,
            key,
            operation,
        })
    }
}

/// Makes a store call.
pub(super) async fn execute(
    client: Arc<StoreClient>,
    partition: PartitionId,
    store_call: StoreCall,
) -> ClaimResult {
    let StoreCall {
        call,
        key,
        operation,
    } = store_call;
    let kind = CallKind::KeyClaim;
    let answer = match operation {
        StoreOperation::Write { value, expected } => {
            let written = client.put(kind, &key, Bytes::from(value), expected).await;
            written.map(StoreAnswer::Written)
        }
        StoreOperation::Read => {
            let read = client.get(kind, &key).await;
            read.map(|value| StoreAnswer::Read(value.map(segment)))
        }
        StoreOperation::List => {
            let listed = client.list(kind, &key).await;
            listed.map(|values| StoreAnswer::Listed(values.into_iter().map(segment).collect()))
        }
        StoreOperation::Delete => {
            let deleted = client.delete(kind, &key).await;
            deleted.map(|()| StoreAnswer::Deleted)
        }
    };
    ClaimResult::Store {
        partition,
        call,
        answer: answer.map_or_else(|error| store_answer(&error), Some),
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
fn store_answer(error: &StoreError) -> Option<StoreAnswer> {
    match error {
        StoreError::Conflict { .. } => Some(StoreAnswer::Conflict),
        StoreError::LeaseLapsed | StoreError::Unavailable { .. } | StoreError::TooLarge { .. } => {
            Some(StoreAnswer::Unavailable)
        }
        StoreError::AnswerLost { .. } => None,
    }
}
