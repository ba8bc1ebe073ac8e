//! Fault injection matrix: every fault at every step. A cell is either simulated, or listed with
//! the reason why it is not.
//!
//! A cell simulates a small scenario at the interfaces of the decision packages: the real state
//! machines, connected by modelled messages, endpoints and a modelled store. One or two faults
//! are injected when the scenario reaches the cell's step; the seed selects at which occurrence.
//! Afterwards the invariant checker checks the externally visible events, and the scenario reports
//! whether all work completed. Time is simulated; the same seed gives the same run.
//!
//! - [`fault`], [`step`]: the rows and the columns of the matrix.
//! - [`injection`], [`run`]: when faults are injected, and the input and result of a run.
//! - [`request`]: requests and planned stops.
//! - [`orders`]: engine orders, weight moves and version changes.
//! - [`configuration`]: configuration changes by operators.
//! - [`lease`]: the planner's lease and plan.
//! - [`membership`]: registration, and the propagation of the configuration.
//! - [`matrix`], [`report`]: the matrix and its output as text and JSON.

pub mod configuration;
pub mod fault;
pub mod injection;
pub mod lease;
pub mod matrix;
pub mod membership;
pub mod orders;
mod queue;
pub mod report;
pub mod request;
pub mod run;
pub mod step;
