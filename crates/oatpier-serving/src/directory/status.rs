//! The latest status update of a sidecar, and the load of its endpoint.

use oatpier_types::clock::ClockTime;

use crate::engine::EndpointLoad;
use crate::message::{EngineStatus, LoadStatus, MessageNumber};
use crate::pacing::StatusLifetime;

/// The load of an endpoint: the latest report and the changes since then that this gateway caused.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadEstimate {
    reported: EndpointLoad,
    pub(super) sent_since: u32,
    pub(super) ended_since: u32,
}

impl LoadEstimate {
    pub(super) fn reset(&mut self, load: EndpointLoad) {
        *self = Self {
            reported: load,
            ..Self::default()
        };
    }

    /// Returns the number of requests that were queued at the endpoint according to its latest report.
    pub(super) fn waiting(&self) -> u32 {
        self.reported.waiting
    }

    pub(super) fn present(&self) -> u32 {
        let reported = self.reported.running + self.reported.waiting;
        (reported + self.sent_since).saturating_sub(self.ended_since)
    }
}

/// The latest status update of a sidecar.
#[derive(Debug, Clone)]
pub(super) struct LatestStatus {
    pub(super) status: EngineStatus,
    /// Number of the message that the load in `status` comes from.
    pub(super) load_number: MessageNumber,
    /// When the latest update of either kind arrived.
    pub(super) at: ClockTime,
    /// How long that update counts.
    pub(super) lifetime: StatusLifetime,
}

impl LatestStatus {
    /// Applies a load update, unless a newer one has been applied. Returns whether it was applied.
    pub(super) fn take_load(&mut self, load: &LoadStatus) -> bool {
        let known = self.load_number;
        if known.boot != load.number.boot || !load.number.supersedes(known) {
            return false;
        }
        self.load_number = load.number;
        self.status.answers = load.answers;
        self.status.load = load.load;
        self.status.memory_used = load.memory_used;
        self.status.load_wait_ms = load.load_wait_ms;
        self.status.permit_wait_ms = load.permit_wait_ms;
        self.status.permits_waiting = load.permits_waiting;
        self.status.failing_percent = load.failing_percent;
        true
    }

    /// Returns the load part as a load update.
    pub(super) fn load(&self) -> LoadStatus {
        LoadStatus {
            number: self.load_number,
            engine: self.status.engine,
            answers: self.status.answers,
            load: self.status.load,
            memory_used: self.status.memory_used,
            load_wait_ms: self.status.load_wait_ms,
            permit_wait_ms: self.status.permit_wait_ms,
            permits_waiting: self.status.permits_waiting,
            failing_percent: self.status.failing_percent,
        }
    }
}
