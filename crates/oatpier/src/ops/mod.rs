//! The operations behind the commands. Nothing here reads arguments or prints.

pub mod apply;
pub mod capacity_text;
pub mod crashes;
pub mod decision_log;
pub mod entries;
pub mod files;
pub mod limits;
pub mod log_summary;
pub mod record_store;
pub mod stops;
pub mod timestamp;
pub mod wait;
