//! Decisions about memory, loads and unloads, and placement plans, as state machines without I/O.
//!
//! Every type turns `(event, now)` into actions. Nothing does I/O, reads a clock or uses unseeded
//! randomness, so that the daemon, the benchmarks and the fault tests run the same code.
//!
//! In the agent of each endpoint:
//! - [`ledger`]: an upper bound on the memory in use, and whether a load fits.
//! - [`record`]: the endpoint's record in the store, with its epoch and intents.
//! - [`orders`]: numbers orders, resends each until its outcome is known, and owns the ledger.
//! - [`release`]: agreement between replicas on which of them may unload.
//! - [`steps`]: the next safe step from the current state towards the plan.
//! - [`repair`]: keeps models reachable without the planner and the store.
//!
//! In the entry that holds the planner lease:
//! - [`demand`]: demand rates per model and adapter.
//! - [`planner`]: the placement planner, and two baseline planners.

pub mod demand;
pub mod ledger;
pub mod orders;
pub mod planner;
pub mod rank;
pub mod record;
pub mod release;
pub mod repair;
pub mod steps;
