//! Whole server-sent events out of a byte stream.
//!
//! An engine's stream is whole only if its `data: [DONE]` came: an HTTP body may end cleanly
//! after an engine that gave up half-way. Events are handed on whole, so that the tokens that
//! were relayed can be counted and a cut stream resumed after exactly that many.

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// The longest event, in bytes.
pub const EVENT_LIMIT: usize = 1 << 20;

/// What the last event of a stream carries.
const DONE: &[u8] = b"[DONE]";

/// An event is longer than [`EVENT_LIMIT`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("a server-sent event is over the limit of {EVENT_LIMIT} bytes")]
pub struct EventTooLong;

/// What an event is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// It carries one token.
    Token,
    /// It ends the stream: the answer is whole.
    Done,
    /// It carries no data, such as a comment.
    Other,
}

/// One event, as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// All its bytes, with the empty line that ends it.
    pub bytes: Bytes,
    /// What it is.
    pub kind: EventKind,
}

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Bytes of `pending` that are known to hold no end.
    searched: usize,
    tokens: u32,
    done: bool,
}

impl EventSplitter {
    /// A splitter at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the stream's next piece.
    pub fn push(&mut self, piece: &[u8]) {
        self.pending.extend_from_slice(piece);
    }

    /// The next whole event, if it is here.
    ///
    /// # Errors
    ///
    /// The event is longer than [`EVENT_LIMIT`]; the stream is of no use after that.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, EventTooLong> {
        let Some(end) = find_end(&self.pending, self.searched) else {
            // An end may begin in the last three bytes.
            self.searched = self.pending.len().saturating_sub(3);
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

    /// Tokens in the events handed out so far.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Whether the event that ends the stream was handed out.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Bytes of an event whose end has not come.
    #[must_use]
    pub fn rest(&self) -> &[u8] {
        self.pending.chunk()
    }
}

fn check_length(length: usize) -> Result<(), EventTooLong> {
    if length > EVENT_LIMIT {
        Err(EventTooLong)
    } else {
        Ok(())
    }
}

/// The index after the first empty line at or after `from`.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len()).find_map(|at| {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else if rest.starts_with(b"\r\n\r\n") {
            Some(at + 4)
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
