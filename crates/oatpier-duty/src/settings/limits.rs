//! Limits on everything that a process reads from the network.

use std::time::Duration;

use oatpier_wire::server::{BudgetLimits, ServerLimits};

use super::reader::TableReader;

/// Limits on the size and duration of requests.
///
/// Without them, a single caller with an endless header, a body of gigabytes or a socket that it never reads could
/// use up the memory and connections that others need.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestLimits {
    /// The maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The memory of the process, in bytes. An eighth of it is for bodies that are being received, and a quarter for those
    /// of requests that are being processed; requests without room are refused.
    pub memory_bytes: usize,
    /// The maximum number of concurrent connections.
    pub connections: usize,
    /// The maximum time to receive the head of a request.
    pub header_time: Duration,
    /// The maximum time to receive the body of a request.
    pub body_time: Duration,
    /// The maximum time without progress in writing to a caller.
    pub write_time: Duration,
    /// The maximum idle time of a connection between two requests.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: 32 * 1024,
            body_bytes: 4 * 1024 * 1024,
            memory_bytes: 256 * 1024 * 1024,
            connections: 10_000,
            header_time: Duration::from_secs(10),
            body_time: Duration::from_secs(30),
            write_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(75),
        }
    }
}

impl RequestLimits {
    /// Converts the limits to those of the HTTP server.
    #[must_use]
    pub fn server_limits(&self) -> ServerLimits {
        ServerLimits {
            connections: self.connections,
            head_bytes: self.header_bytes,
            body_bytes: self.body_bytes,
            head_timeout: self.header_time,
            body_timeout: self.body_time,
            idle_timeout: self.idle_time,
            write_timeout: self.write_time,
            bodies: BudgetLimits::of_memory(self.memory_bytes),
            ..ServerLimits::default()
        }
    }

    /// Reads the table `[limits]`. Missing keys keep their defaults.
    pub(super) fn read(reader: &mut TableReader<'_>) -> Self {
        let default = Self::default();
        let mut table = reader.table("limits");
        let limits = Self {
            header_bytes: table.number("header_bytes", default.header_bytes, 8192..=1 << 20),
            body_bytes: table.number("body_bytes", default.body_bytes, 1024..=1 << 28),
            memory_bytes: table.number("memory_bytes", default.memory_bytes, 1 << 24..=1 << 40),
            connections: table.number("connections", default.connections, 1..=1_000_000),
            header_time: table.optional("header_time", default.header_time),
            body_time: table.optional("body_time", default.body_time),
            write_time: table.optional("write_time", default.write_time),
            idle_time: table.optional("idle_time", default.idle_time),
        };
        reader.absorb(table);
        limits
    }
}
