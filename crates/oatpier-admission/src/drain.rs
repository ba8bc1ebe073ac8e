//! Graceful shutdown of an agent or its endpoint.
//!
//! After the event that starts the shutdown, the agent itself refuses all new work, even if entries
//! still route work to it from outdated state. Work that is already at the endpoint is finished.

/// The progress of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DrainState {
    /// No shutdown is in progress.
    #[default]
    Serving,
    /// New work is refused; work at the endpoint continues.
    Leaving,
    /// No work is left.
    Drained,
}

impl DrainState {
    /// Returns whether new work is accepted.
    #[must_use]
    pub fn accepts(self) -> bool {
        self == Self::Serving
    }

    /// Starts the shutdown. Has no effect if it has already started.
    pub fn leave(&mut self) {
        if *self == Self::Serving {
            *self = Self::Leaving;
        }
    }

    /// Ends the shutdown if no work is left. Returns true only on the call that ends it.
    pub fn settle(&mut self, in_flight: usize) -> bool {
        let ends = *self == Self::Leaving && in_flight == 0;
        if ends {
            *self = Self::Drained;
        }
        ends
    }
}
