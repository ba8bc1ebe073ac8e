//! Stored values of a partition.
//!
//! A partition is a log of records at increasing positions. Its newest records are in one value,
//! the head, and records are appended only by a compare-and-swap on the head. When the head has
//! grown to its size limit, its records are first copied to a closed segment under a key of its
//! own, which is never changed, and then omitted from the next head. Every append of every claimer,
//! whether it owns the partition or has outdated state, therefore uses the same key and the same
//! revision, and only one succeeds.
//!
//! The head is never removed. A chain of create-only segments would not need a head. But a claimer
//! that was paused for longer than the retention could then create a segment again that had been
//! removed, and would grant claims concurrently with the current owner.

use oatpier_types::ids::{BootId, RequestId, Revision};
use oatpier_types::names::DaemonName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::event::SegmentValue;
use crate::message::{KeyHash, RequestFingerprint};
use crate::partition::{PARTITION_COUNT, PartitionId};

/// Layout version of the values. Values of other versions are not read.
pub const LAYOUT: u8 = 1;

/// One record of a partition's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum LogRecord {
    /// A request claimed the key.
    #[serde(rename = "c")]
    Claim {
        /// The key.
        key: KeyHash,
        /// The fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// The request.
        request: RequestId,
    },
    /// The claim at this position is released: its request has not run and never will.
    #[serde(rename = "r")]
    Release {
        /// The claim's position.
        claim: u64,
    },
    /// The request of the claim at this position has finished.
    #[serde(rename = "f")]
    Finish {
        /// The claim's position.
        claim: u64,
        /// Whether it ran to completion; if not, it may have run.
        ran: bool,
    },
}

/// The value of a partition that every append replaces by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartitionHead {
    /// [`LAYOUT`].
    pub layout: u8,
    /// Increases by one with each takeover.
    pub epoch: u64,
    /// The claimer that owns the partition.
    pub owner: DaemonName,
    /// The boot id of the owner's process.
    pub boot: BootId,
    /// The number of this write in the epoch; identifies the write after a lost answer.
    pub write: u64,
    /// The partition's clock: the total time for which it had an owner, in milliseconds. It does
    /// not advance between two owners, so it never runs fast and nothing expires early.
    pub clock_ms: u64,
    /// The first position that is retained.
    pub floor: u64,
    /// The position of the first of `records`; earlier records are in closed segments.
    pub base: u64,
    /// The newest records.
    pub records: Vec<LogRecord>,
}

impl PartitionHead {
    /// Creates the head of a partition that had no owner before.
    #[must_use]
    pub fn first(owner: DaemonName, boot: BootId) -> Self {
        Self {
            layout: LAYOUT,
            epoch: 1,
            owner,
            boot,
            write: 0,
            clock_ms: 0,
            floor: 0,
            base: 0,
            records: Vec::new(),
        }
    }

    /// Returns the position after the last record.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.base + self.records.len() as u64
    }

    /// Returns whether both are the same write of the same owner.
    #[must_use]
    pub fn is_write(&self, other: &Self) -> bool {
        (self.epoch, self.boot, self.write) == (other.epoch, other.boot, other.write)
    }
}

/// A closed segment: an immutable copy of a range of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClosedSegment {
    /// [`LAYOUT`].
    pub layout: u8,
    /// The position of the first record.
    pub base: u64,
    /// The partition's clock when the segment was closed: no record in it is newer.
    pub clock_ms: u64,
    /// The records.
    pub records: Vec<LogRecord>,
}

/// Metadata of a closed segment in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentInfo {
    /// The key of the segment.
    pub key: String,
    /// The position after the last record.
    pub end: u64,
    /// The partition's clock when the segment was closed.
    pub clock_ms: u64,
}

/// Reasons why a partition can't be read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum SegmentError {
    /// A value does not have this layout.
    #[error("the value under `{key}` is not a claims segment of layout {LAYOUT}: {cause}")]
    Malformed {
        /// The key of the value.
        key: String,
        /// The cause.
        cause: String,
    },
    /// Records are missing between two segments.
    #[error("records {from} to {to} of the claims log are missing")]
    Gap {
        /// The first missing position.
        from: u64,
        /// The first position that is present again.
        to: u64,
    },
}

/// Returns the prefix of all keys of a partition in this layout.
fn partition_prefix(partition: PartitionId) -> String {
    format!("claim/{PARTITION_COUNT}/{partition}/")
}

/// Returns the key of a partition's head.
#[must_use]
pub fn head_key(partition: PartitionId) -> String {
    partition_prefix(partition) + "head"
}

/// Returns the prefix of a partition's closed segments.
#[must_use]
pub fn segment_prefix(partition: PartitionId) -> String {
    partition_prefix(partition) + "segment/"
}

/// Returns the key of a closed segment. The epoch distinguishes the copies that a previous owner
/// and its successor make from the same base. If their settings differ, the copy of the previous
/// owner may be shorter, and must not replace the longer one.
#[must_use]
pub fn segment_key(partition: PartitionId, base: u64, epoch: u64) -> String {
    format!("{}{base:016x}-{epoch:x}", segment_prefix(partition))
}

/// Encodes a value.
#[must_use]
pub fn encode<V: Serialize>(value: &V) -> Vec<u8> {
    // Serializing plain data to memory does not fail; an empty value would be rejected by the
    // decoder.
    rmp_serde::to_vec(value).unwrap_or_default()
}

/// Decodes a head.
///
/// # Errors
///
/// Returns [`SegmentError::Malformed`] if the value can't be decoded or has another layout.
pub fn decode_head(value: &SegmentValue) -> Result<PartitionHead, SegmentError> {
    let head: PartitionHead = decode(value)?;
    check_layout(value, head.layout)?;
    Ok(head)
}

/// Decodes a closed segment.
///
/// # Errors
///
/// Returns [`SegmentError::Malformed`] if the value can't be decoded or has another layout.
pub fn decode_segment(value: &SegmentValue) -> Result<ClosedSegment, SegmentError> {
    let segment: ClosedSegment = decode(value)?;
    check_layout(value, segment.layout)?;
    Ok(segment)
}

fn decode<'a, V: Deserialize<'a>>(value: &'a SegmentValue) -> Result<V, SegmentError> {
    rmp_serde::from_slice(&value.value).map_err(|error| SegmentError::Malformed {
        key: value.key.clone(),
        cause: error.to_string(),
    })
}

fn check_layout(value: &SegmentValue, layout: u8) -> Result<(), SegmentError> {
    if layout == LAYOUT {
        return Ok(());
    }
    Err(SegmentError::Malformed {
        key: value.key.clone(),
        cause: format!("unsupported layout {layout}"),
    })
}

/// The head that was last known to be in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KnownHead {
    pub head: PartitionHead,
    /// None if there is no head yet.
    pub revision: Option<Revision>,
}
