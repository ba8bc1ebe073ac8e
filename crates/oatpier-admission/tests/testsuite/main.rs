//! Tests of an agent's decisions about requests.

mod arrivals;
mod bench;
mod drains;
mod order;
mod random;
mod seals;
mod slots;
mod timeliness;
mod weights;
