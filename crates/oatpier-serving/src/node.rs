//! The settings that a process receives at its start.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use oatpier_types::names::{DaemonName, ZoneName};

use crate::quota::bounds::QuotaBounds;

/// The validated settings of a gateway or a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// The process's name, unique in the fleet.
    pub name: DaemonName,
    /// The address of its VM.
    pub ip: IpAddr,
    /// Its VM's availability zone.
    pub zone: ZoneName,
    /// The share of a CPU core that the process may use, in thousandths.
    pub processor: u32,
    /// The memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// The number of descriptors that the process may use.
    pub descriptors: usize,
    /// The port for traffic between gateways and sidecars, the same on every VM.
    pub inner_port: u16,
    /// The listen address for metrics.
    pub metrics: SocketAddr,
    /// The listen address for callers; `None` for a sidecar.
    pub callers: Option<SocketAddr>,
    /// The listen address for the platform's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// The address of the engine that a sidecar runs beside.
    pub engine: Option<SocketAddr>,
    /// The address of the platform's key-value store.
    pub store: SocketAddr,
    /// Whether the whole fleet is starting for the first time.
    pub is_first_start: bool,
    /// The interval at which endpoints renew their registry entries. An entry expires after three of them.
    pub heartbeat: Duration,
    /// The limits set by the platform.
    pub bounds: NodeBounds,
}

impl NodeSettings {
    /// Returns the listen address for traffic from gateways and sidecars.
    #[must_use]
    pub fn inner_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.inner_port)
    }
}

/// Limits that the platform enforces on every process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeBounds {
    /// Maximum time from the acknowledgement of a configuration until it is in force everywhere.
    pub config: Duration,
    /// Maximum time after an endpoint has started to drain during which it may still be sent new work.
    pub drain: Duration,
    /// Minimum time after the end of an endpoint until an endpoint of another service may have its address.
    pub reuse_after: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Retries allowed per first attempt, over all gateways.
    pub retry_ratio: f64,
    /// Retries allowed beyond the ratio within a window, over all gateways.
    pub retry_slack: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// The window over which loads from the weight store are counted.
    pub load_window: Duration,
    /// Factor by which the loads in a window may exceed the weight store's rate.
    pub load_margin: f64,
    /// The tolerances by which the limits of workspaces are checked.
    pub quota: QuotaBounds,
}
