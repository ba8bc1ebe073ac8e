//! Limits how often one engine may load from the weight store.

use std::time::Duration;

use oatpier_types::clock::ClockTime;

/// Time after which a share that no gateway has stated again no longer counts: two subscription intervals. The engine may
/// have left the registry, and others then share its part.
const SHARE_EXPIRY: Duration = Duration::from_secs(4);

/// Time within which all gateways know of a change of the registry.
const REGISTRY_SPREAD: Duration = Duration::from_secs(5);

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
        Some(self.window / self.share()?)
    }

    /// Returns how many loads this engine may begin in a window, or `None` if it may begin none.
    fn share(&self) -> Option<u32> {
        let each = self.loads / self.engines.max(1);
        if each >= 1 {
            Some(each)
        } else {
            (self.index < self.loads).then_some(1)
        }
    }

    /// Returns the time to wait if earlier loads are unknown.
    pub(super) fn longest_spacing(&self) -> Duration {
        self.window
    }
}

/// The share of the rate that an engine may use.
///
/// Gateways derive it from the engines that the registry lists. When entries lapse or return, different engines are
/// told of different divisions for some time, and a part may change hands. A larger share is therefore used only when the
/// previous holder has certainly lost it for a whole window. A smaller one counts at once.
#[derive(Debug)]
pub(super) struct HeldShare {
    /// Number of loads in a window, or `None` if the engine may begin none.
    loads: Option<u32>,
    stated_at: Option<ClockTime>,
    /// Since when all statements have been of a larger share.
    larger_since: Option<ClockTime>,
}

impl HeldShare {
    /// Creates the share of an engine before a gateway has stated one. It does not expire.
    pub(super) fn new(pace: &LoadPace) -> Self {
        Self {
            loads: pace.share(),
            stated_at: None,
            larger_since: None,
        }
    }

    /// Applies a gateway's statement.
    pub(super) fn note_stated(&mut self, pace: &LoadPace, now: ClockTime) {
        let stated = pace.share();
        let is_first = self.stated_at.is_none();
        self.loads = self.loads(now);
        self.stated_at = Some(now);
        if is_first || stated <= self.loads {
            self.loads = stated;
            self.larger_since = None;
            return;
        }
        let since = *self.larger_since.get_or_insert(now);
        if now.since(since) >= pace.window + SHARE_EXPIRY + REGISTRY_SPREAD {
            self.loads = stated;
            self.larger_since = None;
        }
    }

    /// Returns the minimum time between two loads, or `None` if the engine may begin none.
    pub(super) fn spacing(&self, window: Duration, now: ClockTime) -> Option<Duration> {
        Some(window / self.loads(now)?)
    }

    fn loads(&self, now: ClockTime) -> Option<u32> {
        let is_current = self
            .stated_at
            .is_none_or(|stated_at| now.since(stated_at) < SHARE_EXPIRY);
        self.loads.filter(|_| is_current)
    }
}
