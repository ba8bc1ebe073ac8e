//! Tests of the fault matrix.

mod grid;
mod safeguards;
