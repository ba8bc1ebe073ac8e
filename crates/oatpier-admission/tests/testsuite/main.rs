//! Tests of an agent's admission policy.

mod arrivals;
mod drains;
mod harness;
mod order;
mod random;
mod seals;
mod slots;
mod timeliness;
mod weights;
