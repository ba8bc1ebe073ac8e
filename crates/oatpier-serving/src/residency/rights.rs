//! Rights to load from the weight store that engines lend each other.
//!
//! The load: 93 engines share a rate of 69 loads in five seconds. Divided in fixed parts, 24 of them may never
//! load from the store: engines that have just joined stay empty while others are full, and a fourth of the fleet
//! can't follow demand. Meanwhile the others use half of the rate, since a load takes as long as a part does to
//! come back.
//!
//! So an engine whose part is spent asks one whose part is not. The lender charges itself first, as if it had
//! loaded at the latest moment at which the borrower may, and then says yes. A word that is lost wastes the
//! right and breaks no bound, however the fleet is cut; neither does a borrower that is slow, which counts
//! the right's life from its own question.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;

use super::EngineResidency;
use crate::message::LoadRight;

/// A lent right counts for this long after it was asked for: two ways between VMs, and the orders before.
pub(super) const RIGHT_LIFE: Duration = Duration::from_millis(300);

/// From one question for a right to the next, to another lender.
const ASK_EVERY: Duration = Duration::from_millis(60);

/// A question for a right, and who gets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RightQuestion {
    /// The sidecar that is asked.
    pub lender: SocketAddr,
    /// What it is asked for.
    pub right: LoadRight,
}

/// The right that was asked for last.
#[derive(Debug, Clone, Copy)]
pub(super) struct AskedRight {
    right: LoadRight,
    at: ClockTime,
    is_given: bool,
}

impl AskedRight {
    pub(super) fn counts(&self, now: ClockTime) -> bool {
        self.is_given && now.since(self.at) < RIGHT_LIFE
    }
}

impl EngineResidency {
    /// The question to ask now, where only a right is missing to begin the load that is advised. `id` tells it
    /// from others.
    pub fn ask_for_right(&mut self, id: u64, now: ClockTime) -> Option<RightQuestion> {
        if !self.lacks_right(now) {
            return None;
        }
        if self
            .asked
            .is_some_and(|asked| now.since(asked.at) < ASK_EVERY)
        {
            return None;
        }
        let lenders = &self.advice.as_ref()?.advice.lenders;
        let place = self.next_lender.checked_rem(lenders.len())?;
        let lender = *lenders.get(place)?;
        self.next_lender = place + 1;
        let right = LoadRight { id };
        self.asked = Some(AskedRight {
            right,
            at: now,
            is_given: false,
        });
        Some(RightQuestion { lender, right })
    }

    /// Whether the next order is a load from the weight store that this engine may not begin yet.
    fn lacks_right(&self, now: ClockTime) -> bool {
        let Some((report, kept)) = self.report.as_ref().zip(self.advice.as_ref()) else {
            return false;
        };
        let waits = self.loading.is_some() || report.busy || self.unsettled.is_some();
        let is_clear = !report
            .models
            .iter()
            .any(|held| kept.advice.unload.contains(&held.model));
        let from_store = !report.copies.has(&kept.advice.load);
        !waits && is_clear && from_store && !self.may_load_from_store(now)
    }

    /// Another engine's sidecar asks for this one's right. Whoever has a use for its own keeps it.
    pub fn lend(&mut self, now: ClockTime) -> bool {
        let Some(spacing) = self.pace.spacing() else {
            return false;
        };
        let needs_it = self.advice.as_ref().is_some_and(|kept| {
            let copies = self.report.as_ref().map(|report| &report.copies);
            copies.is_none_or(|copies| !copies.has(&kept.advice.load))
        });
        if needs_it || self.unsettled.is_some() || !self.store_load_wait(now).is_zero() {
            return false;
        }
        self.next_store_load = now + RIGHT_LIFE + spacing;
        true
    }

    /// A lender gave the right that was asked for.
    pub fn take_right(&mut self, right: LoadRight) {
        if let Some(asked) = self.asked.as_mut().filter(|asked| asked.right == right) {
            asked.is_given = true;
        }
    }

    /// Whether a load from the weight store may begin, by this engine's own right or a lent one.
    pub(super) fn may_load_from_store(&self, now: ClockTime) -> bool {
        let is_lent = self.asked.is_some_and(|asked| asked.counts(now));
        is_lent || self.store_load_wait(now).is_zero()
    }

    /// Spends a right: the own one, or else the lent one.
    pub(super) fn spend_right(&mut self, now: ClockTime) {
        let is_own = self.store_load_wait(now).is_zero();
        if !is_own && self.asked.take_if(|asked| asked.counts(now)).is_some() {
            return;
        }
        let spacing = self.pace.spacing();
        self.next_store_load = now + spacing.unwrap_or(self.pace.longest_spacing());
    }
}
