//! Tests of the decisions about configuration, membership and leases.

mod budget;
mod bytes;
mod faults;
mod generation;
mod isolation;
mod lease;
mod members;
mod registrar;
mod rendezvous;
mod spread;
mod stops;
mod summary;
mod support;
