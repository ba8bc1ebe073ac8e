//! Limits how often one engine may load from the weight store.

use std::time::Duration;

/// Rate limit of one sidecar for loads from the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadPace {
    /// Number of loads that all engines together may begin within [`LoadPace::window`].
    pub loads: u32,
    /// Number of engines that share these loads.
    pub engines: u32,
    /// Index of this engine among them, starting at 0. If there are fewer loads than engines, only the
    /// first engines may load from the weight store, because any other division would need a synchronized
    /// clock.
    pub index: u32,
    /// Length of the window.
    pub window: Duration,
}

impl LoadPace {
    /// Returns the minimum time between two loads of this engine that keeps the shared rate without
    /// coordination between engines. Returns `None` if the engine may not load from the weight store.
    #[must_use]
    pub fn spacing(&self) -> Option<Duration> {
        let each = self.loads / self.engines.max(1);
        if each >= 1 {
            Some(self.window / each)
        } else {
            (self.index < self.loads).then_some(self.window)
        }
    }

    /// Returns the time to wait if earlier loads are unknown.
    pub(super) fn longest_spacing(&self) -> Duration {
        self.window
    }
}
