//! Tests of the benches: they are repeatable, and their bounds hold something.

mod bounds;
mod policy;
mod state;
mod support;
