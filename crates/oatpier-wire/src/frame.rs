//! Length-prefixed messages on a byte stream.
//!
//! A frame is a length of four bytes, big end first, and so many bytes of `rmp-serde`. The length
//! is checked before anything is kept, so that a peer can't make us hold more than a frame.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Bytes of the length.
const PREFIX_BYTES: usize = 4;

/// A frame can't be read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum FrameError {
    /// The frame is longer than the reader takes.
    #[error("a frame of {bytes} bytes is over the limit of {limit}")]
    TooLong {
        /// Its length.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// The bytes end inside a frame.
    #[error("the bytes end inside a frame")]
    Cut,
    /// The bytes are not the message that was expected.
    #[error("a frame does not hold the expected message: {cause}")]
    Garbled {
        /// What is wrong.
        cause: String,
    },
}

/// Appends a message as a frame.
///
/// # Errors
///
/// The message can't be encoded, or is 4 GiB long.
pub fn encode_frame<M: Serialize>(message: &M, output: &mut BytesMut) -> Result<(), FrameError> {
    let start = output.len();
    output.put_u32(0);
    let written = rmp_serde::encode::write(&mut output.writer(), message);
    if let Err(error) = written {
        output.truncate(start);
        return Err(garbled(&error));
    }
    let bytes = output.len() - start - PREFIX_BYTES;
    let Ok(length) = u32::try_from(bytes) else {
        output.truncate(start);
        return Err(FrameError::TooLong {
            bytes,
            limit: u32::MAX as usize,
        });
    };
    output[start..start + PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Takes the first frame off `input`, and leaves what follows it.
///
/// # Errors
///
/// The frame is cut, too long or not an `M`.
pub fn split_frame<M: DeserializeOwned>(input: &mut Bytes, limit: usize) -> Result<M, FrameError> {
    let length = frame_length(input, limit)?.ok_or(FrameError::Cut)?;
    if input.len() < PREFIX_BYTES + length {
        return Err(FrameError::Cut);
    }
    input.advance(PREFIX_BYTES);
    let frame = input.split_to(length);
    decode(&frame)
}

/// Cuts a stream of pieces into frames.
#[derive(Debug)]
pub struct FrameReader {
    pending: BytesMut,
    limit: usize,
}

impl FrameReader {
    /// A reader of frames of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            pending: BytesMut::new(),
            limit,
        }
    }

    /// Takes the stream's next piece.
    pub fn push(&mut self, piece: &[u8]) {
        self.pending.extend_from_slice(piece);
    }

    /// The next whole frame, if it is here.
    ///
    /// # Errors
    ///
    /// The frame is too long or not an `M`. The stream is of no use after that.
    pub fn next_frame<M: DeserializeOwned>(&mut self) -> Result<Option<M>, FrameError> {
        let Some(length) = frame_length(&self.pending, self.limit)? else {
            return Ok(None);
        };
        if self.pending.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.pending.advance(PREFIX_BYTES);
        let frame = self.pending.split_to(length);
        decode(&frame).map(Some)
    }

    /// Whether part of a frame is waiting for its rest.
    #[must_use]
    pub fn is_inside_frame(&self) -> bool {
        !self.pending.is_empty()
    }
}

fn frame_length(input: &[u8], limit: usize) -> Result<Option<usize>, FrameError> {
    let Some(prefix) = input.first_chunk::<PREFIX_BYTES>() else {
        return Ok(None);
    };
    let bytes = u32::from_be_bytes(*prefix) as usize;
    if bytes > limit {
        return Err(FrameError::TooLong { bytes, limit });
    }
    Ok(Some(bytes))
}

fn decode<M: DeserializeOwned>(frame: &[u8]) -> Result<M, FrameError> {
    rmp_serde::from_slice(frame).map_err(|error| garbled(&error))
}

fn garbled(error: &dyn std::error::Error) -> FrameError {
    FrameError::Garbled {
        cause: error.to_string(),
    }
}
