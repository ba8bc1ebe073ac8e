//! Tests of the operators' command line.

mod apply;
mod config_commands;
mod crash_commands;
mod entry_commands;
mod fixture;
mod log_story;
mod settings;
mod stop_commands;
