//! Deterministic answers to prompts.
//!
//! A token of an answer is a function of the prompt and the token's index, so that a test can
//! check from the text alone whether an answer is complete and which prompt it belongs to.

use oatpier_types::prefix::BYTES_PER_TOKEN;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the hash that identifies a prompt in an engine.
#[must_use]
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Returns the hash of an idempotency key, as recorded in events.
#[must_use]
pub fn key_hash(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// Returns the number of tokens of a prompt, estimated from its bytes. At least one.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN).max(1)).unwrap_or(u32::MAX)
}

/// Returns the text of one token: a word and a space.
#[must_use]
pub fn token_text(prompt_hash: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    format!("w{:04} ", hash % 10_000)
}

/// Returns the complete answer to a prompt.
#[must_use]
pub fn answer_text(prompt: &str, tokens: u32) -> String {
    let hash = prompt_hash(prompt);
    (0..tokens).map(|index| token_text(hash, index)).collect()
}
