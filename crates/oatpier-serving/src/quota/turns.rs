//! Turns, which are reserved send times at an endpoint that limits the requests of all gateways together.
//!
//! The limit is divided like those of workspaces. Each part is held by one gateway, and only that gateway grants its
//! turns, spaced at the part's rate. A turn may be in the future, so that requests wait in the order of their
//! queries, and one query for each is enough. A gateway that reaches no holder sends no requests to such an endpoint. A
//! share that it computed by itself would depend on the number of gateways, which is unknown during a network
//! partition.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::holder::PartStart;
use super::holders::HolderTable;
use super::{PARTS, PartIndex};
use crate::notice::RequestRate;

/// Maximum time by which a turn is granted in advance. Turns granted before a limit was lowered are used within it.
pub const MAX_TURN_ADVANCE: Duration = Duration::from_secs(2);

/// How long a turn stays valid after its time. If unused turns were valid for longer, many of them could be used at
/// once.
pub const TURN_VALIDITY: Duration = Duration::from_millis(300);

/// How far a turn may lie in the past, where no gateway requested it in time. It covers the delay between two queries.
const MAX_TURN_AGE: Duration = Duration::from_millis(100);

/// Delay before an endpoint is tried again after no holder responded.
const NO_HOLDER_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Returns the time between two turns of one part.
#[must_use]
pub fn turn_interval(rate: RequestRate) -> Duration {
    Duration::from_secs_f64(f64::from(PARTS) / rate.per_second())
}

/// Answer of a holder to a query for a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TurnAnswer {
    /// The turn is granted, and is this many milliseconds in the future.
    In(u32),
    /// The next turn is this many milliseconds in the future, which is more than the sender waits. It is not granted.
    Later(u32),
    /// This gateway does not hold the part.
    NotHeld,
}

/// Turns that one part grants at one endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct TurnQueue {
    last_at: Option<ClockTime>,
    not_before: ClockTime,
}

impl TurnQueue {
    /// Creates the queue of a part that is held since `at`. The previous holder may have granted turns in the future.
    pub(super) fn new(start: PartStart, at: ClockTime) -> Self {
        let not_before = match start {
            PartStart::Full => at,
            PartStart::Empty => at + MAX_TURN_ADVANCE,
        };
        Self {
            last_at: None,
            not_before,
        }
    }

    /// Grants the next turn, unless it is further in the future than `max_wait`.
    pub(super) fn grant(
        &mut self,
        rate: RequestRate,
        max_wait: Duration,
        now: ClockTime,
    ) -> TurnAnswer {
        let free_at = self.last_at.map_or(self.not_before, |last| {
            (last + turn_interval(rate)).max(self.not_before)
        });
        let at = free_at.max(now - MAX_TURN_AGE);
        let wait = at.since(now);
        if wait > max_wait.min(MAX_TURN_ADVANCE) {
            return TurnAnswer::Later(whole_millis(wait));
        }
        self.last_at = Some(at);
        TurnAnswer::In(whole_millis(wait))
    }
}

/// Converts to milliseconds, rounded up because a turn must not be used before its time.
fn whole_millis(span: Duration) -> u32 {
    u32::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

/// Turn that was granted to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldTurn {
    /// Time from which the turn may be used.
    pub at: ClockTime,
}

impl HeldTurn {
    /// Returns whether a request may be sent with this turn now.
    #[must_use]
    pub fn is_valid(&self, now: ClockTime) -> bool {
        now >= self.at && now.since(self.at) <= TURN_VALIDITY
    }
}

/// Query for a turn and the holder that receives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnQuery {
    /// Part to query.
    pub part: PartIndex,
    /// Address of the holder of the part.
    pub holder: SocketAddr,
    /// Maximum time by which the turn may be in the future.
    pub max_wait: Duration,
}

/// Next step of a request that needs a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnStep {
    /// A holder must be queried.
    Query(TurnQuery),
    /// The next turn is this far in the future, which is longer than the request waits.
    Later(Duration),
    /// No holder is known that responds.
    NoHolder,
}

/// Estimated times of the next turn of each part at one endpoint. Other gateways take turns too, so the real times are
/// never earlier and may be later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TurnEstimates {
    free_at: [ClockTime; PARTS as usize],
    /// Earliest time of a turn according to the last step.
    next_at: ClockTime,
}

impl TurnEstimates {
    /// Returns the minimum wait until a turn is available.
    #[must_use]
    pub fn wait(&self, now: ClockTime) -> Duration {
        self.next_at.since(now)
    }

    /// Returns the next step of a request that waits at most `max_wait`. The part with the earliest estimate is queried
    /// for a turn no later than the next part's estimate, which reveals parts whose turns other gateways have taken.
    pub fn step(&mut self, holders: &HolderTable, max_wait: Duration, now: ClockTime) -> TurnStep {
        let max_wait = max_wait.min(MAX_TURN_ADVANCE);
        let mut candidates: SmallVec<[(ClockTime, PartIndex, SocketAddr); PARTS as usize]> =
            PartIndex::all()
                .filter(|part| !holders.is_unresponsive(*part, now))
                .filter_map(|part| {
                    Some((
                        self.free_at[part.place()].max(now),
                        part,
                        holders.holder(part)?,
                    ))
                })
                .collect();
        candidates.sort_by_key(|(free_at, part, _)| (*free_at, *part));
        let Some((free_at, part, holder)) = candidates.first().copied() else {
            self.next_at = now + NO_HOLDER_RETRY_DELAY;
            return TurnStep::NoHolder;
        };
        self.next_at = free_at;
        let wait = free_at.since(now);
        if wait > max_wait {
            return TurnStep::Later(wait);
        }
        let next_wait = candidates
            .get(1)
            .map_or(max_wait, |(at, _, _)| at.since(now));
        TurnStep::Query(TurnQuery {
            part,
            holder,
            max_wait: next_wait.min(max_wait),
        })
    }

    /// Applies an answer, and returns the turn if one was granted.
    pub fn apply_answer(
        &mut self,
        holders: &mut HolderTable,
        part: PartIndex,
        answer: TurnAnswer,
        rate: RequestRate,
        now: ClockTime,
    ) -> Option<HeldTurn> {
        let duration = |millis: u32| Duration::from_millis(u64::from(millis));
        let free_at = &mut self.free_at[part.place()];
        holders.note_answer(part);
        match answer {
            TurnAnswer::In(millis) => {
                let at = now + duration(millis);
                *free_at = at + turn_interval(rate);
                Some(HeldTurn { at })
            }
            TurnAnswer::Later(millis) => {
                *free_at = now + duration(millis);
                None
            }
            TurnAnswer::NotHeld => {
                holders.note_not_held(part, now);
                None
            }
        }
    }
}
