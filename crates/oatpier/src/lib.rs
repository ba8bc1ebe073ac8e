//! The operators' command line.
//!
//! Operators declare classes and what there is to serve, and plan stops; they never place
//! weights. [`commands`] hold one file for each subcommand, which reads its arguments and prints;
//! the work is in [`ops`], which know nothing of the command line.

pub mod cli;
pub mod commands;
pub mod context;
pub mod error;
pub mod ops;
pub mod settings;
pub mod shell;
