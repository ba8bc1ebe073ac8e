//! Splits a byte stream into server-sent events.
//!
//! An engine's stream is complete only if it contains `data: [DONE]`: an HTTP body may also end cleanly after an
//! engine failed midway. Only complete events are returned, so that relayed tokens can be counted and an interrupted
//! stream can be resumed after exactly that many.

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// The maximum size of an event in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// The data of the last event of a stream.
const DONE: &[u8] = b"[DONE]";

/// The error for an event longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("a server-sent event exceeds the limit of {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// The kind of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// Carries one token.
    Token,
    /// Ends the stream: the response is complete.
    Done,
    /// Carries no data, such as a comment.
    Other,
}

/// A server-sent event as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// All bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
    /// The kind of the event.
    pub kind: EventKind,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// The number of bytes of `pending` known not to contain the end of an event.
    searched: usize,
    tokens: u32,
    done: bool,
}

impl EventSplitter {
    /// Creates a splitter for the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.pending.extend_from_slice(piece);
    }

    /// Returns the next event, if it is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the event is longer than [`MAX_EVENT_BYTES`]. The stream can't be used after an error.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, EventTooLong> {
        let Some(end) = find_end(&self.pending, self.searched) else {
            // The end of an event may begin in the last two bytes.
            self.searched = self.pending.len().saturating_sub(2);
            return check_length(self.pending.len()).map(|()| None);
        };
        check_length(end)?;
        self.searched = 0;
        let bytes = self.pending.split_to(end).freeze();
        let kind = kind_of(&bytes);
        self.tokens += u32::from(kind == EventKind::Token);
        self.done |= kind == EventKind::Done;
        Ok(Some(SseEvent { bytes, kind }))
    }

    /// Returns the number of tokens in the events returned so far.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns whether the event that ends the stream was returned.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the bytes of an incomplete event.
    #[must_use]
    pub fn rest(&self) -> &[u8] {
        self.pending.chunk()
    }
}

fn check_length(length: usize) -> Result<(), EventTooLong> {
    if length > MAX_EVENT_BYTES {
        Err(EventTooLong)
    } else {
        Ok(())
    }
}

/// Returns the index after the first empty line at or after `from`.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\n\r\n") {
            Some(at + 3)
        } else {
            None
        }
    })
}

fn kind_of(event: &[u8]) -> EventKind {
    let data = event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"data:"))
        .map(<[u8]>::trim_ascii)
        .next();
    match data {
        Some(DONE) => EventKind::Done,
        Some(_) => EventKind::Token,
        None => EventKind::Other,
    }
}
