//! Updates of the engine's use by workspaces.
//!
//! They are sent only while requests state their workspaces, at an interval that keeps what a gateway receives from
//! all sidecars within a budget.

use std::net::SocketAddr;

use oatpier_serving::message::{MessageNumber, ShareStatus};
use oatpier_serving::pacing;
use oatpier_serving::permits::PermitIssuer;
use oatpier_types::clock::ClockTime;

/// Decides when updates of the engine's use are due.
#[derive(Debug)]
pub struct ShareReporter {
    engine: SocketAddr,
    number: MessageNumber,
    sent_at: ClockTime,
    /// Whether the last update stated any use.
    has_reported_use: bool,
}

impl ShareReporter {
    /// Creates a reporter for the engine at an address.
    #[must_use]
    pub fn new(engine: SocketAddr) -> Self {
        Self {
            engine,
            number: MessageNumber {
                boot: rand::random(),
                number: 0,
            },
            sent_at: ClockTime::ZERO,
            has_reported_use: false,
        }
    }

    /// Returns the update that is due, given the number of engines of the service. The end of all use is reported once,
    /// so that gateways do not count the use of an engine that has restarted.
    pub fn due_update(
        &mut self,
        issuer: &PermitIssuer,
        engines: usize,
        now: ClockTime,
    ) -> Option<ShareStatus> {
        if now.since(self.sent_at) < pacing::share_interval(engines) {
            return None;
        }
        let uses = issuer.workspace_uses(now);
        if uses.is_empty() && !self.has_reported_use {
            return None;
        }
        self.has_reported_use = !uses.is_empty();
        self.sent_at = now;
        self.number.number += 1;
        Some(ShareStatus {
            number: self.number,
            engine: self.engine,
            uses,
        })
    }
}
