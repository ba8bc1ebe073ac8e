//! A stand-in for a model engine with continuous batching.
//!
//! - [`EngineCore`]: the engine without I/O. It takes the time as an argument and runs its steps in
//!   [`EngineCore::advance`]. Benchmarks use it directly.
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
