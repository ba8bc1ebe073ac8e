//! Tests of claims of idempotency keys.

mod costs;
mod fleet;
mod outages;
mod partitions;
mod races;
mod takeovers;
