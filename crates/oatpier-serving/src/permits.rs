//! When an engine may be sent the next prompt.
//!
//! The load: an engine reads prompts between the steps of the streams that it serves, as much as is there,
//! and gateways that don't know of each other send theirs in clumps. Three or four prompts that are read in a
//! row make every stream there pause for longer than is in time, at an engine that is at work for less than
//! half of the time. So the sidecar beside the engine gives permits, and takes them back when the prompt was
//! read: what the engine has before it is so little that the steps between two pieces of a stream fit
//! into the longest pause that is in time. What has to wait does so before it is sent, in the order in which
//! it would be late; what can only be late goes when nothing else waits.
//!
//! A permit is a matter of speed only: a gateway that hears nothing sends without one.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;

use crate::message::{PermitAsk, PermitGrant};

/// The share of the longest pause that is in time for which an engine may have prompts before it. A stream's
/// piece takes some three steps, and each may read that much; the times that gateways learn are somewhat
/// longer than the reading alone. Mean worth of the heaviest site with 0.25: 0.544, with this: 0.555, three
/// plays of each of its days, at a spread of 0.01.
const READING_SHARE: f64 = 0.35;

/// A permit that was not given back for this long counts no more: the word was lost, or its gateway is
/// gone. Far longer than a prompt takes to be read, and short beside what is late by then.
const PERMIT_LIFE: Duration = Duration::from_millis(400);

/// An ask that was not repeated for this long is given up: its request was sent elsewhere or is over.
/// Gateways repeat theirs three times within it.
const ASK_LIFE: Duration = Duration::from_millis(100);

/// An ask that waits.
#[derive(Debug)]
struct KeptAsk {
    from: SocketAddr,
    ask: PermitAsk,
    /// Until when it can be in time.
    due_at: ClockTime,
    came_at: ClockTime,
    /// When it was last repeated.
    heard_at: ClockTime,
}

/// A permit that was given.
#[derive(Debug)]
struct GivenPermit {
    id: u64,
    at: ClockTime,
    reading: Duration,
}

/// An answer to an ask, and where it goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DueGrant {
    /// The gateway.
    pub to: SocketAddr,
    /// The answer.
    pub grant: PermitGrant,
}

/// Gives permits for one engine.
#[derive(Debug, Default)]
pub struct PermitDesk {
    asks: Vec<KeptAsk>,
    given: VecDeque<GivenPermit>,
    /// The shortest of the longest pauses that are in time, among those that asked last.
    pause: Option<Duration>,
}

impl PermitDesk {
    /// A gateway asks for a permit, or repeats an ask.
    pub fn take_ask(&mut self, from: SocketAddr, ask: PermitAsk, now: ClockTime) {
        self.pause = Some(
            self.pause
                .map_or(ask.pause(), |known| known.min(ask.pause())),
        );
        if let Some(kept) = self.asks.iter_mut().find(|kept| kept.ask.id == ask.id) {
            kept.heard_at = now;
            return;
        }
        self.asks.push(KeptAsk {
            from,
            due_at: now + ask.due_in(),
            came_at: now,
            heard_at: now,
            ask,
        });
    }

    /// The permits that can be given now.
    pub fn due(&mut self, now: ClockTime) -> Vec<DueGrant> {
        self.forget(now);
        let mut due = Vec::new();
        while let Some(place) = self.next(now) {
            let kept = self.asks.swap_remove(place);
            self.note_given(&kept.ask, now);
            due.push(DueGrant {
                to: kept.from,
                grant: PermitGrant { id: kept.ask.id },
            });
        }
        due
    }

    /// A gateway gives a permit back, or withdraws an ask.
    pub fn take_back(&mut self, id: u64) {
        self.given.retain(|given| given.id != id);
        self.asks.retain(|kept| kept.ask.id != id);
    }

    /// When a permit may be given next that is not given back, while asks wait.
    #[must_use]
    pub fn next_at(&self) -> Option<ClockTime> {
        if self.asks.is_empty() {
            return None;
        }
        let oldest = self.given.front()?;
        Some(oldest.at + PERMIT_LIFE)
    }

    /// The time to read everything that waits, in milliseconds.
    #[must_use]
    pub fn waiting(&self) -> Duration {
        self.asks.iter().map(|kept| kept.ask.reading()).sum()
    }

    fn forget(&mut self, now: ClockTime) {
        self.asks.retain(|kept| now.since(kept.heard_at) < ASK_LIFE);
        self.given.retain(|given| now.since(given.at) < PERMIT_LIFE);
        if self.given.is_empty() && self.asks.is_empty() {
            self.pause = None;
        }
    }

    /// The ask that is answered next: one that was answered already, or the most urgent one if the engine
    /// may read its prompt now.
    fn next(&self, now: ClockTime) -> Option<usize> {
        let repeated = |kept: &KeptAsk| self.given.iter().any(|given| given.id == kept.ask.id);
        if let Some(place) = self.asks.iter().position(repeated) {
            return Some(place);
        }
        let asks = self.asks.iter().enumerate();
        let (place, kept) = asks.min_by_key(|(_, kept)| kept.order(now))?;
        self.has_time(kept.ask.reading()).then_some(place)
    }

    /// Whether the engine can read a prompt without stretching the pauses of its streams too far. One that
    /// has nothing before it takes a prompt of any length.
    fn has_time(&self, reading: Duration) -> bool {
        let Some(pause) = self.pause else {
            return true;
        };
        let ahead: Duration = self.given.iter().map(|given| given.reading).sum();
        self.given.is_empty() || ahead + reading <= pause.mul_f64(READING_SHARE)
    }

    fn note_given(&mut self, ask: &PermitAsk, now: ClockTime) {
        if self.given.iter().any(|given| given.id == ask.id) {
            return;
        }
        self.given.push_back(GivenPermit {
            id: ask.id,
            at: now,
            reading: ask.reading(),
        });
    }
}

impl KeptAsk {
    /// Requests that can be in time go first, the one first that would be late first; the others follow in
    /// the order in which they came.
    fn order(&self, now: ClockTime) -> (bool, ClockTime) {
        let is_late = self.due_at <= now;
        (is_late, if is_late { self.came_at } else { self.due_at })
    }
}
