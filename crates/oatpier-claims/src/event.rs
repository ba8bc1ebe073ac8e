//! What happens to a claimer, and what it asks for.

use std::time::Duration;

use oatpier_types::ids::{RequestId, Revision};
use oatpier_types::verdict::RunVerdict;
use smallvec::SmallVec;

use crate::message::{ClaimAnswer, ClaimAsk, ClaimFinish, ClaimRelease, KeyHash};

/// The number of one call to the store. An answer to a call that is no longer awaited is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct CallNumber(pub u64);

/// What a write expects to find under its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedSegment {
    /// Nothing.
    Absent,
    /// The value that the write with this revision left.
    At(Revision),
}

/// A value of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentValue {
    /// Where it is kept.
    pub key: String,
    /// Its bytes.
    pub value: Vec<u8>,
    /// The revision of its last write.
    pub revision: Revision,
}

/// The store's answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The write took effect.
    Written(Revision),
    /// What was there was not as expected. Nothing was written.
    Conflict,
    /// What is under the key.
    Read(Option<SegmentValue>),
    /// All values under the prefix.
    Listed(Vec<SegmentValue>),
    /// The key is removed, or was not there.
    Deleted,
    /// The call had no effect and never will.
    Unavailable,
}

/// Something that happened to the claimer of a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// This entry's view says that it is the claimer. Optional: a first ask does as well.
    Assumed,
    /// This entry's view says that another is the claimer, or it is to stop.
    Resigned,
    /// An entry asks for a key.
    Asked(ClaimAsk),
    /// An entry gives a key back.
    Released(ClaimRelease),
    /// An entry says how a request under a key ended.
    Finished(ClaimFinish),
    /// The store answered.
    StoreAnswered {
        /// Which call.
        call: CallNumber,
        /// What.
        answer: StoreAnswer,
    },
    /// No answer came: a write may have taken effect, or may yet.
    StoreLost {
        /// Which call.
        call: CallNumber,
    },
    /// The point that `next_timer` gave has come.
    Timer,
}

/// Something that the claimer has to do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Write a value, if what is there is as expected.
    WriteSegment {
        /// The call's number.
        call: CallNumber,
        /// Where.
        key: String,
        /// What.
        value: Vec<u8>,
        /// What it expects to find.
        expected: ExpectedSegment,
    },
    /// Read a value.
    ReadSegment {
        /// The call's number.
        call: CallNumber,
        /// Where.
        key: String,
    },
    /// Read all values under a prefix.
    ListSegments {
        /// The call's number.
        call: CallNumber,
        /// The prefix.
        prefix: String,
    },
    /// Remove a value that nobody needs any more, whatever is there.
    DeleteSegment {
        /// The call's number.
        call: CallNumber,
        /// Where.
        key: String,
    },
    /// Answer all asks of this request for this key.
    Answer {
        /// The key.
        key: KeyHash,
        /// The request.
        request: RequestId,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// A release or a finish is in the store: the entry need not send it again.
    Recorded {
        /// The key.
        key: KeyHash,
        /// The request.
        request: RequestId,
        /// Which word on it: [`RunVerdict::NotRun`] is a release, the others are finishes.
        verdict: RunVerdict,
    },
}

/// The actions of one step, in order.
pub type ClaimActions = SmallVec<[ClaimAction; 4]>;

/// How a claimer paces itself and what it keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimSettings {
    /// The least time between two writes of claims; the next waits for the last to end as well.
    pub write_interval: Duration,
    /// How long a release or a finish may wait for a write of claims to go along with.
    pub lazy_interval: Duration,
    /// The size from which the head is copied to a segment, in bytes.
    pub head_bytes: usize,
    /// How long a key is remembered, at least.
    pub retention: Duration,
    /// Claims that may wait for a write.
    pub waiting: usize,
    /// How long an ask may wait before it is answered "unavailable".
    pub answer_within: Duration,
    /// After a call without an answer for this long, the answer is taken as lost.
    pub call_timeout: Duration,
    /// The time before the store is tried again after it was away.
    pub retry_interval: Duration,
    /// How long a claimer that lost its partition sends askers to the new one.
    pub yield_interval: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            write_interval: Duration::from_millis(80),
            lazy_interval: Duration::from_secs(1),
            head_bytes: 2_048,
            retention: Duration::from_hours(1),
            waiting: 4_096,
            answer_within: Duration::from_millis(500),
            call_timeout: Duration::from_millis(400),
            retry_interval: Duration::from_millis(500),
            yield_interval: Duration::from_secs(2),
        }
    }
}
