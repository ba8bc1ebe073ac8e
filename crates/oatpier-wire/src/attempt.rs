//! The messages by which an entry has an agent run an attempt.
//!
//! `POST /agent/attempt` carries one frame with an [`AttemptHead`], then the caller's body. The
//! answer is a stream of frames: either one [`AttemptFrame::Refused`], or
//! [`AttemptFrame::Started`], pieces, and [`AttemptFrame::Ended`], or at any point
//! [`AttemptFrame::Failed`]. A stream that stops before one of the three last frames was cut.
//! `POST /agent/cancel` carries a [`CancelAttempt`] and is answered by a [`CancelAnswer`].

use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, StatusCode};
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::refusal::Refusal;
use oatpier_types::request::AttemptSpec;
use oatpier_types::status::{AdmissionTicket, QueueReport};
use oatpier_types::verdict::RunVerdict;
use serde::{Deserialize, Serialize};

use crate::frame::{FrameError, encode_frame, split_frame};
use crate::reply::{self, Reply};

mod stream;

pub use stream::{AttemptError, AttemptFault, AttemptStream};

/// Where an agent takes attempts.
pub const ATTEMPT_PATH: &str = "/agent/attempt";

/// Where an agent takes cancels.
pub const CANCEL_PATH: &str = "/agent/cancel";

/// The longest head of an attempt, in bytes.
pub const HEAD_LIMIT: usize = 64 << 10;

/// The longest frame of an attempt's answer, in bytes. Longer pieces are split by
/// [`answer`].
pub const FRAME_LIMIT: usize = 1 << 20;

/// The most bytes of the endpoint's answer in one frame: the frame's other fields fit beside it.
pub const PIECE_LIMIT: usize = FRAME_LIMIT / 2;

/// The media type of an attempt's answer.
const FRAMES_TYPE: &str = "application/x-oatpier-frames";

/// A header that passes through.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeaderPair {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: Bytes,
}

/// The pairs of those headers whose names are in `allowed`.
#[must_use]
pub fn pick_headers(headers: &HeaderMap, allowed: &[HeaderName]) -> Vec<HeaderPair> {
    headers
        .iter()
        .filter(|(name, _)| allowed.contains(name))
        .map(|(name, value)| HeaderPair {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// The headers of the pairs; a pair that is no valid header is left out.
#[must_use]
pub fn to_headers(pairs: &[HeaderPair]) -> HeaderMap {
    pairs
        .iter()
        .filter_map(|pair| {
            let name = HeaderName::from_bytes(pair.name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(&pair.value).ok()?;
            Some((name, value))
        })
        .fold(HeaderMap::new(), |mut headers, (name, value)| {
            headers.append(name, value);
            headers
        })
}

/// What an agent gets to know of an attempt before its body.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptHead {
    /// What is to be run.
    pub spec: AttemptSpec,
    /// The newest queue report of the agent that the entry had seen.
    pub ticket: AdmissionTicket,
    /// The HTTP method towards the endpoint.
    pub method: String,
    /// The path and query towards the endpoint.
    pub path: String,
    /// The caller's headers that pass through.
    pub headers: Vec<HeaderPair>,
    /// The caller's idempotency key, hashed.
    pub key: Option<u128>,
    /// The W3C trace context of the entry's span.
    pub traceparent: Option<String>,
}

/// One message of an attempt's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AttemptFrame {
    /// The attempt did not run and never will. The last frame.
    Refused {
        /// Why.
        refusal: Refusal,
        /// The agent's queue now.
        #[serde(rename = "pulse")]
        report: QueueReport,
    },
    /// The endpoint's answer has begun.
    Started {
        /// Its HTTP status.
        status: u16,
        /// Its headers that pass through.
        headers: Vec<HeaderPair>,
        /// The agent's queue now.
        #[serde(rename = "pulse")]
        report: QueueReport,
    },
    /// Bytes of the endpoint's answer.
    Piece {
        /// The bytes.
        bytes: Bytes,
        /// Tokens that end in these bytes.
        tokens: u32,
    },
    /// The endpoint's answer came to its terminator. The last frame.
    Ended {
        /// The agent's queue now.
        #[serde(rename = "pulse")]
        report: QueueReport,
    },
    /// The attempt failed. The last frame.
    Failed {
        /// Whether it may have run.
        verdict: RunVerdict,
        /// What happened.
        cause: String,
        /// The agent's queue now.
        #[serde(rename = "pulse")]
        report: QueueReport,
    },
}

impl AttemptFrame {
    /// Whether no frame may follow.
    #[must_use]
    pub fn is_last(&self) -> bool {
        match self {
            Self::Refused { .. } | Self::Ended { .. } | Self::Failed { .. } => true,
            Self::Started { .. } | Self::Piece { .. } => false,
        }
    }

    /// The agent's queue, where the frame tells it.
    #[must_use]
    pub fn queue_report(&self) -> Option<&QueueReport> {
        match self {
            Self::Refused { report, .. }
            | Self::Started { report, .. }
            | Self::Ended { report }
            | Self::Failed { report, .. } => Some(report),
            Self::Piece { .. } => None,
        }
    }
}

/// A frame with the attempt that it belongs to, by which a crossed answer is told.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaggedFrame {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its frame.
    pub frame: AttemptFrame,
}

/// Asks an agent to give up an attempt, and to refuse it should it come later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its request.
    pub request: RequestId,
    /// The ticket that the attempt was sent with.
    pub ticket: AdmissionTicket,
    /// How far the cancel goes.
    pub reach: CancelReach,
}

/// How far a cancel goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CancelReach {
    /// An attempt that has not reached the endpoint never will; one that has is left running.
    SealOnly,
    /// An attempt that has reached the endpoint is cancelled there.
    Abort,
}

/// What became of a cancelled attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelAnswer {
    /// Whether the attempt may have run.
    pub verdict: RunVerdict,
}

/// The body of an attempt's request.
///
/// # Errors
///
/// The head can't be encoded or is over [`HEAD_LIMIT`].
pub fn encode_request(head: &AttemptHead, body: &[u8]) -> Result<Bytes, FrameError> {
    let mut output = BytesMut::with_capacity(body.len() + 1024);
    encode_frame(head, &mut output)?;
    if output.len() > HEAD_LIMIT {
        return Err(FrameError::TooLong {
            bytes: output.len(),
            limit: HEAD_LIMIT,
        });
    }
    output.extend_from_slice(body);
    Ok(output.freeze())
}

/// The head and the caller's body out of the body of an attempt's request.
///
/// # Errors
///
/// The head is cut, too long or garbled.
pub fn decode_request(mut input: Bytes) -> Result<(AttemptHead, Bytes), FrameError> {
    let head = split_frame(&mut input, HEAD_LIMIT)?;
    Ok((head, input))
}

/// The answer to an attempt: the frames, each tagged. Pieces over [`PIECE_LIMIT`] are split.
#[must_use]
pub fn answer<S>(attempt: AttemptId, frames: S) -> Reply
where
    S: Stream<Item = AttemptFrame> + Send + 'static,
{
    let encoded = frames.map(move |frame| {
        let mut output = BytesMut::new();
        split_piece(frame)
            .into_iter()
            .try_for_each(|frame| encode_frame(&TaggedFrame { attempt, frame }, &mut output))?;
        Ok(output.freeze())
    });
    reply::streamed(StatusCode::OK, FRAMES_TYPE, encoded)
}

fn split_piece(frame: AttemptFrame) -> smallvec::SmallVec<[AttemptFrame; 1]> {
    match frame {
        AttemptFrame::Piece { mut bytes, tokens } if bytes.len() > PIECE_LIMIT => {
            let mut pieces = smallvec::SmallVec::new();
            while bytes.len() > PIECE_LIMIT {
                let bytes = bytes.split_to(PIECE_LIMIT);
                pieces.push(AttemptFrame::Piece { bytes, tokens: 0 });
            }
            pieces.push(AttemptFrame::Piece { bytes, tokens });
            pieces
        }
        frame => smallvec::smallvec![frame],
    }
}
