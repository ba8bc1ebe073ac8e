//! How a prompt's prefixes are named, so that entries and engines mean the same block.
//!
//! Entries estimate from it what an engine has cached; engines publish changes of their caches
//! under the same names. A block of one model is of no use to another, so the model is mixed in.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::request::PrefixChain;

/// Bytes that stand for one token where nobody has counted.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens of one block.
pub const BLOCK_TOKENS: u32 = 64;
/// Bytes of one block.
pub const BLOCK_BYTES: usize = BYTES_PER_TOKEN * BLOCK_TOKENS as usize;
/// The most blocks of one prompt that are named.
pub const MAX_BLOCKS: usize = 32;

/// The growing prefixes of a prompt to a model or adapter, shortest first, one for each whole
/// block.
#[must_use]
pub fn prefix_chain(target: &str, prompt: &str) -> PrefixChain {
    let seed = xxh3_64(target.as_bytes());
    let blocks = (prompt.len() / BLOCK_BYTES).min(MAX_BLOCKS);
    (1..=blocks)
        .map(|count| xxh3_64_with_seed(&prompt.as_bytes()[..count * BLOCK_BYTES], seed))
        .collect()
}
