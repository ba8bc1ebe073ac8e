//! Tests of the operators' command line.

mod apply;
mod config_commands;
mod crash_commands;
mod decision_log;
mod entry_commands;
mod fixture;
mod log_summary;
mod settings;
mod stop_commands;
