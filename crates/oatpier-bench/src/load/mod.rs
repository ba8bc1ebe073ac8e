//! Inputs of the benches: deployments, demand and faults.
//!
//! A [`deployment::BenchDeployment`] holds the configuration. From it, a [`scenario::BenchScenario`] and a seed,
//! [`demand::DemandGenerator`] generates the arrivals. A [`scenario::FaultPlan`] describes one fault and its time.

pub mod demand;
pub mod deployment;
pub mod scenario;
