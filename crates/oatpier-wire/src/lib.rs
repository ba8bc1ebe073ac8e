//! HTTP between oatpier's processes, and towards callers and endpoints.
//!
//! This package exists so that every hop tells the truth about one question: may the request have
//! run? Libraries do the protocol (`hyper` on both sides, `rmp-serde` for the messages of our own
//! processes); what is here decides which failure means which
//! [`RunVerdict`](oatpier_types::verdict::RunVerdict), bounds everything that is read from
//! outside, and counts the bytes that control costs.
//!
//! - [`client`]: an HTTP client whose errors carry a verdict.
//! - [`peer`]: calls between oatpier processes.
//! - [`attempt`]: the messages by which an entry has an agent run an attempt.
//! - [`frame`]: length-prefixed messages on a byte stream.
//! - [`server`]: an HTTP server with limits and a graceful shutdown.
//! - [`reply`]: answers of a server's handlers.
//! - [`sse`]: whole server-sent events out of a byte stream.
//! - [`traffic`]: bytes sent and received.
//!
//! The payloads of heartbeats, gossip and plans belong to other packages and are generic here.

pub mod attempt;
pub mod client;
pub mod frame;
pub mod peer;
pub mod reply;
pub mod server;
pub mod sse;
mod stream;
pub mod traffic;
