//! Heartbeats, which agents send to two entries, their registrars.
//!
//! An agent chooses its registrars by rendezvous hashing among the entries that it knows, and sends
//! heartbeats to them in turn. When a registrar dies, the next entry in rank replaces it. This
//! needs no coordination, and the agent stays registered meanwhile.

mod choose;
mod keeper;
mod table;

pub use choose::{REGISTRARS, choose_registrars, entries_digest};
pub use keeper::{HEARTBEAT_EVERY, HeartbeatAction, HeartbeatKeeper, RegistrarLost};
pub use table::{HOLD_FIRST, HOLD_LONGEST, RegistrarTable, RegistrarVote, SILENT_AFTER};
