//! Tests of an entry's duties, in one paused runtime with stand-ins in the process.

mod claims;
mod configuration;
mod hold;
mod late;
mod planner;
mod stops;
mod support;
mod whole;
