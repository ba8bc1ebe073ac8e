//! The work behind the commands. Nothing here reads arguments or prints.

pub mod apply;
pub mod crashes;
pub mod entries;
pub mod files;
pub mod limits;
pub mod log_story;
pub mod reach_text;
pub mod record_store;
pub mod stamp;
pub mod stops;
pub mod wait;
