//! The fault matrix: faults by steps, each cell a proof or a listed gap.
//!
//! A cell runs a small scenario at the interfaces of the decision packages: the real state
//! machines, joined by modelled messages, endpoints and a modelled store. One fault (or two)
//! strikes when the scenario passes the cell's step; the seed moves the point. Afterwards the
//! invariant checker judges what could be seen from outside, and the runner says whether
//! everything came to its end. All time is the scenario's own; the same seed gives the same run.
//!
//! - [`fault`], [`step`]: the rows and the columns.
//! - [`strike`], [`run`]: when a fault strikes, and what a run tells.
//! - [`request`]: requests and planned stops.
//! - [`orders`]: orders, moves and versions.
//! - [`configuration`]: changes by operators.
//! - [`lease`]: the planner's lease and plan.
//! - [`membership`]: registration, and the spread of the configuration.
//! - [`matrix`], [`report`]: the table and what is printed of it.

pub mod configuration;
pub mod fault;
pub mod lease;
pub mod matrix;
pub mod membership;
pub mod orders;
mod queue;
pub mod report;
pub mod request;
pub mod run;
pub mod step;
pub mod strike;
