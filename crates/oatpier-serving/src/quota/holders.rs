//! Known holders of the parts of limits, and whether they respond.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;

use super::{PARTS, PartIndex};

/// How long a holder that did not respond is queried last. The time doubles with each further timeout.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum of that time. A holder that was unreachable is used again at most this long after it is back.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How long a part is queried last after its holder answered that it does not hold it. This gateway must first read the
/// next holder from the store.
const NOT_HELD_BACKOFF: Duration = Duration::from_millis(250);

/// Address of the holder of each part, as far as known; `None` for a part without a holder.
pub type PartHolders = [Option<SocketAddr>; PARTS as usize];

#[derive(Debug, Clone, Copy, Default)]
struct HolderState {
    holder: Option<SocketAddr>,
    timeouts: u32,
    backoff_until: ClockTime,
}

/// Holders of all parts, as known to a gateway that queries them.
#[derive(Debug, Default)]
pub struct HolderTable {
    states: [HolderState; PARTS as usize],
}

impl HolderTable {
    /// Replaces the holders of all parts. The response state of a part is reset if its holder changed.
    pub fn set(&mut self, holders: PartHolders) {
        for (state, holder) in self.states.iter_mut().zip(holders) {
            if state.holder != holder {
                *state = HolderState::default();
            }
            state.holder = holder;
        }
    }

    /// Returns the holder of a part, if it has one.
    #[must_use]
    pub fn holder(&self, part: PartIndex) -> Option<SocketAddr> {
        self.states[part.place()].holder
    }

    /// Returns whether a part's holder recently failed to respond or answered that it does not hold the part.
    #[must_use]
    pub fn is_unresponsive(&self, part: PartIndex, now: ClockTime) -> bool {
        now < self.states[part.place()].backoff_until
    }

    /// Records that the holder of a part responded.
    pub fn note_answer(&mut self, part: PartIndex) {
        let state = &mut self.states[part.place()];
        state.timeouts = 0;
        state.backoff_until = ClockTime::ZERO;
    }

    /// Records that the holder of a part answered that it does not hold it.
    pub fn note_not_held(&mut self, part: PartIndex, now: ClockTime) {
        self.states[part.place()].backoff_until = now + NOT_HELD_BACKOFF;
    }

    /// Records that the holder of a part did not respond in time.
    pub fn note_timeout(&mut self, part: PartIndex, now: ClockTime) {
        let state = &mut self.states[part.place()];
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(state.timeouts.min(8));
        state.timeouts += 1;
        state.backoff_until = now + backoff.min(MAX_BACKOFF);
    }
}
