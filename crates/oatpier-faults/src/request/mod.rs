//! Requests: two entries, two engines, two plain services, and callers that retry.
//!
//! The real decisions of entries and agents and the real claims run unmodified. Connections,
//! endpoints, the store and the callers are modelled, with the properties of a transport: the parts
//! of one answer keep their order, and a lost message ends its connection after a delay.

mod agent;
mod caller;
mod claims;
mod entry;
mod fleet;
mod inject;
mod message;
mod network;
mod service;
mod simulation;
mod stop;

use crate::run::{RunReport, RunSpec};
pub(crate) use fleet::{name, weights};
use simulation::RequestSimulation;

/// Runs requests, and a planned stop if a fault is to be injected into one.
#[must_use]
pub fn run(run_spec: &RunSpec) -> RunReport {
    RequestSimulation::new(run_spec).run()
}
