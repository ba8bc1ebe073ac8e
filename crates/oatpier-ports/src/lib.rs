//! Interfaces to external systems as traits, with their HTTP implementations.
//!
//! Each external system that oatpier depends on is accessed through one of these traits: the
//! platform's key-value service, its list of VMs, model engines and plain services. A benchmark or
//! a test replaces a system by its own implementation of the trait; the rest of the code is
//! unchanged.
//!
//! - [`store`]: the key-value service.
//! - [`vms`]: the lagging list of VMs.
//! - [`engine`]: control interface of an engine, with orders and reports.
//! - [`endpoint`]: calls to an endpoint, which is an engine or a plain service.
//! - [`http`]: the HTTP implementations, as specified in docs/design/platform-interfaces.md.

pub mod endpoint;
pub mod engine;
pub mod http;
pub mod store;
pub mod vms;
