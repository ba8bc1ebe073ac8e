//! Small stand-ins of the platform, for tests and the quickstart only.
//!
//! Each stand-in has three layers: a plain core that takes the time as an argument, an in-process
//! form on the runtime's clock that implements the trait of `oatpier-ports` (a test that pauses
//! the clock uses this one), and an HTTP server around the in-process form. Faults are switched on
//! in the in-process form or by `POST /standin/faults`, so that all ways in meet the same faults.
//!
//! Not for use: a stand-in keeps everything in memory, trusts its callers and never forgets what
//! it recorded.
//!
//! - [`store`]: the key-value service.
//! - [`vms`]: the lagging list of VMs.
//! - [`weights`]: the weight store, limited in rate and concurrency.
//! - [`engine`]: a model engine with continuous batching.
//! - [`service`]: a plain service.
//! - [`answer`]: which answer belongs to which prompt.
//! - [`serve`]: the HTTP server that they share.
//! - [`work`]: an engine or plain service as an `EndpointClient`, without sockets.

pub mod answer;
pub mod clock;
pub mod engine;
pub mod serve;
pub mod service;
pub mod store;
pub mod vms;
pub mod weights;
pub mod work;
