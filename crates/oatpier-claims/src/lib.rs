//! At-most-once claims of idempotency keys, as deterministic state machines.
//!
//! A caller that sends an `Idempotency-Key` may send its request again, through any entry and after
//! any failure, and the request still runs at most once. Before an entry runs a request with a key,
//! it asks the claimer of the key's partition to claim the key. The claimer is itself an entry,
//! selected by rendezvous hashing. It writes the claims of many requests to the store as one value,
//! and grants a claim only once that write is known to have taken effect. Safety does not depend on
//! a single entry acting as the claimer: claims are granted only by a compare-and-swap on the
//! partition's head, and two claimers can't both succeed. `docs/design/at-most-once.md` compares
//! the alternatives.
//!
//! - [`message`]: messages between entries and claimers.
//! - [`partition`]: assignment of keys to claimers.
//! - [`segment`]: the values in the store.
//! - [`event`]: events and actions of a claimer.
//! - [`table`]: the known claims of a partition.
//! - [`log`]: [`log::ClaimLog`], the claimer of a partition.

pub mod event;
pub mod log;
pub mod message;
pub mod partition;
pub mod segment;
pub mod table;
