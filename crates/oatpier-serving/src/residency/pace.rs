//! How often one engine may load from the weight store.

use std::time::Duration;

/// The pace of loads from the weight store that one sidecar keeps to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadPace {
    /// Loads that all engines may begin within [`LoadPace::window`].
    pub loads: u32,
    /// Engines among which they are divided.
    pub engines: u32,
    /// This engine's place among them, from 0. Where there are fewer loads than engines, only the
    /// first ones may load from the weight store: any other division would need agreement on time.
    pub place: u32,
    /// The window.
    pub window: Duration,
}

impl LoadPace {
    /// The time from one load of this engine to its next one, so that all engines together keep
    /// the rate without asking each other; none if it may not load from the store.
    #[must_use]
    pub fn spacing(&self) -> Option<Duration> {
        let each = self.loads / self.engines.max(1);
        if each >= 1 {
            Some(self.window / each)
        } else {
            (self.place < self.loads).then_some(self.window)
        }
    }

    /// The time to wait where nothing is known of earlier loads.
    pub(super) fn longest_spacing(&self) -> Duration {
        self.window
    }
}
