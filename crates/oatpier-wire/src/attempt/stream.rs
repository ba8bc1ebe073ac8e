//! Reads an attempt's response on the entry.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use oatpier_types::ids::AttemptId;
use oatpier_types::verdict::RunVerdict;
use thiserror::Error;

use super::{AttemptFrame, MAX_FRAME_BYTES, TaggedFrame};
use crate::client::ResponseBody;
use crate::frame::FrameReader;

/// How long to wait for the end of the HTTP body after the final frame before the connection is closed.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// The kind of fault in an attempt's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFault {
    /// The response stopped before its final frame.
    Truncated,
    /// The bytes are not valid frames.
    Malformed,
    /// The frames are in an invalid order.
    OutOfOrder,
}

impl fmt::Display for AttemptFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Truncated => "cut",
            Self::Malformed => "garbled",
            Self::OutOfOrder => "out of order",
        })
    }
}

/// An error while reading an attempt's response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("the agent's response is {fault} ({verdict}): {cause}")]
pub struct AttemptError {
    /// Whether the attempt may have been executed.
    pub verdict: RunVerdict,
    /// The kind of fault.
    pub fault: AttemptFault,
    /// The cause of the fault.
    pub cause: String,
}

/// The response to an attempt as a stream of frames. Dropping it before the final frame closes the connection, which
/// signals the agent that the response is no longer needed.
pub struct AttemptStream {
    attempt: AttemptId,
    body: Option<ResponseBody>,
    reader: FrameReader,
    started: bool,
    ended: bool,
    misrouted: Arc<AtomicU64>,
}

impl AttemptStream {
    pub(crate) fn new(attempt: AttemptId, body: ResponseBody, misrouted: Arc<AtomicU64>) -> Self {
        Self {
            attempt,
            body: Some(body),
            reader: FrameReader::new(MAX_FRAME_BYTES),
            started: false,
            ended: false,
            misrouted,
        }
    }

    /// Returns the attempt that the response belongs to.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Waits for the next frame. Must not be called after the final frame, where it reports
    /// [`AttemptFault::Truncated`].
    ///
    /// Cancel safe: the future may be dropped and the method called again, as in `tokio::select!`.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is truncated or not valid. The verdict is always
    /// [`RunVerdict::MayHaveRun`], because an incomplete refusal does not count as a refusal.
    pub async fn next(&mut self) -> Result<AttemptFrame, AttemptError> {
        loop {
            let frame = self
                .reader
                .next_frame::<TaggedFrame>()
                .map_err(|error| stream_error(AttemptFault::Malformed, error))?;
            match frame {
                Some(tagged) if tagged.attempt == self.attempt => return self.accept(tagged.frame),
                // A misrouted frame of another attempt. Relaying it would give a caller the response to another caller.
                Some(_) => {
                    self.misrouted.fetch_add(1, Ordering::Relaxed);
                }
                None => self.read_more().await?,
            }
        }
    }

    fn accept(&mut self, frame: AttemptFrame) -> Result<AttemptFrame, AttemptError> {
        let is_start = matches!(frame, AttemptFrame::Started { .. });
        let needs_start = matches!(
            frame,
            AttemptFrame::Piece { .. } | AttemptFrame::Ended { .. }
        );
        let is_refusal = matches!(frame, AttemptFrame::Refused { .. });
        let is_ordered = if self.started {
            !is_start && !is_refusal
        } else {
            !needs_start
        };
        if self.ended || !is_ordered {
            return Err(stream_error(
                AttemptFault::OutOfOrder,
                "a frame is not allowed at its position",
            ));
        }
        self.started |= is_start;
        if frame.is_last() {
            self.ended = true;
            self.finish();
        }
        Ok(frame)
    }

    async fn read_more(&mut self) -> Result<(), AttemptError> {
        let Some(body) = self.body.as_mut() else {
            return Err(stream_error(
                AttemptFault::Truncated,
                "the response has already ended",
            ));
        };
        match body.frame().await {
            Some(Ok(piece)) => {
                if let Some(bytes) = piece.data_ref() {
                    self.reader.push(bytes);
                }
                Ok(())
            }
            Some(Err(error)) => {
                self.body = None;
                Err(stream_error(AttemptFault::Truncated, error))
            }
            None => {
                self.body = None;
                Err(stream_error(
                    AttemptFault::Truncated,
                    "the response ended without its final frame",
                ))
            }
        }
    }

    /// Reads the HTTP body to its end, which carries no more data, so that the connection can be reused.
    fn finish(&mut self) {
        let Some(mut body) = self.body.take() else {
            return;
        };
        if hyper::body::Body::is_end_stream(&body) {
            return;
        }
        tokio::spawn(tokio::time::timeout(END_TIMEOUT, async move {
            while let Some(Ok(_)) = body.frame().await {}
        }));
    }
}

fn stream_error(fault: AttemptFault, cause: impl fmt::Display) -> AttemptError {
    AttemptError {
        verdict: RunVerdict::MayHaveRun,
        fault,
        cause: cause.to_string(),
    }
}
