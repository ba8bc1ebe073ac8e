//! Tracks one order until its outcome is known.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::config::FleetConfig;
use oatpier_types::engine::{EngineOrder, EngineState, OrderAction, WeightsKey, WeightsState};
use oatpier_types::ids::OrderNumber;

use super::keeper::OrderKeeper;
use super::{OrderOutcome, PollTicket};
use crate::record::OrderIntent;

/// Number of retry delays after a rejection before the same order may be started again.
const REFUSED_DELAYS: u32 = 4;

/// The object that an order changes. At most one order per subject has an unknown outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum OrderSubject {
    Weights(WeightsKey),
    Role,
}

impl OrderSubject {
    pub(super) fn of(action: &OrderAction) -> Self {
        match action {
            OrderAction::Load { weights } | OrderAction::Unload { weights } => {
                Self::Weights(weights.clone())
            }
            OrderAction::SetRole { .. } => Self::Role,
        }
    }

    pub(super) fn is_for(&self, weights: &WeightsKey) -> bool {
        matches!(self, Self::Weights(own) if own == weights)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrackPhase {
    /// To be sent, or sent again.
    Waiting,
    /// Sent; no response yet.
    Sent,
    /// Accepted by the engine. Polls from `since` on show the outcome.
    Taken { since: PollTicket },
}

#[derive(Debug, Clone)]
pub(super) struct OrderTrack {
    pub(super) action: OrderAction,
    pub(super) number: OrderNumber,
    pub(super) phase: TrackPhase,
    retry_at: ClockTime,
    /// Whether a copy whose response is unknown may be in flight.
    doubtful: bool,
    /// Whether this is an unload that replaces a load with an unknown outcome.
    replaces: bool,
}

impl OrderTrack {
    pub(super) fn new(
        action: OrderAction,
        number: OrderNumber,
        now: ClockTime,
        replaces: bool,
    ) -> Self {
        Self {
            action,
            number,
            phase: TrackPhase::Waiting,
            retry_at: now,
            doubtful: replaces,
            replaces,
        }
    }

    pub(super) fn inherited(intent: OrderIntent, now: ClockTime) -> Self {
        let mut track = Self::new(intent.action, intent.number, now, false);
        track.doubtful = true;
        track
    }

    pub(super) fn is_due(&self, now: ClockTime) -> bool {
        self.phase == TrackPhase::Waiting && now >= self.retry_at
    }

    pub(super) fn start_try(&mut self, number: Option<OrderNumber>) {
        self.number = number.unwrap_or(self.number);
        self.phase = TrackPhase::Sent;
    }

    pub(super) fn intent(&self) -> OrderIntent {
        OrderIntent {
            number: self.number,
            action: self.action.clone(),
        }
    }

    pub(super) fn order(&self) -> EngineOrder {
        EngineOrder {
            number: self.number,
            action: self.action.clone(),
        }
    }

    fn retry(&mut self, at: ClockTime) {
        self.phase = TrackPhase::Waiting;
        self.retry_at = at;
    }

    /// Determines from the poll `ticket` whether this order is completed or has to be sent again.
    fn judge(&self, ticket: PollTicket, state: &EngineState) -> TrackEnd {
        if self.phase == TrackPhase::Sent {
            return TrackEnd::Open;
        }
        let after_taken = matches!(self.phase, TrackPhase::Taken { since } if ticket >= since);
        match &self.action {
            OrderAction::Load { weights } => match state_of(state, weights) {
                Some(WeightsState::Loading | WeightsState::Ready) => TrackEnd::Done,
                _ if after_taken => TrackEnd::Again,
                _ => TrackEnd::Open,
            },
            OrderAction::Unload { weights } => match state_of(state, weights) {
                // The replaced load may not have arrived yet: only an accepted unload cancels it.
                None if after_taken || !self.replaces => TrackEnd::Done,
                Some(WeightsState::Loading | WeightsState::Ready) if after_taken => TrackEnd::Again,
                _ => TrackEnd::Open,
            },
            OrderAction::SetRole { role } if after_taken && state.role == *role => TrackEnd::Done,
            OrderAction::SetRole { .. } if after_taken => TrackEnd::Again,
            OrderAction::SetRole { .. } => TrackEnd::Open,
        }
    }
}

/// Result of comparing an order with a polled state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TrackEnd {
    Open,
    Done,
    Again,
}

fn state_of(state: &EngineState, weights: &WeightsKey) -> Option<WeightsState> {
    state
        .held
        .iter()
        .find(|held| held.weights == *weights)
        .map(|held| held.state)
}

impl OrderKeeper {
    pub(super) fn on_outcome(
        &mut self,
        number: OrderNumber,
        outcome: OrderOutcome,
        now: ClockTime,
    ) {
        // A delayed or duplicate response to an order that has its response already is ignored.
        if self
            .in_flight
            .as_ref()
            .is_none_or(|(open, _)| *open != number)
        {
            return;
        }
        let Some((_, subject)) = self.in_flight.take() else {
            return;
        };
        self.poll_at = now;
        match outcome {
            OrderOutcome::Taken => self.on_taken(&subject),
            OrderOutcome::Stale { highest } => self.on_stale(&subject, highest, now),
            OrderOutcome::Refused => self.on_refused(&subject, now),
            OrderOutcome::NotSent => self.try_again(&subject, false, now),
            OrderOutcome::Unknown => self.try_again(&subject, true, now),
        }
    }

    fn on_taken(&mut self, subject: &OrderSubject) {
        self.fenced = true;
        let since = PollTicket(self.polls + 1);
        if self.ready_after.is_none() {
            self.ready_after = Some(PollTicket(self.polls));
        }
        if let Some(track) = self.tracks.get_mut(subject) {
            track.phase = TrackPhase::Taken { since };
        }
    }

    fn on_stale(&mut self, subject: &OrderSubject, highest: OrderNumber, now: ClockTime) {
        let own = self.own_epoch().unwrap_or_default();
        if highest.epoch > own {
            self.record.supersede();
            return;
        }
        if highest.epoch == own {
            self.sequence = self.sequence.max(highest.sequence);
        }
        if let Some(track) = self.tracks.get_mut(subject) {
            track.retry(now);
        }
    }

    /// Handles the rejection of one copy. If no other copy may be in flight, the order has ended.
    fn on_refused(&mut self, subject: &OrderSubject, now: ClockTime) {
        let doubtful = self.tracks.get(subject).is_some_and(|track| track.doubtful);
        if doubtful {
            self.try_again(subject, false, now);
        } else {
            self.finish(subject);
            let until = now + self.settings.retry_delay * REFUSED_DELAYS;
            self.refused.push((subject.clone(), until));
        }
    }

    fn try_again(&mut self, subject: &OrderSubject, doubtful: bool, now: ClockTime) {
        let retry_at = now + self.settings.retry_delay;
        if let Some(track) = self.tracks.get_mut(subject) {
            track.doubtful |= doubtful;
            track.retry(retry_at);
        }
    }

    /// Removes an order whose outcome is known. From then on, only what the engine reports is charged.
    fn finish(&mut self, subject: &OrderSubject) {
        self.tracks.shift_remove(subject);
        if let OrderSubject::Weights(weights) = subject {
            self.ledger.settle_order(weights);
        }
    }

    pub(super) fn on_state(
        &mut self,
        ticket: PollTicket,
        state: &EngineState,
        config: &FleetConfig,
        now: ClockTime,
    ) {
        if self.poll_open == Some(ticket) {
            self.poll_open = None;
            self.poll_at = self.next_wake(now);
        }
        // A response that arrives after that of a later poll is outdated.
        if ticket <= self.poll_seen {
            return;
        }
        self.poll_seen = ticket;
        self.check_epoch(ticket, state);
        self.role = Some(state.role);
        self.ledger.observe(state, config, now);
        self.judge_tracks(ticket, state, now);
    }

    /// Derives from the highest accepted number whether this agent's epoch is current, where the
    /// engine checks numbers.
    fn check_epoch(&mut self, ticket: PollTicket, state: &EngineState) {
        let (Some(own), Some(highest)) = (self.own_epoch(), state.highest) else {
            return;
        };
        if !self.settings.checks_numbers {
            return;
        }
        if highest.epoch > own {
            self.record.supersede();
        } else if highest.epoch == own {
            self.in_force = ticket;
        }
    }

    fn judge_tracks(&mut self, ticket: PollTicket, state: &EngineState, now: ClockTime) {
        let wait = self.retry_wait();
        let mut done = Vec::new();
        for (subject, track) in &mut self.tracks {
            match track.judge(ticket, state) {
                TrackEnd::Open => {}
                TrackEnd::Done => done.push(subject.clone()),
                TrackEnd::Again => track.retry(now + wait),
            }
        }
        for subject in done {
            self.finish(&subject);
        }
    }

    fn retry_wait(&self) -> Duration {
        self.settings.retry_delay
    }
}
