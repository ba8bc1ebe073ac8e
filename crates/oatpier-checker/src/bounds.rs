//! Time bounds for promises that say only "within seconds".

use std::time::Duration;

/// The time bound of each promise that has one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuleBounds {
    /// From the start of an endpoint's shutdown until it gets no new work.
    pub shutdown: Duration,
    /// From the acceptance of a configuration until it is active everywhere.
    pub activation: Duration,
    /// From the loss of a model's last replica until it is reachable again.
    pub recovery: Duration,
}

impl Default for RuleBounds {
    /// Returns 2 s for a shutdown, 5 s for a configuration and 30 s for the recovery of a model.
    fn default() -> Self {
        Self {
            shutdown: Duration::from_secs(2),
            activation: Duration::from_secs(5),
            recovery: Duration::from_secs(30),
        }
    }
}
