//! Domain types shared by all oatpier packages.
//!
//! Production code, messages and test doubles use the same definitions of a model, a deadline or
//! a verdict. The package does no I/O. Raw input is converted with `TryFrom`, so every existing
//! value has been validated.
//!
//! - [`names`]: validated, cheaply cloned names of models, endpoints, availability zones and so on.
//! - [`ids`]: identifiers and counters: attempts, generations, order numbers.
//! - [`clock`]: timestamps relative to the start of the process.
//! - [`verdict`]: whether a request may have run; the sole criterion for retries.
//! - [`request`]: the request attributes that admission and routing decisions use.
//! - [`config`]: the validated configuration that operators write.
//! - [`engine`]: orders sent to engines and the state that engines report.
//! - [`operator`]: JSON responses of a daemon to operator commands.
//! - [`plan`]: the assignment of models to endpoints.
//! - [`prefix`]: hashes that identify the prefixes of a prompt.
//! - [`status`]: the status that an agent reports for its endpoint.
//! - [`software`]: versions of the software of endpoints.
//! - [`refusal`]: why a request is refused, and when the caller may retry.
//! - [`errors`]: formatting of errors for log lines.
//! - [`event`]: the typed event log that the invariant checker reads.

pub mod clock;
pub mod config;
pub mod engine;
pub mod errors;
pub mod event;
pub mod ids;
pub mod names;
pub mod operator;
pub mod plan;
pub mod prefix;
pub mod refusal;
pub mod request;
pub mod software;
pub mod status;
pub mod verdict;
