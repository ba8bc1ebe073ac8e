//! Length-prefixed messages on a byte stream.
//!
//! A frame is a four-byte big-endian length, followed by that many bytes of `MessagePack`. The length is checked before
//! the payload is buffered, so that a peer can't make the reader buffer more than the frame limit.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The size of the length prefix.
const PREFIX_BYTES: usize = 4;

/// An error while reading or writing a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum FrameError {
    /// The frame exceeds the limit.
    #[error("a frame of {bytes} bytes exceeds the limit of {limit}")]
    TooLong {
        /// The length of the frame.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// The bytes end inside a frame.
    #[error("the bytes end inside a frame")]
    Truncated,
    /// The payload is not the expected message.
    #[error("a frame does not contain the expected message: {cause}")]
    Malformed {
        /// The decoding or encoding error.
        cause: String,
    },
}

/// Appends a message as a frame.
///
/// # Errors
///
/// Returns an error if the message can't be encoded, or its encoding is 4 GiB or longer.
pub fn encode_frame<M: Serialize>(message: &M, output: &mut BytesMut) -> Result<(), FrameError> {
    let start = output.len();
    output.put_u32(0);
    let written = rmp_serde::encode::write(&mut output.writer(), message);
    if let Err(error) = written {
        output.truncate(start);
        return Err(malformed(&error));
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

/// Removes the first frame from `input` and decodes it.
///
/// # Errors
///
/// Returns an error if the frame is truncated, too long or not an `M`.
pub fn split_frame<M: DeserializeOwned>(input: &mut Bytes, limit: usize) -> Result<M, FrameError> {
    let length = frame_length(input, limit)?.ok_or(FrameError::Truncated)?;
    if input.len() < PREFIX_BYTES + length {
        return Err(FrameError::Truncated);
    }
    input.advance(PREFIX_BYTES);
    let frame = input.split_to(length);
    decode(&frame)
}

/// Splits a byte stream into frames.
#[derive(Debug)]
pub struct FrameReader {
    pending: BytesMut,
    limit: usize,
}

impl FrameReader {
    /// Creates a reader of frames of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            pending: BytesMut::new(),
            limit,
        }
    }

    /// Appends the next piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.pending.extend_from_slice(piece);
    }

    /// Returns the next frame, if it is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too long or not an `M`. The stream can't be used after an error.
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

    /// Returns whether an incomplete frame is buffered.
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
    rmp_serde::from_slice(frame).map_err(|error| malformed(&error))
}

fn malformed(error: &dyn std::error::Error) -> FrameError {
    FrameError::Malformed {
        cause: error.to_string(),
    }
}
