//! What the callers saw: the figures come from here, not from what the decisions believe.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::ClassTarget;
use oatpier_types::event::{AnswerEnd, FleetEvent, LoggedEvent};
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::{Repeat, RunVerdict};

/// One try of a caller.
#[derive(Debug, Clone)]
pub struct CallerTry {
    /// Which arrival it belongs to.
    pub arrival: usize,
    /// Its place among the tries of the arrival, from 0.
    pub number: u32,
    /// The entry that it was sent to.
    pub entry: usize,
    sent_at: ClockTime,
    first_at: Option<ClockTime>,
    last_at: ClockTime,
    tokens: u32,
}

/// How a caller's request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArrivalRecord {
    /// When its first try was sent.
    pub sent_at: ClockTime,
    /// Whether a try was answered whole and within the target, counted from the first try.
    pub in_time: bool,
    /// Whether a try was answered whole.
    pub whole: bool,
}

/// All callers.
#[derive(Default)]
pub struct CallerBook {
    tries: IndexMap<RequestId, CallerTry>,
    arrivals: IndexMap<usize, ArrivalRecord>,
    events: Vec<LoggedEvent>,
    refusals: IndexMap<&'static str, u32>,
}

/// How an answer ended, as the entry gave it.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSeen {
    /// Whether it was whole.
    pub whole: bool,
    /// Its verdict.
    pub verdict: RunVerdict,
    /// Its cause.
    pub cause: &'static str,
}

impl CallerBook {
    /// A try was sent.
    pub fn sent(
        &mut self,
        request: RequestId,
        arrival: usize,
        number: u32,
        entry: usize,
        now: ClockTime,
    ) {
        let record = ArrivalRecord {
            sent_at: now,
            in_time: false,
            whole: false,
        };
        self.arrivals.entry(arrival).or_insert(record);
        self.tries.insert(
            request,
            CallerTry {
                arrival,
                number,
                entry,
                sent_at: now,
                first_at: None,
                last_at: now,
                tokens: 0,
            },
        );
        self.log(
            now,
            FleetEvent::RequestSent {
                request,
                repeat: Repeat::Idempotent,
                key: None,
            },
        );
    }

    /// Tokens reached the caller.
    pub fn tokens(&mut self, request: RequestId, tokens: u32, now: ClockTime) {
        if let Some(caller) = self.tries.get_mut(&request) {
            caller.first_at.get_or_insert(now);
            caller.last_at = now;
            caller.tokens += tokens;
        }
    }

    /// The arrival that an open try belongs to.
    #[must_use]
    pub fn arrival_of(&self, request: RequestId) -> Option<usize> {
        self.tries.get(&request).map(|caller| caller.arrival)
    }

    /// An answer ended. Gives the try, if it was open.
    pub fn ended(
        &mut self,
        request: RequestId,
        seen: AnswerSeen,
        target: ClassTarget,
        now: ClockTime,
    ) -> Option<CallerTry> {
        let caller = self.tries.swap_remove(&request)?;
        let record = self.arrivals.get_mut(&caller.arrival)?;
        let in_time = seen.whole && is_in_time(&caller, record.sent_at, target);
        record.whole |= seen.whole;
        record.in_time |= in_time;
        if !seen.whole {
            *self.refusals.entry(seen.cause).or_default() += 1;
        }
        let end = if seen.whole {
            AnswerEnd::Whole
        } else {
            AnswerEnd::Error
        };
        self.log(
            now,
            FleetEvent::AnswerEnded {
                request,
                content_of: seen.whole.then_some(request),
                end,
                verdict: seen.verdict,
                in_time,
            },
        );
        Some(caller)
    }

    /// Adds an event that was seen elsewhere.
    pub fn log(&mut self, at: ClockTime, event: FleetEvent) {
        self.events.push(LoggedEvent { at, event });
    }

    /// Adds events that were seen elsewhere.
    pub fn extend(&mut self, events: Vec<LoggedEvent>) {
        self.events.extend(events);
    }

    /// The whole log.
    #[must_use]
    pub fn events(&self) -> &[LoggedEvent] {
        &self.events
    }

    /// Answers that were not whole, by cause.
    #[must_use]
    pub fn refusals(&self) -> &IndexMap<&'static str, u32> {
        &self.refusals
    }

    /// Requests whose first try was sent in a span of time.
    pub fn sent_within(
        &self,
        from: ClockTime,
        to: ClockTime,
    ) -> impl Iterator<Item = &ArrivalRecord> {
        self.arrivals
            .values()
            .filter(move |record| (from..to).contains(&record.sent_at))
    }
}

/// `asked_at` is when the first try was sent: asking again does not reset the target.
fn is_in_time(caller: &CallerTry, asked_at: ClockTime, target: ClassTarget) -> bool {
    debug_assert!(caller.sent_at >= asked_at);
    match target {
        ClassTarget::Stream {
            first_token,
            between_tokens,
        } => {
            let first_at = caller.first_at.unwrap_or(caller.last_at);
            let gaps = caller.tokens.saturating_sub(1).max(1);
            let between: Duration = caller.last_at.since(first_at) / gaps;
            first_at.since(asked_at) <= first_token && between <= between_tokens
        }
        ClassTarget::Whole { answer } => caller.last_at.since(asked_at) <= answer,
    }
}
