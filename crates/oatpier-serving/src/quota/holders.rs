//! Who holds the parts of limits, and which of them answer.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;

use super::{PARTS, PartIndex};

/// A holder that did not answer is asked last for this long, the first time; each further time twice as long.
const SILENT_FIRST: Duration = Duration::from_millis(500);

/// The longest time for that: a holder that was cut off is found again this soon.
const SILENT_MOST: Duration = Duration::from_secs(4);

/// A part whose holder no longer holds it is asked last for this long: its next holder has to be read first.
const UNHELD_PAUSE: Duration = Duration::from_millis(250);

/// Where the holders of all parts are, as far as known; none for a part that nobody holds.
pub type PartHolders = [Option<SocketAddr>; PARTS as usize];

#[derive(Debug, Clone, Copy, Default)]
struct HolderView {
    holder: Option<SocketAddr>,
    silences: u32,
    silent_until: ClockTime,
}

/// The holders of all parts, as a gateway that asks them knows them.
#[derive(Debug, Default)]
pub struct HolderBook {
    views: [HolderView; PARTS as usize],
}

impl HolderBook {
    /// Who holds the parts now.
    pub fn set(&mut self, holders: PartHolders) {
        for (view, holder) in self.views.iter_mut().zip(holders) {
            if view.holder != holder {
                *view = HolderView::default();
            }
            view.holder = holder;
        }
    }

    /// Who holds a part, if anybody does.
    #[must_use]
    pub fn holder(&self, part: PartIndex) -> Option<SocketAddr> {
        self.views[part.place()].holder
    }

    /// Whether a part's holder did not answer lately, or does not hold it.
    #[must_use]
    pub fn is_silent(&self, part: PartIndex, now: ClockTime) -> bool {
        now < self.views[part.place()].silent_until
    }

    /// A holder answered.
    pub fn note_answer(&mut self, part: PartIndex) {
        let view = &mut self.views[part.place()];
        view.silences = 0;
        view.silent_until = ClockTime::ZERO;
    }

    /// A part's holder no longer holds it.
    pub fn note_unheld(&mut self, part: PartIndex, now: ClockTime) {
        self.views[part.place()].silent_until = now + UNHELD_PAUSE;
    }

    /// A holder did not answer.
    pub fn note_silence(&mut self, part: PartIndex, now: ClockTime) {
        let view = &mut self.views[part.place()];
        let span = SILENT_FIRST * 2_u32.saturating_pow(view.silences.min(8));
        view.silences += 1;
        view.silent_until = now + span.min(SILENT_MOST);
    }
}
