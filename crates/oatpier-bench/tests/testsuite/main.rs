//! Tests that the benches are repeatable and that their bounds are enforced.

mod bounds;
mod policy;
mod state;
mod support;
