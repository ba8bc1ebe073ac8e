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
const REJECTION_DELAYS: u32 = 4;

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
    Accepted { since: PollTicket },
}

#[derive(Debug, Clone)]
pub(super) struct OrderTrack {
    pub(super) action: OrderAction,
    pub(super) number: OrderNumber,
    pub(super) phase: TrackPhase,
    retry_at: ClockTime,
    /// Whether a copy whose response is unknown may be in flight.
    has_unresolved_copy: bool,
    /// Whether this is an unload that replaces a load with an unknown outcome.
    is_replacing_load: bool,
}

impl OrderTrack {
    pub(super) fn new(
        action: OrderAction,
        number: OrderNumber,
        now: ClockTime,
        is_replacing_load: bool,
    ) -> Self {
        Self {
            action,
            number,
            phase: TrackPhase::Waiting,
            retry_at: now,
            has_unresolved_copy: is_replacing_load,
            is_replacing_load,
        }
    }

    pub(super) fn inherited(intent: OrderIntent, now: ClockTime) -> Self {
        let mut track = Self::new(intent.action, intent.number, now, false);
        track.has_unresolved_copy = true;
        track
    }

    pub(super) fn is_due(&self, now: ClockTime) -> bool {
        self.phase == TrackPhase::Waiting && now >= self.retry_at
    }

    pub(super) fn mark_sent(&mut self, number: Option<OrderNumber>) {
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
    fn check_poll(&self, ticket: PollTicket, state: &EngineState) -> TrackProgress {
        if self.phase == TrackPhase::Sent {
            return TrackProgress::Pending;
        }
        let is_after_acceptance =
            matches!(self.phase, TrackPhase::Accepted { since } if ticket >= since);
        match &self.action {
            OrderAction::Load { weights } => match state_of(state, weights) {
                Some(WeightsState::Loading | WeightsState::Ready) => TrackProgress::Completed,
                _ if is_after_acceptance => TrackProgress::Resend,
                _ => TrackProgress::Pending,
            },
            OrderAction::Unload { weights } => match state_of(state, weights) {
                // The replaced load may not have arrived yet: only an accepted unload cancels it.
                None if is_after_acceptance || !self.is_replacing_load => TrackProgress::Completed,
                Some(WeightsState::Loading | WeightsState::Ready) if is_after_acceptance => {
                    TrackProgress::Resend
                }
                _ => TrackProgress::Pending,
            },
            OrderAction::SetRole { role } if is_after_acceptance && state.role == *role => {
                TrackProgress::Completed
            }
            OrderAction::SetRole { .. } if is_after_acceptance => TrackProgress::Resend,
            OrderAction::SetRole { .. } => TrackProgress::Pending,
        }
    }
}

/// Result of comparing an order with a polled state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TrackProgress {
    Pending,
    Completed,
    Resend,
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
        self.next_poll_at = now;
        match outcome {
            OrderOutcome::Accepted => self.on_accepted(&subject),
            OrderOutcome::Stale { highest } => self.on_stale(&subject, highest, now),
            OrderOutcome::Rejected => self.on_rejected(&subject, now),
            OrderOutcome::NotSent => self.schedule_retry(&subject, false, now),
            OrderOutcome::Unknown => self.schedule_retry(&subject, true, now),
        }
    }

    fn on_accepted(&mut self, subject: &OrderSubject) {
        self.is_fenced = true;
        let since = PollTicket(self.poll_count + 1);
        if self.ready_after.is_none() {
            self.ready_after = Some(PollTicket(self.poll_count));
        }
        if let Some(track) = self.tracks.get_mut(subject) {
            track.phase = TrackPhase::Accepted { since };
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
    fn on_rejected(&mut self, subject: &OrderSubject, now: ClockTime) {
        let has_unresolved_copy = self
            .tracks
            .get(subject)
            .is_some_and(|track| track.has_unresolved_copy);
        if has_unresolved_copy {
            self.schedule_retry(subject, false, now);
        } else {
            self.complete(subject);
            let until = now + self.settings.retry_delay * REJECTION_DELAYS;
            self.recently_rejected.push((subject.clone(), until));
        }
    }

    fn schedule_retry(
        &mut self,
        subject: &OrderSubject,
        has_unresolved_copy: bool,
        now: ClockTime,
    ) {
        let retry_at = now + self.settings.retry_delay;
        if let Some(track) = self.tracks.get_mut(subject) {
            track.has_unresolved_copy |= has_unresolved_copy;
            track.retry(retry_at);
        }
    }

    /// Removes an order whose outcome is known. From then on, only what the engine reports is charged.
    fn complete(&mut self, subject: &OrderSubject) {
        self.tracks.shift_remove(subject);
        if let OrderSubject::Weights(weights) = subject {
            self.ledger.end_order_charge(weights);
        }
    }

    pub(super) fn on_state(
        &mut self,
        ticket: PollTicket,
        state: &EngineState,
        config: &FleetConfig,
        now: ClockTime,
    ) {
        if self.pending_poll == Some(ticket) {
            self.pending_poll = None;
            self.next_poll_at = self.next_wake(now);
        }
        // A response that arrives after that of a later poll is outdated.
        if ticket <= self.last_poll {
            return;
        }
        self.last_poll = ticket;
        self.check_epoch(ticket, state);
        self.role = Some(state.role);
        self.ledger.observe(state, config, now);
        self.check_tracks(ticket, state, now);
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
            self.epoch_seen_at = ticket;
        }
    }

    fn check_tracks(&mut self, ticket: PollTicket, state: &EngineState, now: ClockTime) {
        let wait = self.retry_wait();
        let mut done = Vec::new();
        for (subject, track) in &mut self.tracks {
            match track.check_poll(ticket, state) {
                TrackProgress::Pending => {}
                TrackProgress::Completed => done.push(subject.clone()),
                TrackProgress::Resend => track.retry(now + wait),
            }
        }
        for subject in done {
            self.complete(&subject);
        }
    }

    fn retry_wait(&self) -> Duration {
        self.settings.retry_delay
    }
}
