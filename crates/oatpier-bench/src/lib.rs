//! Benches, their scenarios and faults, and plots.
//!
//! Each command prints an aligned table, or one JSON document with `--json`. Figures that do not depend on the speed of
//! the machine are checked against committed bounds.
//!
//! - [`load`]: deployments, demand and scenarios.
//! - [`fleet`]: simulation of a fleet with the production decisions and in-process engines, on one clock.
//! - [`policy`]: policy bench: attainment per accelerator and moves.
//! - [`cost`]: cost bench: time and allocations of one decision.
//! - [`state`]: state bench: spread of changes, recovery, moves and the cost of the control plane.
//! - [`plots`]: plots for the documentation.
//! - [`report`]: output and bounds.

pub mod cost;
pub mod fleet;
pub mod load;
pub mod plots;
pub mod policy;
pub mod report;
pub mod state;

mod units;
