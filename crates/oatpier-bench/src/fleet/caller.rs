//! Outcomes as callers observe them. The figures are computed from these, not from the internal state of the decisions.

use std::time::Duration;

use indexmap::IndexMap;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::ClassTarget;
use oatpier_types::event::{AnswerEnd, FleetEvent, LoggedEvent};
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::{Repeat, RunVerdict};

/// One try of a caller, which is one request sent to an entry.
#[derive(Debug, Clone)]
pub struct CallerTry {
    /// Index of the arrival that it belongs to.
    pub arrival: usize,
    /// Number of the try within the arrival, starting at 0.
    pub number: u32,
    /// Index of the entry that it was sent to.
    pub entry: usize,
    sent_at: ClockTime,
    first_at: Option<ClockTime>,
    last_at: ClockTime,
    tokens: u32,
}

/// State of a caller's request over all its tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArrivalRecord {
    /// Time at which the first try was sent.
    pub sent_at: ClockTime,
    /// Whether a try was answered completely and within the target, measured from the first try.
    pub in_time: bool,
    /// Whether a try was answered completely.
    pub is_complete: bool,
}

/// Record of all callers.
#[derive(Default)]
pub struct CallerRecorder {
    tries: IndexMap<RequestId, CallerTry>,
    arrivals: IndexMap<usize, ArrivalRecord>,
    events: Vec<LoggedEvent>,
    refusals: IndexMap<&'static str, u32>,
}

/// End of an answer as the entry reported it.
#[derive(Debug, Clone, Copy)]
pub struct AnswerOutcome {
    /// Whether the answer was complete.
    pub is_complete: bool,
    /// Verdict of the answer.
    pub verdict: RunVerdict,
    /// Cause of the end.
    pub cause: &'static str,
}

impl CallerRecorder {
    /// Records that a try was sent.
    pub fn record_sent(
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
            is_complete: false,
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

    /// Records that tokens reached the caller.
    pub fn record_tokens(&mut self, request: RequestId, tokens: u32, now: ClockTime) {
        if let Some(caller) = self.tries.get_mut(&request) {
            caller.first_at.get_or_insert(now);
            caller.last_at = now;
            caller.tokens += tokens;
        }
    }

    /// Returns the index of the arrival that an open try belongs to.
    #[must_use]
    pub fn arrival_of(&self, request: RequestId) -> Option<usize> {
        self.tries.get(&request).map(|caller| caller.arrival)
    }

    /// Records the end of an answer. Returns the try if it was open.
    pub fn record_end(
        &mut self,
        request: RequestId,
        outcome: AnswerOutcome,
        target: ClassTarget,
        now: ClockTime,
    ) -> Option<CallerTry> {
        let caller = self.tries.swap_remove(&request)?;
        let record = self.arrivals.get_mut(&caller.arrival)?;
        let in_time = outcome.is_complete && is_in_time(&caller, record.sent_at, target);
        record.is_complete |= outcome.is_complete;
        record.in_time |= in_time;
        if !outcome.is_complete {
            *self.refusals.entry(outcome.cause).or_default() += 1;
        }
        let end = if outcome.is_complete {
            AnswerEnd::Whole
        } else {
            AnswerEnd::Error
        };
        self.log(
            now,
            FleetEvent::AnswerEnded {
                request,
                content_of: outcome.is_complete.then_some(request),
                end,
                verdict: outcome.verdict,
                in_time,
            },
        );
        Some(caller)
    }

    /// Adds an event that another component observed.
    pub fn log(&mut self, at: ClockTime, event: FleetEvent) {
        self.events.push(LoggedEvent { at, event });
    }

    /// Adds events that other components observed.
    pub fn extend(&mut self, events: Vec<LoggedEvent>) {
        self.events.extend(events);
    }

    /// Returns the whole event log.
    #[must_use]
    pub fn events(&self) -> &[LoggedEvent] {
        &self.events
    }

    /// Returns the number of incomplete answers by cause.
    #[must_use]
    pub fn refusals(&self) -> &IndexMap<&'static str, u32> {
        &self.refusals
    }

    /// Returns the requests whose first try was sent at or after `from` and before `to`.
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

/// Returns whether an answer met its target.
///
/// The target is measured from `first_sent_at`, when the first try was sent, because a retry does not reset it.
fn is_in_time(caller: &CallerTry, first_sent_at: ClockTime, target: ClassTarget) -> bool {
    debug_assert!(caller.sent_at >= first_sent_at);
    match target {
        ClassTarget::Stream {
            first_token,
            between_tokens,
        } => {
            let first_at = caller.first_at.unwrap_or(caller.last_at);
            let gaps = caller.tokens.saturating_sub(1).max(1);
            let between: Duration = caller.last_at.since(first_at) / gaps;
            first_at.since(first_sent_at) <= first_token && between <= between_tokens
        }
        ClassTarget::Whole { answer } => caller.last_at.since(first_sent_at) <= answer,
    }
}
