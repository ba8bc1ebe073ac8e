//! Events and actions of a claimer.

use std::time::Duration;

use oatpier_types::ids::{RequestId, Revision};
use oatpier_types::verdict::RunVerdict;
use smallvec::SmallVec;

use crate::message::{ClaimAnswer, ClaimFinish, ClaimQuery, ClaimRelease, KeyHash};

/// The number of a call to the store. An answer to a call that is no longer pending is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct CallNumber(pub u64);

/// The precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedSegment {
    /// No value exists under the key.
    Absent,
    /// The value has this revision.
    At(Revision),
}

/// A value in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentValue {
    /// The key.
    pub key: String,
    /// The content.
    pub value: Vec<u8>,
    /// The revision of its last write.
    pub revision: Revision,
}

/// The result of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The write took effect.
    Written(Revision),
    /// The precondition failed. Nothing was written.
    Conflict,
    /// The value under the key, if there is one.
    Read(Option<SegmentValue>),
    /// All values under the prefix.
    Listed(Vec<SegmentValue>),
    /// The key was removed or did not exist.
    Deleted,
    /// The call had no effect and never will.
    Unavailable,
}

/// An event at the claimer of a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The membership view of this entry selects it as the claimer. Optional: a first query has the
    /// same effect.
    OwnershipAssigned,
    /// The membership view of this entry selects another claimer, or this entry shuts down.
    OwnershipRevoked,
    /// An entry asked for a key.
    Queried(ClaimQuery),
    /// An entry released a key.
    Released(ClaimRelease),
    /// An entry reported the outcome of a request under a key.
    Finished(ClaimFinish),
    /// The store answered.
    StoreAnswered {
        /// The call.
        call: CallNumber,
        /// The result.
        answer: StoreAnswer,
    },
    /// No answer arrived: a write may have taken effect, or may still do so.
    StoreLost {
        /// The call.
        call: CallNumber,
    },
    /// The time returned by `next_timer` was reached.
    Timer,
}

/// An action that the claimer has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write a value if the precondition holds.
    WriteSegment {
        /// The call's number.
        call: CallNumber,
        /// The key.
        key: String,
        /// The content.
        value: Vec<u8>,
        /// The precondition.
        expected: ExpectedSegment,
    },
    /// Read a value.
    ReadSegment {
        /// The call's number.
        call: CallNumber,
        /// The key.
        key: String,
    },
    /// Read all values under a prefix.
    ListSegments {
        /// The call's number.
        call: CallNumber,
        /// The prefix.
        prefix: String,
    },
    /// Remove a value that is no longer needed, at any revision.
    DeleteSegment {
        /// The call's number.
        call: CallNumber,
        /// The key.
        key: String,
    },
    /// Answer all queries of this request for this key.
    Answer {
        /// The key.
        key: KeyHash,
        /// The request.
        request: RequestId,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// A release or a finish is in the store: the entry can stop resending it.
    Recorded {
        /// The key.
        key: KeyHash,
        /// The request.
        request: RequestId,
        /// The recorded outcome: [`RunVerdict::NotRun`] is a release, the others are finishes.
        verdict: RunVerdict,
    },
}

/// The actions of one step, in order.
pub type ClaimActions = SmallVec<[ClaimAction; 4]>;

/// Timing and capacity settings of a claimer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// Minimum time between two writes of claims. A write also waits for the previous one to end.
    pub write_interval: Duration,
    /// How long a release or a finish may be deferred so that it shares a write with claims.
    pub defer_interval: Duration,
    /// The size at which the records of the head are copied to a segment, in bytes.
    pub head_bytes: usize,
    /// Minimum time for which a key is remembered.
    pub retention: Duration,
    /// Maximum number of claims that wait for a write.
    pub max_waiting: usize,
    /// How long a query may wait before it is answered "unavailable".
    pub answer_timeout: Duration,
    /// Time after which the answer of a call counts as lost.
    pub call_timeout: Duration,
    /// Time before the store is tried again after it was unavailable.
    pub retry_interval: Duration,
    /// How long a claimer that lost its partition redirects queries to the new one.
    pub redirect_interval: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            write_interval: Duration::from_millis(80),
            defer_interval: Duration::from_secs(1),
            head_bytes: 2_048,
            retention: Duration::from_hours(1),
            max_waiting: 4_096,
            answer_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_millis(400),
            retry_interval: Duration::from_millis(500),
            redirect_interval: Duration::from_secs(2),
        }
    }
}
