//! Reading the configuration record from the store.

use oatpier_ports::store::{ExpectedValue, KeyStore, StoreError};
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord, RecordError};
use thiserror::Error;

use crate::error::CommandError;

/// Why the record can't be had.
#[derive(Debug)]
#[derive(Error)]
pub enum ReadError {
    /// The store did not answer.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// What it holds is no record.
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

/// A record, and what a write that replaces it expects to find.
#[derive(Debug, Clone)]
pub struct ReadRecord {
    /// The record; an empty one if none was ever written.
    pub record: ConfigRecord,
    /// What is in the store now.
    pub expected: ExpectedValue,
}

/// Reads the record.
///
/// # Errors
///
/// The store did not answer, or holds no record.
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
