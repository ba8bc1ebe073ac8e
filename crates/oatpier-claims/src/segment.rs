//! The values of a partition in the store.
//!
//! A partition is a log of records with rising positions. Its newest records are in one value,
//! the head, and only a compare-and-swap on the head appends. When the head has grown, its records
//! are first copied to a closed segment under a key of their own, which is never changed, and
//! then left out of the next head. So every append of every claimer, whether it owns the partition
//! or still believes so, meets the same key and the same revision: one wins.
//!
//! The head is never removed. A chain of create-only segments would do without it, but then a
//! claimer that was paused for longer than the retention could create a segment anew whose first
//! life was removed, and would grant beside the present owner.

use oatpier_types::ids::{BootId, RequestId, Revision};
use oatpier_types::names::DaemonName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::event::SegmentValue;
use crate::message::{KeyHash, RequestFingerprint};
use crate::partition::{PARTITION_COUNT, PartitionId};

/// The layout of the values. Another one is not read.
pub const LAYOUT: u8 = 1;

/// One record of a partition's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum LogRecord {
    /// A request has the key.
    #[serde(rename = "c")]
    Claim {
        /// The key.
        key: KeyHash,
        /// What the request asks for.
        fingerprint: RequestFingerprint,
        /// The request.
        request: RequestId,
    },
    /// The claim at this position is given back: its request has not run and never will.
    #[serde(rename = "r")]
    Release {
        /// The claim's position.
        claim: u64,
    },
    /// The request of the claim at this position is over.
    #[serde(rename = "f")]
    Finish {
        /// The claim's position.
        claim: u64,
        /// Whether it ran to its end; if not, it may have run.
        ran: bool,
    },
}

/// The one value of a partition on which all appends meet.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartitionHead {
    /// [`LAYOUT`].
    pub layout: u8,
    /// Counts up by one with each take-over.
    pub epoch: u64,
    /// The claimer.
    pub owner: DaemonName,
    /// The claimer's start.
    pub boot: BootId,
    /// The number of this write in the epoch; finds the write again after a lost answer.
    pub write: u64,
    /// The partition's clock: the time that its owners have seen pass, in milliseconds. It stands
    /// still between two owners, so it never runs ahead, and nothing expires too soon.
    pub clock_ms: u64,
    /// The first position that is still kept.
    pub floor: u64,
    /// The position of the first of `records`; those before it are in closed segments.
    pub base: u64,
    /// The newest records.
    pub records: Vec<LogRecord>,
}

impl PartitionHead {
    /// The head of a partition that nobody owned before.
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

    /// The position after the last record.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.base + self.records.len() as u64
    }

    /// Whether both are the same write of the same owner.
    #[must_use]
    pub fn is_write(&self, other: &Self) -> bool {
        (self.epoch, self.boot, self.write) == (other.epoch, other.boot, other.write)
    }
}

/// A closed segment: a copy of a range of the log, never changed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClosedSegment {
    /// [`LAYOUT`].
    pub layout: u8,
    /// The position of its first record.
    pub base: u64,
    /// The partition's clock when it was closed: no record in it is newer.
    pub clock_ms: u64,
    /// The records.
    pub records: Vec<LogRecord>,
}

/// A closed segment in the store, without its records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentInfo {
    /// Its key.
    pub key: String,
    /// The position after its last record.
    pub end: u64,
    /// The partition's clock when it was closed.
    pub clock_ms: u64,
}

/// Why a partition can't be read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum SegmentError {
    /// A value is not of this layout.
    #[error("the value under `{key}` is no claims segment of layout {LAYOUT}: {cause}")]
    Malformed {
        /// Its key.
        key: String,
        /// What is wrong.
        cause: String,
    },
    /// Records are missing between two segments.
    #[error("records {from} to {to} of the claims log are missing")]
    Gap {
        /// The first missing position.
        from: u64,
        /// The first one that is there again.
        to: u64,
    },
}

/// All keys of all partitions of this layout start with this.
fn partition_prefix(partition: PartitionId) -> String {
    format!("claim/{PARTITION_COUNT}/{partition}/")
}

/// The key of a partition's head.
#[must_use]
pub fn head_key(partition: PartitionId) -> String {
    partition_prefix(partition) + "head"
}

/// The prefix of a partition's closed segments.
#[must_use]
pub fn segment_prefix(partition: PartitionId) -> String {
    partition_prefix(partition) + "segment/"
}

/// The key of a closed segment. The epoch keeps apart the copies that a former owner and its
/// successor make from the same base: if their settings differ, the former's may be shorter, and
/// must not stand in for the longer one.
#[must_use]
pub fn segment_key(partition: PartitionId, base: u64, epoch: u64) -> String {
    format!("{}{base:016x}-{epoch:x}", segment_prefix(partition))
}

/// The bytes of a value.
#[must_use]
pub fn encode<V: Serialize>(value: &V) -> Vec<u8> {
    // Writing plain data to memory does not fail; an empty value would be refused on reading.
    rmp_serde::to_vec(value).unwrap_or_default()
}

/// Reads a head.
///
/// # Errors
///
/// [`SegmentError::Malformed`].
pub fn decode_head(value: &SegmentValue) -> Result<PartitionHead, SegmentError> {
    let head: PartitionHead = decode(value)?;
    check_layout(value, head.layout)?;
    Ok(head)
}

/// Reads a closed segment.
///
/// # Errors
///
/// [`SegmentError::Malformed`].
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
        cause: format!("its layout is {layout}"),
    })
}

/// A head that is known to be in the store, or to have been there last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KnownHead {
    pub head: PartitionHead,
    /// None: there is no head yet.
    pub revision: Option<Revision>,
}
