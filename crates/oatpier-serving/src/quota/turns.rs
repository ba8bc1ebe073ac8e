//! Turns at an endpoint that limits the requests of all gateways together.
//!
//! The limit is divided like those of workspaces: each part is held by one gateway, which alone gives its turns, one
//! after the other at the part's pace. A turn may lie ahead, so that requests wait in the order in which they asked and
//! nobody asks twice. A gateway that reaches no holder sends such an endpoint nothing: any share that it could take by
//! itself would rest on a count of gateways, which is wrong in a partition.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::holder::PartStart;
use super::holders::HolderBook;
use super::{PARTS, PartIndex};
use crate::notice::RequestRate;

/// How far ahead turns are given at the most. What was given before a limit fell is used within it.
pub const MOST_AHEAD: Duration = Duration::from_secs(2);

/// A turn that was not used for this long after its time is void. Turns that were saved up for longer could all be used
/// at once.
pub const TURN_LIFE: Duration = Duration::from_millis(300);

/// Turns that nobody asked for may be given this much later. It covers the way from one ask to the next.
const SAVED: Duration = Duration::from_millis(100);

/// An endpoint for which no holder answers is not asked for again before this.
const NOBODY_PAUSE: Duration = Duration::from_millis(250);

/// From one turn of a part to the next.
#[must_use]
pub fn turn_gap(rate: RequestRate) -> Duration {
    Duration::from_secs_f64(f64::from(PARTS) / rate.per_second())
}

/// What a holder says to an ask for a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TurnAnswer {
    /// The turn is so many milliseconds ahead.
    In(u32),
    /// The next turn is so many milliseconds ahead, which is more than the asker waits. It was not given.
    Later(u32),
    /// This gateway does not hold the part.
    NotHeld,
}

/// The turns that one part gives at one endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct TurnQueue {
    last_at: Option<ClockTime>,
    not_before: ClockTime,
}

impl TurnQueue {
    /// A queue of a part that is held since `at`. Turns that its last holder gave may lie ahead.
    pub(super) fn begin(start: PartStart, at: ClockTime) -> Self {
        let not_before = match start {
            PartStart::Full => at,
            PartStart::Empty => at + MOST_AHEAD,
        };
        Self {
            last_at: None,
            not_before,
        }
    }

    /// Gives the next turn, unless it is further ahead than `most_wait`.
    pub(super) fn give(
        &mut self,
        rate: RequestRate,
        most_wait: Duration,
        now: ClockTime,
    ) -> TurnAnswer {
        let free_at = self.last_at.map_or(self.not_before, |last| {
            (last + turn_gap(rate)).max(self.not_before)
        });
        let at = free_at.max(now - SAVED);
        let wait = at.since(now);
        if wait > most_wait.min(MOST_AHEAD) {
            return TurnAnswer::Later(whole_millis(wait));
        }
        self.last_at = Some(at);
        TurnAnswer::In(whole_millis(wait))
    }
}

/// Rounded up: a turn is not used before its time.
fn whole_millis(span: Duration) -> u32 {
    u32::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

/// A turn that a request has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldTurn {
    /// When it may be used.
    pub at: ClockTime,
}

impl HeldTurn {
    /// Whether a request may be sent by it now.
    #[must_use]
    pub fn is_valid(&self, now: ClockTime) -> bool {
        now >= self.at && now.since(self.at) <= TURN_LIFE
    }
}

/// Whom to ask for a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnQuery {
    /// The part.
    pub part: PartIndex,
    /// Its holder.
    pub holder: SocketAddr,
    /// How far ahead the turn may be.
    pub most_wait: Duration,
}

/// How a request gets its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnStep {
    /// A holder has to be asked.
    Ask(TurnQuery),
    /// The next turn is so far ahead, which is more than it waits.
    Later(Duration),
    /// No holder is known that answers.
    Nobody,
}

/// When the parts give their next turns at one endpoint, as far as a gateway knows. Others ask too, so turns are later
/// than this and never earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TurnEstimates {
    free_at: [ClockTime; PARTS as usize],
    /// When a turn can be had at the soonest, by the last step.
    next_at: ClockTime,
}

impl TurnEstimates {
    /// How long until a turn can be had, at the least.
    #[must_use]
    pub fn wait(&self, now: ClockTime) -> Duration {
        self.next_at.since(now)
    }

    /// What a request that waits for `most_wait` does next. The part with the next turn is asked for one that is not
    /// later than the next part's, so that parts which others have asked are found out.
    pub fn step(&mut self, holders: &HolderBook, most_wait: Duration, now: ClockTime) -> TurnStep {
        let most_wait = most_wait.min(MOST_AHEAD);
        let mut open: SmallVec<[(ClockTime, PartIndex, SocketAddr); PARTS as usize]> =
            PartIndex::all()
                .filter(|part| !holders.is_silent(*part, now))
                .filter_map(|part| {
                    Some((
                        self.free_at[part.place()].max(now),
                        part,
                        holders.holder(part)?,
                    ))
                })
                .collect();
        open.sort_by_key(|(free_at, part, _)| (*free_at, *part));
        let Some((free_at, part, holder)) = open.first().copied() else {
            self.next_at = now + NOBODY_PAUSE;
            return TurnStep::Nobody;
        };
        self.next_at = free_at;
        let wait = free_at.since(now);
        if wait > most_wait {
            return TurnStep::Later(wait);
        }
        let others = open.get(1).map_or(most_wait, |(at, _, _)| at.since(now));
        TurnStep::Ask(TurnQuery {
            part,
            holder,
            most_wait: others.min(most_wait),
        })
    }

    /// Takes an answer; gives back the turn, if there is one.
    pub fn take_answer(
        &mut self,
        holders: &mut HolderBook,
        part: PartIndex,
        answer: TurnAnswer,
        rate: RequestRate,
        now: ClockTime,
    ) -> Option<HeldTurn> {
        let span = |millis: u32| Duration::from_millis(u64::from(millis));
        let free_at = &mut self.free_at[part.place()];
        holders.note_answer(part);
        match answer {
            TurnAnswer::In(millis) => {
                let at = now + span(millis);
                *free_at = at + turn_gap(rate);
                Some(HeldTurn { at })
            }
            TurnAnswer::Later(millis) => {
                *free_at = now + span(millis);
                None
            }
            TurnAnswer::NotHeld => {
                holders.note_unheld(part, now);
                None
            }
        }
    }
}
