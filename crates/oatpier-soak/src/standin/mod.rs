//! Stand-ins for the platform, which speak the platform's protocols.
//!
//! - [`store`]: the key-value store with the configuration and the registry.
//! - [`endpoint`]: engines and plain services, with faults of their own.
//! - [`faults`]: the faults of endpoints.
//! - [`stops`]: how endpoints crash, drain and leave.
//! - [`notices`]: notices that an endpoint sends in its responses.
//! - [`weights`]: the models and adapters that an engine holds, and the effect of orders on them.
//! - [`responses`]: the correct response to a request.
//! - [`caller`]: callers and the requests that they send.
//! - [`settings`]: the settings files of processes, and the configuration.

pub mod caller;
pub mod endpoint;
pub mod faults;
pub mod notices;
pub mod responses;
pub mod settings;
pub mod stops;
pub mod store;
pub mod weights;
