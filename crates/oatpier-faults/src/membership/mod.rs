//! Registration, membership and the propagation of the configuration: eight entries and eight agents
//! in two availability zones, and one store.
//!
//! The real member state machines of the entries and agents run unmodified and propagate the real
//! configuration type. After 15 seconds the configuration changes twice, two processes start, and
//! fault injection begins. If the step is the registration with a successor, a registrar crashes
//! first. Three seconds after each change every process still receives the previous configuration
//! from a peer; a restarted process receives it as its first message. The checks: the generation in
//! force at every process never decreases, it is reached within seconds at processes that no fault
//! affects, and at the end every live process is known and up to date.

mod act;
mod inflict;
mod judge;
mod lagging;
mod store;
mod world;

use crate::run::{RunOrder, RunReport};
use world::MemberWorld;

/// Runs the two availability zones for 75 seconds of simulated time.
#[must_use]
pub fn run(order: &RunOrder) -> RunReport {
    MemberWorld::new(order).run()
}
