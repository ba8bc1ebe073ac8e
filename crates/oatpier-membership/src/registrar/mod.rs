//! Heartbeats: agents tell two entries, their registrars, that they are there.
//!
//! An agent picks its registrars by rendezvous hashing among the entries that it knows, and
//! speaks to them in turn. When one dies, the next in rank takes its place; nobody decides it
//! and nothing is torn down meanwhile.

mod choose;
mod keeper;
mod table;

pub use choose::{REGISTRARS, choose_registrars, entries_digest};
pub use keeper::{HEARTBEAT_EVERY, HeartbeatAction, HeartbeatKeeper, RegistrarLost};
pub use table::{HOLD_FIRST, HOLD_LONGEST, RegistrarTable, RegistrarWord, SILENT_AFTER};
