//! A randomized soak of gateways and sidecars.
//!
//! The real daemon runs as separate processes on loopback addresses, one address per VM, against stand-ins for the
//! platform's store, engines and services. All faults are injected from outside: signals to processes, a proxy in
//! front of each endpoint and on each gateway's link to the store, and faults of the stand-ins. The checks use only
//! events that callers, endpoints and the harness observe.
//!
//! - [`plan`]: draws the faults and their times from a seed.
//! - [`standin`]: stands in for the platform: store, endpoints, settings files, calls.
//! - [`proxy`]: TCP links that delay, reset or hold back traffic.
//! - [`fleet`]: starts, restarts and signals the processes.
//! - [`history`]: records the observed events.
//! - [`check`]: checks the recorded events against the promises.
//! - `inject`: injects the faults of a plan.
//! - [`run`]: runs one soak from start to report.

pub mod check;
pub mod fleet;
pub mod history;
mod inject;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod standin;
