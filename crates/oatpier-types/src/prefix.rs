//! Hashes of prompt prefixes, which entries and engines use to identify the same cache block.
//!
//! Entries use the hashes to estimate which blocks an engine has cached. Engines publish changes
//! of their caches under the same hashes. Cached blocks cannot be shared between models, so the
//! hash is seeded with the name of the model or adapter.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::request::PrefixChain;

/// Estimated bytes per token, used where no token count is available.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens per block.
pub const BLOCK_TOKENS: u32 = 64;
/// Bytes per block.
pub const BLOCK_BYTES: usize = BYTES_PER_TOKEN * BLOCK_TOKENS as usize;
/// Maximum number of blocks of one prompt that are hashed.
pub const MAX_BLOCKS: usize = 32;

/// Returns the hashes of the prefixes of a prompt to a model or adapter, shortest first.
///
/// There is one prefix for each complete block, up to [`MAX_BLOCKS`].
#[must_use]
pub fn prefix_chain(target: &str, prompt: &str) -> PrefixChain {
    let seed = xxh3_64(target.as_bytes());
    let blocks = (prompt.len() / BLOCK_BYTES).min(MAX_BLOCKS);
    (1..=blocks)
        .map(|count| xxh3_64_with_seed(&prompt.as_bytes()[..count * BLOCK_BYTES], seed))
        .collect()
}
