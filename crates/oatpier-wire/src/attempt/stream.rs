//! The entry's side of an attempt's answer.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use oatpier_types::ids::AttemptId;
use oatpier_types::verdict::RunVerdict;
use thiserror::Error;

use super::{AttemptFrame, FRAME_LIMIT, TaggedFrame};
use crate::client::AnswerBody;
use crate::frame::FrameReader;

/// How long the end of a finished answer is waited for before its connection is given up.
const END_WAIT: Duration = Duration::from_secs(1);

/// What is wrong with an attempt's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFault {
    /// The answer stopped before its last frame.
    Cut,
    /// The bytes are no frames.
    Garbled,
    /// The frames come in an order that no agent sends.
    Disordered,
}

impl fmt::Display for AttemptFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Cut => "cut",
            Self::Garbled => "garbled",
            Self::Disordered => "out of order",
        })
    }
}

/// An attempt's answer can't be read on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("the agent's answer is {fault} ({verdict}): {cause}")]
pub struct AttemptError {
    /// Whether the attempt may have run.
    pub verdict: RunVerdict,
    /// What is wrong.
    pub fault: AttemptFault,
    /// What happened.
    pub cause: String,
}

/// The answer to an attempt, frame by frame. Dropping it before its last frame closes the
/// connection, by which the agent learns that nobody waits for the attempt.
pub struct AttemptStream {
    attempt: AttemptId,
    body: Option<AnswerBody>,
    reader: FrameReader,
    started: bool,
    ended: bool,
    crossed: Arc<AtomicU64>,
}

impl AttemptStream {
    pub(crate) fn new(attempt: AttemptId, body: AnswerBody, crossed: Arc<AtomicU64>) -> Self {
        Self {
            attempt,
            body: Some(body),
            reader: FrameReader::new(FRAME_LIMIT),
            started: false,
            ended: false,
            crossed,
        }
    }

    /// The attempt whose answer this is.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// The next frame. Not to be called after the last one: it then reports a cut.
    ///
    /// Safe to drop and call again, as in `tokio::select!`.
    ///
    /// # Errors
    ///
    /// The answer was cut, or is not an agent's. The verdict is "may have run" in all these
    /// cases: a refusal that did not come whole is no refusal.
    pub async fn next(&mut self) -> Result<AttemptFrame, AttemptError> {
        loop {
            let frame = self
                .reader
                .next_frame::<TaggedFrame>()
                .map_err(|error| fail(AttemptFault::Garbled, error))?;
            match frame {
                Some(tagged) if tagged.attempt == self.attempt => return self.take(tagged.frame),
                // A frame of another attempt: an answer that was crossed. Relaying it would give
                // a caller someone else's answer.
                Some(_) => {
                    self.crossed.fetch_add(1, Ordering::Relaxed);
                }
                None => self.read_more().await?,
            }
        }
    }

    fn take(&mut self, frame: AttemptFrame) -> Result<AttemptFrame, AttemptError> {
        let starts = matches!(frame, AttemptFrame::Started { .. });
        let needs_start = matches!(
            frame,
            AttemptFrame::Piece { .. } | AttemptFrame::Ended { .. }
        );
        let refuses = matches!(frame, AttemptFrame::Refused { .. });
        let is_ordered = if self.started {
            !starts && !refuses
        } else {
            !needs_start
        };
        if self.ended || !is_ordered {
            return Err(fail(
                AttemptFault::Disordered,
                "a frame came where it can't be",
            ));
        }
        self.started |= starts;
        if frame.is_last() {
            self.ended = true;
            self.finish();
        }
        Ok(frame)
    }

    async fn read_more(&mut self) -> Result<(), AttemptError> {
        let Some(body) = self.body.as_mut() else {
            return Err(fail(AttemptFault::Cut, "the answer is over"));
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
                Err(fail(AttemptFault::Cut, error))
            }
            None => {
                self.body = None;
                Err(fail(AttemptFault::Cut, "it ended without its last frame"))
            }
        }
    }

    /// Reads the rest of the HTTP body, which is empty, so that the connection can be reused.
    fn finish(&mut self) {
        let Some(mut body) = self.body.take() else {
            return;
        };
        if hyper::body::Body::is_end_stream(&body) {
            return;
        }
        tokio::spawn(tokio::time::timeout(END_WAIT, async move {
            while let Some(Ok(_)) = body.frame().await {}
        }));
    }
}

fn fail(fault: AttemptFault, cause: impl fmt::Display) -> AttemptError {
    AttemptError {
        verdict: RunVerdict::MayHaveRun,
        fault,
        cause: cause.to_string(),
    }
}
