//! Limits on everything that a process reads from outside.

use std::time::Duration;

use oatpier_wire::server::ServerLimits;

use super::reader::TableReader;

/// Limits on what callers may send and how slowly.
///
/// Without them one caller with an endless header, a body of gigabytes or a socket that it never
/// reads would take memory and connections from all others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IntakeLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Connections at once.
    pub connections: usize,
    /// Until the whole head of a request is there.
    pub header_time: Duration,
    /// Until the whole body of a request is there.
    pub body_time: Duration,
    /// How long a write to a caller may make no progress.
    pub write_time: Duration,
    /// How long a connection may lie idle between two requests.
    pub idle_time: Duration,
}

impl Default for IntakeLimits {
    fn default() -> Self {
        Self {
            header_bytes: 32 * 1024,
            body_bytes: 4 * 1024 * 1024,
            connections: 10_000,
            header_time: Duration::from_secs(10),
            body_time: Duration::from_secs(30),
            write_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(75),
        }
    }
}

impl IntakeLimits {
    /// The same as the server takes them.
    #[must_use]
    pub fn server_limits(&self) -> ServerLimits {
        ServerLimits {
            connections: self.connections,
            head_bytes: self.header_bytes,
            body_bytes: self.body_bytes,
            head_wait: self.header_time,
            body_wait: self.body_time,
            idle: self.idle_time,
            write_wait: self.write_time,
            ..ServerLimits::default()
        }
    }

    /// Reads the table `[limits]`; what is not given keeps its default.
    pub(super) fn read(reader: &mut TableReader<'_>) -> Self {
        let default = Self::default();
        let mut table = reader.table("limits");
        let limits = Self {
            header_bytes: table.number("header_bytes", default.header_bytes, 8192..=1 << 20),
            body_bytes: table.number("body_bytes", default.body_bytes, 1024..=1 << 28),
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
