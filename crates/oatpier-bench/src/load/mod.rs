//! What the benches put on the fleet: deployments of the brief's sizes, demand and faults.
//!
//! A [`deployment::BenchDeployment`] gives the configuration; [`demand::DemandMaker`] turns it and
//! a [`scenario::BenchScenario`] into a seeded list of arrivals; [`scenario::FaultPlan`] says what
//! goes wrong and when.

pub mod demand;
pub mod deployment;
pub mod scenario;
