//! When an engine may be sent the next request.
//!
//! The load: an engine reads prompts between the steps of the streams that it serves, as much as is there,
//! and gateways that don't know of each other send theirs in clumps. Three or four prompts that are read in a
//! row make every stream there pause for longer than is in time, at an engine that is at work for less than
//! half of the time. And with 68 gateways, each of which sends an engine a request every few seconds, nobody
//! but the engine's own sidecar knows whether a slot is free: each free one is seen by many gateways, and all
//! but one of the requests that they send wait at the engine, behind whatever is long there.
//!
//! So the sidecar beside the engine gives permits. One says that a slot is free, and that what the engine has
//! to read before it is so little that the steps between two pieces of a stream fit into the longest pause
//! that is in time; it is given back when the prompt was read. What has to wait does so before it is sent, in
//! the order in which it would be late; what can only be late goes when nothing else waits.
//!
//! A permit is a matter of speed only: a gateway that hears nothing sends without one.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;

use crate::admission;
use crate::engine::EndpointLoad;
use crate::message::{PermitAsk, PermitGrant};

/// The share of the longest pause that is in time for which an engine may have prompts before it. A stream's
/// piece takes some three steps, and each may read that much; the rest of a pause is the steps themselves.
const READING_SHARE: f64 = 0.27;

/// A permit that was not given back for this long counts no more: the word was lost, or its gateway is
/// gone. Far longer than a prompt takes to be read, and short beside what is late by then.
const PERMIT_LIFE: Duration = Duration::from_millis(400);

/// A prompt counts as read after this many times the time that it takes to be read, and [`READING_SLACK`]. A
/// gateway on a thin VM gives a permit back long after the engine has read the prompt.
const READING_TIMES: u32 = 2;

/// The way to the gateway and from there to the engine, a new connection, and the step under way.
const READING_SLACK: Duration = Duration::from_millis(40);

/// How much later a request may be late, for each rank that its class is less urgent, and still go first. Where
/// slots are short the urgent classes then get them: their requests are short, and each long one that goes first
/// makes several of them late. Less than callers wait, so that the others have their turn.
const RANK_SPAN: Duration = Duration::from_millis(200);

/// An ask that was not repeated for this long is given up: its request was sent elsewhere or is over.
/// Gateways repeat theirs three times within it.
const ASK_LIFE: Duration = Duration::from_millis(100);

/// From giving a permit until its request shows in the engine's report: the way to the gateway and to the
/// engine, and a new connection. Counted twice for a moment, a request costs a slot that long.
const ARRIVAL: Duration = Duration::from_millis(8);

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

impl GivenPermit {
    /// When it counts no more, if it is not given back before.
    fn ends_at(&self) -> ClockTime {
        self.at + (self.reading * READING_TIMES + READING_SLACK).min(PERMIT_LIFE)
    }
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
    /// Requests at the engine at its last report; none while it is not known.
    reported: Option<u32>,
    /// When permits were given whose requests the last report may not show yet.
    unseen: VecDeque<ClockTime>,
}

impl PermitDesk {
    /// The engine reported its load. Requests that had their permit a moment ago are not in it yet.
    pub fn note_load(&mut self, load: EndpointLoad, now: ClockTime) {
        self.reported = Some(load.running + load.waiting);
        self.unseen
            .retain(|given_at| now.since(*given_at) < ARRIVAL);
    }

    /// Nothing is known of the engine's load: permits are given by what it has to read alone.
    pub fn forget_load(&mut self) {
        self.reported = None;
        self.unseen.clear();
    }

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
        self.given.iter().map(GivenPermit::ends_at).min()
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting_requests(&self) -> u32 {
        u32::try_from(self.asks.len()).unwrap_or(u32::MAX)
    }

    /// The time to read everything that waits, in milliseconds.
    #[must_use]
    pub fn waiting(&self) -> Duration {
        self.asks.iter().map(|kept| kept.ask.reading()).sum()
    }

    fn forget(&mut self, now: ClockTime) {
        self.asks.retain(|kept| now.since(kept.heard_at) < ASK_LIFE);
        self.given.retain(|given| given.ends_at() > now);
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
        let has_room = self.has_slot(&kept.ask, kept.is_late(now));
        (has_room && self.has_time(kept.ask.reading())).then_some(place)
    }

    /// Whether a slot is free for a request, by the engine's last report and the permits since then.
    fn has_slot(&self, ask: &PermitAsk, is_late: bool) -> bool {
        let Some(reported) = self.reported else {
            return true;
        };
        let unseen = u32::try_from(self.unseen.len()).unwrap_or(u32::MAX);
        let taken = f64::from(reported.saturating_add(unseen));
        taken < f64::from(ask.slots) * admission::slots_share(is_late, ask.is_urgent)
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
        self.unseen.push_back(now);
    }
}

impl KeptAsk {
    /// Whether its request can only be late.
    fn is_late(&self, now: ClockTime) -> bool {
        self.due_at <= now
    }

    /// Requests that can be in time go first, the one first that would be late first; the others follow in
    /// the order in which they came. Less urgent classes count as later.
    fn order(&self, now: ClockTime) -> (bool, ClockTime) {
        let is_late = self.is_late(now);
        let at = if is_late { self.came_at } else { self.due_at };
        (is_late, at + RANK_SPAN * u32::from(self.ask.priority))
    }
}
