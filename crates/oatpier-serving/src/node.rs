//! What a process is told about itself and its surroundings when it starts.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use oatpier_types::names::{DaemonName, PoolName, ZoneName};

use crate::quota::bounds::QuotaBounds;

/// The checked settings of a gateway or a sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// The process's name, unique in the fleet.
    pub name: DaemonName,
    /// The address of its VM.
    pub ip: IpAddr,
    /// Its VM's availability zone.
    pub zone: ZoneName,
    /// The part of a core that the process may use, in thousandths.
    pub processor: u32,
    /// The port on which gateways and sidecars hear each other, the same on every VM.
    pub inner_port: u16,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where callers connect; none on a sidecar's VM.
    pub callers: Option<SocketAddr>,
    /// Where the platform asks whether the process takes callers.
    pub readiness: Option<SocketAddr>,
    /// The engine beside a sidecar.
    pub engine: Option<SocketAddr>,
    /// The platform's key-value store.
    pub store: SocketAddr,
    /// The service of that engine.
    pub service: Option<PoolName>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// The bounds that the platform sets.
    pub bounds: NodeBounds,
}

impl NodeSettings {
    /// Where this process hears gateways and sidecars.
    #[must_use]
    pub fn inner_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.inner_port)
    }
}

/// Bounds that the platform holds every process to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeBounds {
    /// How long after its acknowledgement a configuration is in force everywhere.
    pub config: Duration,
    /// How long after it began to drain an endpoint may still get new work.
    pub drain: Duration,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Second sends allowed for each first one, over all gateways.
    pub retry_ratio: f64,
    /// Second sends allowed beyond the ratio in a window, over all gateways.
    pub retry_slack: f64,
    /// The window in which second sends are counted.
    pub retry_window: Duration,
    /// The window in which loads from the weight store are counted.
    pub load_window: Duration,
    /// How far over its rate the weight store lets a window go, as a factor.
    pub load_margin: f64,
    /// How strictly the limits of workspaces are judged.
    pub quota: QuotaBounds,
}
