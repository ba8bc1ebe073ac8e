//! A stand-in for the platform's key-value service.
//!
//! - [`StoreCore`]: keys, revisions and leases. It takes the time as an argument.
//! - [`LocalStore`]: the core on the runtime's clock, with watches, counts of calls and faults.
//! - [`start_store`]: the HTTP server around a [`LocalStore`].

mod core;
mod http;
mod local;

pub use self::core::StoreCore;
pub use self::http::start_store;
pub use self::local::{DownMode, LocalStore, StoreCalls, StoreFaults};

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
