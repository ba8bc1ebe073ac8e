//! The outside interfaces as traits, with their HTTP adapters.
//!
//! Everything that oatpier meets and does not own stands behind one of these traits: the
//! platform's key-value service, its list of VMs, model engines and plain services. A bench or a
//! test meets the decisions by giving its own implementation of a trait; nothing else changes.
//!
//! - [`store`]: the key-value service.
//! - [`vms`]: the lagging list of VMs.
//! - [`engine`]: orders to an engine and what it reports.
//! - [`work`]: running a request at an endpoint, engine or plain service.
//! - [`http`]: the adapters that speak HTTP, as docs/design/platform-interfaces.md lays down.

pub mod engine;
pub mod http;
pub mod store;
pub mod vms;
pub mod work;
