//! The faults of stand-in endpoints.

use http::StatusCode;
use rand::RngExt;

/// Faults of an endpoint, as shares of its requests or orders.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EndpointFaults {
    /// The share of requests that run and whose responses are lost.
    pub lost_share: f64,
    /// The share of responses that are cut off.
    pub cut_share: f64,
    /// The share of orders that get no response and are carried out late.
    pub late_order_share: f64,
    /// The share of requests that it refuses without running them.
    pub refused_share: f64,
}

/// The failure of runs that have begun, which leaves open whether they had an effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunFailure {
    /// The share of requests that fail.
    pub share: f64,
    /// The status of their responses.
    pub status: StatusCode,
}

impl RunFailure {
    /// Returns the status with which a run fails, if it does.
    pub(super) fn draw(self) -> Option<StatusCode> {
        rand::rng().random_bool(self.share).then_some(self.status)
    }
}
