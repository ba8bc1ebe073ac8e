//! The words that every part of oatpier shares.
//!
//! This package exists so that a decision, a message and a stand-in mean the same thing by a
//! model, a deadline or a verdict. It does no I/O. Raw input becomes one of these types through
//! `TryFrom`, so that a value that exists is a value that was checked.
//!
//! - [`names`]: checked, shared names of models, endpoints, availability zones and so on.
//! - [`ids`]: numbers that order or identify: attempts, generations, order numbers.
//! - [`clock`]: a point on the runtime's clock, as the decisions see it.
//! - [`verdict`]: whether a request may have run; the only thing that retries look at.
//! - [`request`]: what a decision needs to know of one request.
//! - [`config`]: the operators' configuration, checked.
//! - [`engine`]: orders to engines and what engines report.
//! - [`operator`]: what a daemon answers an operator's command.
//! - [`plan`]: which endpoint holds which model.
//! - [`prefix`]: how a prompt's prefixes are named.
//! - [`pulse`]: what an agent says of its endpoint.
//! - [`refusal`]: why a request is refused, and when to come back.
//! - [`errors`]: errors as log lines show them.
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
pub mod pulse;
pub mod refusal;
pub mod request;
pub mod verdict;
