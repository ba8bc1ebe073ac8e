//! The last word of a sidecar, and of answers on an endpoint's load.

use oatpier_types::clock::ClockTime;

use crate::engine::EndpointLoad;
use crate::message::{EnginePulse, LoadPulse, MessageNumber};

/// What is known of an endpoint's load since its last word on it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadView {
    reported: EndpointLoad,
    pub(super) sent_since: u32,
    pub(super) ended_since: u32,
}

impl LoadView {
    pub(super) fn renew(&mut self, load: EndpointLoad) {
        *self = Self {
            reported: load,
            ..Self::default()
        };
    }

    /// Requests that waited there at its last word.
    pub(super) fn waiting(&self) -> u32 {
        self.reported.waiting
    }

    pub(super) fn present(&self) -> u32 {
        let reported = self.reported.running + self.reported.waiting;
        (reported + self.sent_since).saturating_sub(self.ended_since)
    }
}

/// A sidecar's last pulse.
#[derive(Debug, Clone)]
pub(super) struct KeptPulse {
    pub(super) pulse: EnginePulse,
    /// The word that the load in the pulse is from.
    pub(super) load_number: MessageNumber,
    pub(super) at: ClockTime,
    /// When the last whole pulse came; a word on the load alone does not say whether the engine answers.
    pub(super) whole_at: ClockTime,
}

impl KeptPulse {
    /// Takes a word on the load over, unless a newer one is known.
    pub(super) fn take_load(&mut self, load: &LoadPulse) -> bool {
        let known = self.load_number;
        if known.boot != load.number.boot || !load.number.supersedes(known) {
            return false;
        }
        self.load_number = load.number;
        self.pulse.load = load.load;
        self.pulse.memory_used = load.memory_used;
        self.pulse.load_wait_ms = load.load_wait_ms;
        self.pulse.permit_wait_ms = load.permit_wait_ms;
        self.pulse.permits_waiting = load.permits_waiting;
        self.pulse.failing_percent = load.failing_percent;
        true
    }

    /// The word on the load that this one holds.
    pub(super) fn load(&self) -> LoadPulse {
        LoadPulse {
            number: self.load_number,
            engine: self.pulse.engine,
            load: self.pulse.load,
            memory_used: self.pulse.memory_used,
            load_wait_ms: self.pulse.load_wait_ms,
            permit_wait_ms: self.pulse.permit_wait_ms,
            permits_waiting: self.pulse.permits_waiting,
            failing_percent: self.pulse.failing_percent,
        }
    }
}
