//! A stand-in of a model engine with continuous batching.
//!
//! - [`EngineCore`]: the engine as a plain struct; takes the time as an argument and does its
//!   steps when told to advance. A bench drives it directly.
//! - [`LocalEngine`]: the core on the runtime's clock, with streams.
//! - [`start_engine`]: the HTTP server around a [`LocalEngine`].

mod cache;
mod completion;
mod core;
mod http;
mod local;
mod memory;
mod options;
mod reports;
mod run;
mod step;

pub use self::core::EngineCore;
pub use self::http::start_engine;
pub use self::local::{LocalEngine, RunStream};
pub use self::options::{EngineFaults, EngineOptions};
pub use self::reports::RunRecord;
pub use self::run::{EngineOutput, EngineRequest, OutputKind, RunNumber, SubmitError};
