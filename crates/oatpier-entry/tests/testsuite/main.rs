//! Tests of an entry's duties, in one runtime with simulated platform services in the same process.

mod claims;
mod completion;
mod configuration;
mod hold;
mod late;
mod planner;
mod relay;
mod stops;
mod support;
mod whole;
