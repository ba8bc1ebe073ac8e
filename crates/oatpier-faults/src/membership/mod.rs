//! Registration, membership and the spread of the configuration: eight entries and eight agents
//! in two availability zones, one store.
//!
//! The entries' and agents' member machines run as they are, with the real configuration as what
//! is spread. Some seconds in, the configuration changes twice and two processes start; faults
//! strike from there on. Where the step is the registration with a successor, a registrar dies
//! first. Three seconds after each change the former configuration still comes to every process
//! from a peer, and it is the first that a restarted process hears of. Seen from outside: the
//! generation in force in every process, within seconds in those that no fault touches, and at
//! the end every live process known and up to date.

mod act;
mod inflict;
mod judge;
mod lagging;
mod store;
mod world;

use crate::run::{RunOrder, RunReport};
use world::MemberWorld;

/// Runs the two availability zones for a minute and a half.
#[must_use]
pub fn run(order: &RunOrder) -> RunReport {
    MemberWorld::new(order).run()
}
