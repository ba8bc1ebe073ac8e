//! The operators' command line.
//!
//! Operators declare classes, models and endpoints, and plan stops; they never place weights. [`commands`] has one
//! file for each subcommand, which parses arguments and prints. The operations themselves are in [`ops`], which does
//! not depend on the command line.

pub mod cli;
pub mod commands;
pub mod context;
pub mod error;
pub mod ops;
pub mod settings;
pub mod shell;
