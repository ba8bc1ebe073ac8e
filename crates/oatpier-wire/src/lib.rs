//! HTTP between oatpier processes, and to callers and endpoints.
//!
//! The package ensures that every hop reports correctly whether a failed request may have been executed. Libraries
//! implement the protocol: `hyper` on both sides, and `rmp-serde` for messages between oatpier processes. This
//! package maps each failure to a [`RunVerdict`](oatpier_types::verdict::RunVerdict), limits everything that is read
//! from the network, and counts the bytes of control traffic.
//!
//! - [`client`]: an HTTP client whose errors carry a verdict.
//! - [`peer`]: calls between oatpier processes.
//! - [`attempt`]: the messages with which an entry runs an attempt on an agent.
//! - [`frame`]: length-prefixed messages on a byte stream.
//! - [`server`]: an HTTP server with limits and a graceful shutdown.
//! - [`reply`]: responses of request handlers.
//! - [`percent`]: percent-encoding of texts in paths and queries.
//! - [`sse`]: a parser that splits a byte stream into server-sent events.
//! - [`traffic`]: counters of bytes sent and received.
//!
//! Other packages define the payloads of heartbeats, gossip and plans; they are generic types here.

pub mod attempt;
pub mod client;
pub mod frame;
pub mod peer;
pub mod percent;
pub mod reply;
pub mod server;
pub mod sse;
mod stream;
pub mod traffic;
