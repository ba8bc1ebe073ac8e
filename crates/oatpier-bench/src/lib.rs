//! Benches, the fault matrix and plots.
//!
//! Each command prints one JSON document with `--json`, an aligned table without. Figures that
//! don't depend on this machine's speed are held to committed bounds.
//!
//! - [`load`]: deployments, demand, scenarios.
//! - [`fleet`]: the real decisions around small in-process engines, on one clock.
//! - [`policy`]: the policy bench: attainment per accelerator and moves.
//! - [`cost`]: time and allocations of one decision.
//! - [`state`]: spread of changes, recovery, moves and what control costs.
//! - [`plots`]: plots for the docs.
//! - [`report`]: printing and bounds.

pub mod cost;
pub mod fleet;
pub mod load;
pub mod plots;
pub mod policy;
pub mod report;
pub mod state;

mod units;
