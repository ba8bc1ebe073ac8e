//! A planned stop of an agent or its endpoint.
//!
//! From the moment that it is told to leave, the agent refuses all new work itself, whatever the
//! entries still believe, and goes on with what is at the endpoint until the last of it is over.

/// How far a planned stop is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DrainState {
    /// No stop is planned.
    #[default]
    Serving,
    /// New work is refused, work at the endpoint goes on.
    Leaving,
    /// No work is left.
    Drained,
}

impl DrainState {
    /// Whether new work is taken.
    #[must_use]
    pub fn accepts(self) -> bool {
        self == Self::Serving
    }

    /// Begins the stop; of no effect on one that has begun.
    pub fn leave(&mut self) {
        if *self == Self::Serving {
            *self = Self::Leaving;
        }
    }

    /// Ends the stop if no work is left. True the one time that it ends.
    pub fn settle(&mut self, in_flight: usize) -> bool {
        let ends = *self == Self::Leaving && in_flight == 0;
        if ends {
            *self = Self::Drained;
        }
        ends
    }
}
