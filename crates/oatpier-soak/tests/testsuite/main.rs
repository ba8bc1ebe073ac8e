//! Tests of the soak itself: each check finds a breach that was planted, and a seed draws the same faults.

mod check;
mod plan;
mod proxy;
