//! Small stand-ins for the platform's services, for tests and the quickstart only.
//!
//! Each stand-in has three layers: a core that takes the time as an argument, an in-process
//! implementation of the trait of `oatpier-ports` on the runtime's clock (used by tests that pause
//! the clock), and an HTTP server around the in-process implementation. Faults are injected through
//! the in-process implementation or with `POST /standin/faults`, so that they apply to both kinds
//! of callers.
//!
//! Not for production use: a stand-in keeps everything in memory, trusts its callers and never
//! discards its records.
//!
//! - [`store`]: the key-value service.
//! - [`vms`]: the list of VMs, which lags.
//! - [`weights`]: the weight store, limited in rate and concurrency.
//! - [`engine`]: a model engine with continuous batching.
//! - [`service`]: a plain service.
//! - [`answer`]: the answer to a prompt.
//! - [`serve`]: the HTTP server that the stand-ins share.
//! - [`endpoint`]: an engine or plain service as an `EndpointClient`, without sockets.

pub mod answer;
pub mod clock;
pub mod endpoint;
pub mod engine;
pub mod serve;
pub mod service;
pub mod store;
pub mod vms;
pub mod weights;
