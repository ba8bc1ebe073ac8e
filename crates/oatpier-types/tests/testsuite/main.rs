//! Tests of the shared domain types.

mod config_capacity;
mod config_diff;
mod config_errors;
mod config_record;
mod config_text;
mod fleets;
