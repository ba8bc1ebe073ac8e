//! A randomized soak of gateways and sidecars.
//!
//! The real daemon runs as separate processes on loopback addresses, one address a VM, before stand-ins
//! of the platform's store, engines and services. Everything that goes wrong is done from outside:
//! signals to processes, a proxy before each endpoint and each gateway's way to the store, and faults of
//! the stand-ins. What must hold is judged by what callers and endpoints saw.
//!
//! - [`plan`]: which fault strikes when, from a seed.
//! - [`standin`]: the platform's side: store, endpoints, settings files, calls.
//! - [`proxy`]: links that delay, reset and fall silent.
//! - [`fleet`]: the processes and their signals.
//! - [`ledger`]: what callers and endpoints saw.
//! - [`check`]: what must hold of it.
//! - [`run`]: one soak from start to verdict.

pub mod check;
pub mod fleet;
pub mod ledger;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod standin;
