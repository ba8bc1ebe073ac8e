//! Tests of decisions about memory, loads and unloads, and placement plans.

mod demand;
mod engine;
mod fleet;
mod moves;
mod network;
mod orders;
mod plan_properties;
mod planner;
mod record;
mod release;
mod repair;
mod simulation;
mod steps;
