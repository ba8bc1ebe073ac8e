//! The messages with which an entry runs an attempt on an agent.
//!
//! `POST /agent/attempt` carries one frame with an [`AttemptHead`], then the caller's body. The response is a stream
//! of frames: either a single [`AttemptFrame::Refused`], or [`AttemptFrame::Started`], pieces and
//! [`AttemptFrame::Ended`], or [`AttemptFrame::Failed`] at any point. A stream that stops before one of the three
//! final frames was truncated. `POST /agent/cancel` carries a [`CancelAttempt`]; its response is a [`CancelResponse`].

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

/// The path at which an agent accepts attempts.
pub const ATTEMPT_PATH: &str = "/agent/attempt";

/// The path at which an agent accepts cancellations.
pub const CANCEL_PATH: &str = "/agent/cancel";

/// The maximum size of an attempt's head in bytes.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// The maximum size of a frame of an attempt's response in bytes. [`build_response`] splits longer pieces.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// The maximum number of response bytes in one frame, which leaves room for the frame's other fields.
pub const MAX_PIECE_BYTES: usize = MAX_FRAME_BYTES / 2;

/// The media type of an attempt's response.
const FRAMES_MEDIA_TYPE: &str = "application/x-oatpier-frames";

/// A header that is forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeaderPair {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: Bytes,
}

/// Returns the headers whose names are in `allowed`, as pairs.
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

/// Converts pairs to headers. Pairs that are not valid headers are skipped.
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

/// The metadata of an attempt, sent to the agent before the body.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptHead {
    /// The specification of the attempt.
    pub spec: AttemptSpec,
    /// Identifies the agent's newest queue report that the entry had received.
    pub ticket: AdmissionTicket,
    /// The HTTP method of the request to the endpoint.
    pub method: String,
    /// The path and query of the request to the endpoint.
    pub path: String,
    /// The caller's headers that are forwarded.
    pub headers: Vec<HeaderPair>,
    /// The hash of the caller's idempotency key.
    pub key: Option<u128>,
    /// The W3C trace context of the entry's span.
    pub traceparent: Option<String>,
}

/// One message of an attempt's response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AttemptFrame {
    /// The attempt was not executed and never will be. A final frame.
    Refused {
        /// The reason of the refusal.
        refusal: Refusal,
        /// The agent's current queue state.
        #[serde(rename = "pulse")]
        report: QueueReport,
    },
    /// The endpoint's response has begun.
    Started {
        /// The HTTP status of the response.
        status: u16,
        /// The headers of the response that are forwarded.
        headers: Vec<HeaderPair>,
        /// The agent's current queue state.
        #[serde(rename = "pulse")]
        report: QueueReport,
    },
    /// Bytes of the endpoint's response body.
    Piece {
        /// The bytes.
        bytes: Bytes,
        /// The number of tokens that end in these bytes.
        tokens: u32,
    },
    /// The endpoint's response is complete. A final frame.
    Ended {
        /// The agent's current queue state.
        #[serde(rename = "pulse")]
        report: QueueReport,
    },
    /// The attempt failed. A final frame.
    Failed {
        /// Whether the attempt may have been executed.
        verdict: RunVerdict,
        /// The cause of the failure.
        cause: String,
        /// The agent's current queue state.
        #[serde(rename = "pulse")]
        report: QueueReport,
    },
}

impl AttemptFrame {
    /// Returns whether no frame may follow this one.
    #[must_use]
    pub fn is_last(&self) -> bool {
        match self {
            Self::Refused { .. } | Self::Ended { .. } | Self::Failed { .. } => true,
            Self::Started { .. } | Self::Piece { .. } => false,
        }
    }

    /// Returns the agent's queue state, if the frame contains it.
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

/// A frame with the attempt that it belongs to, so that misrouted frames are detected.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaggedFrame {
    /// The attempt.
    pub attempt: AttemptId,
    /// The frame itself.
    pub frame: AttemptFrame,
}

/// A request to an agent to cancel an attempt, and to refuse the attempt if it arrives later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The ticket that the attempt was sent with.
    pub ticket: AdmissionTicket,
    /// The scope of the cancellation.
    #[serde(rename = "reach")]
    pub scope: CancelScope,
}

/// The scope of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CancelScope {
    /// Prevents the attempt from reaching the endpoint. An attempt that has already reached it keeps running.
    SealOnly,
    /// Cancels the attempt even if it has reached the endpoint.
    Abort,
}

/// The outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CancelResponse {
    /// Whether the attempt may have been executed.
    pub verdict: RunVerdict,
}

/// Encodes the body of an attempt's request.
///
/// # Errors
///
/// Returns an error if the head can't be encoded or exceeds [`MAX_HEAD_BYTES`].
pub fn encode_request(head: &AttemptHead, body: &[u8]) -> Result<Bytes, FrameError> {
    let mut output = BytesMut::with_capacity(body.len() + 1024);
    encode_frame(head, &mut output)?;
    if output.len() > MAX_HEAD_BYTES {
        return Err(FrameError::TooLong {
            bytes: output.len(),
            limit: MAX_HEAD_BYTES,
        });
    }
    output.extend_from_slice(body);
    Ok(output.freeze())
}

/// Splits the body of an attempt's request into the head and the caller's body.
///
/// # Errors
///
/// Returns an error if the head is truncated, too long or malformed.
pub fn decode_request(mut input: Bytes) -> Result<(AttemptHead, Bytes), FrameError> {
    let head = split_frame(&mut input, MAX_HEAD_BYTES)?;
    Ok((head, input))
}

/// Builds the response to an attempt from its frames, each tagged with the attempt. Pieces over [`MAX_PIECE_BYTES`] are
/// split.
#[must_use]
pub fn build_response<S>(attempt: AttemptId, frames: S) -> Reply
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
    reply::streamed(StatusCode::OK, FRAMES_MEDIA_TYPE, encoded)
}

fn split_piece(frame: AttemptFrame) -> smallvec::SmallVec<[AttemptFrame; 1]> {
    match frame {
        AttemptFrame::Piece { mut bytes, tokens } if bytes.len() > MAX_PIECE_BYTES => {
            let mut pieces = smallvec::SmallVec::new();
            while bytes.len() > MAX_PIECE_BYTES {
                let bytes = bytes.split_to(MAX_PIECE_BYTES);
                pieces.push(AttemptFrame::Piece { bytes, tokens: 0 });
            }
            pieces.push(AttemptFrame::Piece { bytes, tokens });
            pieces
        }
        frame => smallvec::smallvec![frame],
    }
}
