//! The platform's side of a soak, in the platform's own words.
//!
//! - [`store`]: the key-value store with configuration and registry.
//! - [`endpoint`]: engines and plain services, with faults of their own.
//! - [`sayings`]: what an endpoint says of itself in its answers.
//! - [`weights`]: what an engine holds, and what orders do to it.
//! - [`answers`]: what a right answer to a request looks like.
//! - [`caller`] sends requests as callers do.
//! - [`settings`]: settings files of processes, and the configuration.

pub mod answers;
pub mod caller;
pub mod endpoint;
pub mod sayings;
pub mod settings;
pub mod store;
pub mod weights;
