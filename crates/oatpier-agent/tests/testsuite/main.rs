//! Tests of the agent's duties, with a paused clock and without sockets.

mod attempt;
mod drain;
mod fleet;
mod leave;
mod membership;
mod orders;
mod refusals;
mod release;
mod requests;
mod shape;
