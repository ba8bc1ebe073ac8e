//! Reads the configuration record from the store.

use oatpier_ports::store::{ExpectedValue, KeyStore, StoreError};
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord, RecordError};
use thiserror::Error;

use crate::error::CommandError;

/// An error of reading the record.
#[derive(Debug)]
#[derive(Error)]
pub enum ReadError {
    /// Returns an error if the store does not answer.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The stored value is not a valid record.
    #[error(transparent)]
    Record(#[from] RecordError),
}

impl From<ReadError> for CommandError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Store(source) => Self::Store {
                action: "reading the configuration",
                source,
            },
            ReadError::Record(source) => Self::Record { source },
        }
    }
}

/// A record, and the precondition of a write that replaces it.
#[derive(Debug, Clone)]
pub struct ReadRecord {
    /// The record; an empty one if none has been written yet.
    pub record: ConfigRecord,
    /// What a compare-and-swap write must find in the store.
    pub expected: ExpectedValue,
}

/// Reads the record and its revision.
///
/// # Errors
///
/// Returns an error if the store does not answer, or its value is not a valid record.
pub async fn read_record(store: &dyn KeyStore) -> Result<ReadRecord, ReadError> {
    let Some(stored) = store.get(CONFIG_KEY).await? else {
        return Ok(ReadRecord {
            record: ConfigRecord::default(),
            expected: ExpectedValue::Absent,
        });
    };
    Ok(ReadRecord {
        record: ConfigRecord::decode(&stored.value)?,
        expected: ExpectedValue::At(stored.revision),
    })
}
