//! Lets engines lend each other their right to load from the weight store.
//!
//! With 93 engines and a rate of 69 loads in five seconds, fixed shares would leave 24 engines that may
//! never load from the weight store. Engines that have just joined would stay empty while others are full,
//! and a quarter of the fleet could not follow demand. The other engines would use only half of the rate,
//! since a load takes about as long as a share needs to become available again.
//!
//! An engine that has used up its share therefore requests the right of an engine that has not. The lender
//! first charges itself, as if it had loaded at the latest time at which the borrower may, and then grants
//! the right. A lost message wastes the right but violates no limit, under any network partition. A slow
//! borrower violates none either, because it measures the lifetime of the right from its own request.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;

use super::EngineResidency;
use crate::message::LoadRight;

/// Lifetime of a lent right, measured from its request. Covers a round trip between VMs and the orders that
/// come first.
pub(super) const RIGHT_LIFETIME: Duration = Duration::from_millis(300);

/// Interval between two requests for a right. Each goes to another lender.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// A request for a right, with its destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RightRequest {
    /// The sidecar that receives the request.
    pub lender: SocketAddr,
    /// The requested right.
    pub right: LoadRight,
}

/// The right that was requested last.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestedRight {
    right: LoadRight,
    at: ClockTime,
    is_granted: bool,
}

impl RequestedRight {
    pub(super) fn is_valid(&self, now: ClockTime) -> bool {
        self.is_granted && now.since(self.at) < RIGHT_LIFETIME
    }
}

impl EngineResidency {
    /// Returns the request to send now if only a right is missing to begin the advised load. `id`
    /// distinguishes it from other requests.
    pub fn request_right(&mut self, id: u64, now: ClockTime) -> Option<RightRequest> {
        if !self.lacks_right(now) {
            return None;
        }
        if self
            .requested_right
            .is_some_and(|requested| now.since(requested.at) < REQUEST_INTERVAL)
        {
            return None;
        }
        let lenders = &self.advice.as_ref()?.advice.lenders;
        let index = self.next_lender.checked_rem(lenders.len())?;
        let lender = *lenders.get(index)?;
        self.next_lender = index + 1;
        let right = LoadRight { id };
        self.requested_right = Some(RequestedRight {
            right,
            at: now,
            is_granted: false,
        });
        Some(RightRequest { lender, right })
    }

    /// Returns whether the next order is a load from the weight store that this engine may not begin yet.
    fn lacks_right(&self, now: ClockTime) -> bool {
        let Some((report, pending)) = self.report.as_ref().zip(self.advice.as_ref()) else {
            return false;
        };
        let is_waiting = self.loading.is_some() || report.busy || self.unconfirmed.is_some();
        let is_clear = !report
            .models
            .iter()
            .any(|held| pending.advice.unload.contains(&held.model));
        let from_store = !report.copies.has(&pending.advice.load);
        !is_waiting && is_clear && from_store && !self.may_load_from_store(now)
    }

    /// Handles a request from another engine's sidecar for this engine's right. Refuses if this engine
    /// needs the right itself.
    pub fn lend_right(&mut self, now: ClockTime) -> bool {
        let Some(spacing) = self.share.spacing(self.pace.window, now) else {
            return false;
        };
        let needs_right = self.advice.as_ref().is_some_and(|pending| {
            let copies = self.report.as_ref().map(|report| &report.copies);
            copies.is_none_or(|copies| !copies.has(&pending.advice.load))
        });
        if needs_right || self.unconfirmed.is_some() || !self.store_load_wait(now).is_zero() {
            return false;
        }
        self.next_store_load = now + RIGHT_LIFETIME + spacing;
        true
    }

    /// Records that a lender granted the requested right.
    pub fn accept_right(&mut self, right: LoadRight) {
        if let Some(requested) = self
            .requested_right
            .as_mut()
            .filter(|requested| requested.right == right)
        {
            requested.is_granted = true;
        }
    }

    /// Returns whether a load from the weight store may begin, by this engine's own right or by a lent one.
    pub(super) fn may_load_from_store(&self, now: ClockTime) -> bool {
        let is_lent = self
            .requested_right
            .is_some_and(|requested| requested.is_valid(now));
        is_lent || self.store_load_wait(now).is_zero()
    }

    /// Uses up a right: the engine's own one if available, otherwise the lent one.
    pub(super) fn spend_right(&mut self, now: ClockTime) {
        let is_own = self.store_load_wait(now).is_zero();
        if !is_own
            && self
                .requested_right
                .take_if(|requested| requested.is_valid(now))
                .is_some()
        {
            return;
        }
        let spacing = self.share.spacing(self.pace.window, now);
        self.next_store_load = now + spacing.unwrap_or(self.pace.longest_spacing());
    }
}
