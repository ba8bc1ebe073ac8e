//! Decisions about memory, moves and plans, as plain state machines.
//!
//! Every type here turns `(event, now)` into actions. Nothing does I/O, reads a clock or draws
//! unseeded randomness, so that the daemon, the benches and the fault tests drive the same code.
//!
//! Beside each endpoint (agent):
//! - [`ledger`]: what could be in an accelerator's memory, and whether a load fits.
//! - [`record`]: the endpoint's value in the store: epoch and intents.
//! - [`orders`]: numbers orders, brings each to a known end, owns the ledger.
//! - [`release`]: who may unload weights that others rely on.
//! - [`steps`]: from the plan's row to the next safe step.
//! - [`repair`]: keeps models reachable without planner and store.
//!
//! In the entry that holds the planner lease:
//! - [`demand`]: rates per model and adapter.
//! - [`planner`]: the placement plan, and two simpler planners to compare with.

pub mod demand;
pub mod ledger;
pub mod orders;
pub mod planner;
pub mod rank;
pub mod record;
pub mod release;
pub mod repair;
pub mod steps;
