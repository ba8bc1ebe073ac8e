//! At-most-once claims of idempotency keys, as plain state machines.
//!
//! A caller that sends an `Idempotency-Key` may send its request again, through any entry, after
//! any failure, and it still runs at most once. Before an entry runs a request with a key, it asks
//! the claimer of the key's partition to claim the key. The claimer is itself an entry, chosen by
//! rendezvous hashing; it writes the claims of many requests to the store as one value, and
//! grants a claim only once that write is known to have taken effect. Which entry believes itself
//! to be the claimer does not matter to safety: only a compare-and-swap on the partition's head
//! grants, and two claimers can't both win it. `docs/design/at-most-once.md` weighs the ways.
//!
//! - [`message`]: what entries and claimers say to each other.
//! - [`partition`]: which entry is whose claimer.
//! - [`segment`]: the values in the store.
//! - [`event`]: what happens to a claimer and what it asks for.
//! - [`table`]: what a claimer remembers of each key.
//! - [`log`]: [`log::ClaimLog`], the claimer of one partition.

pub mod event;
pub mod log;
pub mod message;
pub mod partition;
pub mod segment;
pub mod table;
