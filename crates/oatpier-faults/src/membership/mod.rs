//! Registration, membership and the propagation of the configuration: eight entries and eight agents
//! in two availability zones, and one store.
//!
//! The real member state machines of the entries and agents run unmodified and propagate the real
//! configuration type. After 15 seconds the configuration changes twice, two processes start, and
//! fault injection begins. If the step is the registration with a successor, a registrar crashes
//! first. Three seconds after each change every process still receives the previous configuration
//! from a peer; a restarted process receives it as its first message. The checks: the generation in
//! force never decreases at any process. Processes that no fault affects apply an accepted generation
//! within seconds. At the end every live process is known and up to date.

mod actions;
mod checks;
mod inject;
mod simulation;
mod stale_push;
mod store;

use crate::run::{RunReport, RunSpec};
use simulation::MemberSimulation;

/// Runs the two availability zones for 75 seconds of simulated time.
#[must_use]
pub fn run(run_spec: &RunSpec) -> RunReport {
    MemberSimulation::new(run_spec).run()
}
