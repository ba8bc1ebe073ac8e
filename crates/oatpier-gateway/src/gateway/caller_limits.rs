//! The limits on what callers send, by the resources of the process.

use oatpier_serving::node::NodeSettings;
use oatpier_wire::server::{BudgetLimits, ServerLimits};

use super::{LISTENER_LINGER, MAX_START_DELAY};

/// Maximum size of a request head before a configuration sets another one, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Receive buffer of a caller's connection, in bytes. It holds the largest head.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Memory of a connection whose caller has sent a head and bytes that aren't read, in bytes.
const CONNECTION_BYTES: usize = MAX_HEAD_BYTES + RECEIVE_BUFFER_BYTES;

/// Connections of callers take the process's memory divided by this at most.
const CONNECTION_MEMORY_DIVISOR: usize = 3;

/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;

/// The descriptors for sockets divided by this are left to endpoints, the store and other processes.
const OTHER_SOCKETS_DIVISOR: usize = 4;

/// Minimum number of callers' connections, however small the process is.
const MIN_CONNECTIONS: usize = 16;

/// Returns the limits of the server that accepts callers.
#[must_use]
pub fn caller_limits(settings: &NodeSettings) -> ServerLimits {
    let memory_bytes = settings.memory_bytes;
    ServerLimits {
        connections: max_connections(settings.descriptors, memory_bytes),
        head_bytes: MAX_HEAD_BYTES,
        linger: LISTENER_LINGER,
        max_start_delay: Some(MAX_START_DELAY),
        receive_buffer_bytes: RECEIVE_BUFFER_BYTES,
        bodies: BudgetLimits {
            // The handler counts complete bodies, together with responses.
            complete_bytes: memory_bytes,
            ..BudgetLimits::of_memory(memory_bytes)
        },
        ..ServerLimits::default()
    }
}

/// Returns how many connections of callers the process has descriptors and memory for.
fn max_connections(descriptors: usize, memory_bytes: usize) -> usize {
    let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
    let by_descriptors = sockets - sockets / OTHER_SOCKETS_DIVISOR;
    let by_memory = memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS)
}
