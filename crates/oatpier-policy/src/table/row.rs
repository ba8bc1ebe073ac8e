//! Known state of one endpoint.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::LoadReport;
use oatpier_types::ids::BootId;
use oatpier_types::names::{EndpointName, PoolName};
use oatpier_types::pulse::AgentPulse;
use smallvec::SmallVec;

use super::TableSettings;
use super::candidates::ListingState;
use crate::index::{GoalIndex, ZoneIndex};
use crate::units::{micros, scale};

/// Upper bound on this entry's attempts that are remembered as not yet reflected in a pulse.
const UNSEEN_BOUND: usize = 64;

/// Number of previous incarnations of an agent that are remembered, so that their late pulses are
/// ignored.
const FORMER_BOUND: usize = 4;

/// Time for which messages of a previous incarnation may still arrive.
const FORMER_HOLD: Duration = Duration::from_secs(5);

/// Divisor of the weight of a new value in the exponential moving average.
const MEAN_WEIGHT: u64 = 8;

#[derive(Debug, Clone, Copy)]
struct UnseenAttempt {
    sent_at: ClockTime,
    tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct FormerBoot {
    boot: BootId,
    replaced_at: ClockTime,
}

/// Known state of one endpoint.
#[derive(Debug)]
pub struct EndpointRow {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Pool of the endpoint.
    pub pool: PoolName,
    /// Availability zone of the endpoint.
    pub zone: ZoneIndex,
    pub(super) goals: SmallVec<[GoalIndex; 8]>,
    pub(super) ready_sequence: Option<u64>,
    pub(super) leaving: bool,
    pub(super) faulty: bool,
    pub(super) gone: bool,
    boot: Option<BootId>,
    former: SmallVec<[FormerBoot; FORMER_BOUND]>,
    pulse: Option<AgentPulse>,
    pulse_at: ClockTime,
    wait_us: u64,
    prior_us: u64,
    run_us: u64,
    unseen: SmallVec<[UnseenAttempt; 8]>,
    unseen_tokens: u64,
    in_flight: u32,
}

impl EndpointRow {
    pub(super) fn new(name: EndpointName, pool: PoolName, zone: ZoneIndex) -> Self {
        Self {
            name,
            pool,
            zone,
            goals: SmallVec::new(),
            ready_sequence: None,
            leaving: false,
            faulty: false,
            gone: false,
            boot: None,
            former: SmallVec::new(),
            pulse: None,
            pulse_at: ClockTime::ZERO,
            wait_us: 0,
            prior_us: 0,
            run_us: 0,
            unseen: SmallVec::new(),
            unseen_tokens: 0,
            in_flight: 0,
        }
    }

    /// Returns whether the endpoint serves a goal, as far as known.
    #[must_use]
    pub fn serves(&self, goal: GoalIndex) -> bool {
        self.goals.binary_search(&goal).is_ok()
    }

    /// Returns whether the endpoint accepts new work.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.listing() == ListingState::Open
    }

    /// Returns the number of this entry's live attempts at the endpoint.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the last pulse.
    #[must_use]
    pub fn pulse(&self) -> Option<&AgentPulse> {
        self.pulse.as_ref()
    }

    pub(super) fn listing(&self) -> ListingState {
        let accepting = self.pulse.is_some_and(|pulse| pulse.accepting);
        match (self.leaving || self.gone, self.faulty, accepting) {
            (true, _, _) => ListingState::Absent,
            (false, true, accepting) => ListingState::Faulty { accepting },
            (false, false, true) => ListingState::Open,
            (false, false, false) => ListingState::Closed,
        }
    }

    /// Returns whether a message is from the current incarnation of the agent, a new one or a
    /// previous one.
    ///
    /// Boot ids have no order, so previous ones are remembered, for a limited time only. If a late
    /// message of a previous incarnation is the first that arrives from it, the current incarnation
    /// is taken for a previous one by mistake, and its later messages must be accepted again.
    pub(super) fn check_boot(&self, boot: BootId, now: ClockTime) -> BootCheck {
        if self.boot == Some(boot) {
            return BootCheck::Present;
        }
        let is_former = |former: &FormerBoot| {
            former.boot == boot && now.since(former.replaced_at) < FORMER_HOLD
        };
        if self.former.iter().any(is_former) {
            return BootCheck::Former;
        }
        BootCheck::New
    }

    /// Switches to a new incarnation of the agent and discards the state reported by the previous
    /// one.
    pub(super) fn adopt_boot(&mut self, boot: BootId, now: ClockTime) {
        self.former.retain(|former| former.boot != boot);
        if let Some(former) = self.boot.replace(boot) {
            self.former.truncate(FORMER_BOUND - 1);
            let replaced_at = now;
            self.former.insert(
                0,
                FormerBoot {
                    boot: former,
                    replaced_at,
                },
            );
        }
        self.pulse = None;
        self.ready_sequence = None;
        self.leaving = false;
    }

    /// Returns whether a pulse is newer than the last one.
    pub(super) fn is_news(&self, pulse: &AgentPulse) -> bool {
        self.pulse
            .is_none_or(|known| known.sequence < pulse.sequence)
    }

    pub(super) fn take_pulse(&mut self, pulse: &AgentPulse, trip_us: u64, now: ClockTime) {
        self.wait_us = micros(pulse.wait);
        self.prior_us = running_mean(self.prior_us, self.wait_us);
        self.pulse = Some(*pulse);
        self.pulse_at = now;
        self.drop_seen(trip_us, now);
    }

    pub(super) fn close(&mut self) {
        if let Some(pulse) = &mut self.pulse {
            pulse.accepting = false;
        }
    }

    pub(super) fn take_report(&mut self, report: &LoadReport) {
        let token_ns = self.token_ns(0);
        let reading = u64::from(report.waiting_tokens).saturating_mul(token_ns) / 1_000;
        let queueing = self.slot_wait_us(u64::from(report.waiting));
        self.prior_us = reading.saturating_add(queueing);
    }

    pub(super) fn note_sent(&mut self, tokens: u32, now: ClockTime) {
        self.in_flight += 1;
        if self.unseen.len() == UNSEEN_BOUND {
            let oldest = self.unseen.remove(0);
            self.unseen_tokens -= u64::from(oldest.tokens);
        }
        self.unseen_tokens += u64::from(tokens);
        self.unseen.push(UnseenAttempt {
            sent_at: now,
            tokens,
        });
    }

    pub(super) fn note_done(&mut self, took_us: Option<u64>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(took) = took_us {
            self.run_us = running_mean(self.run_us, took);
        }
    }

    /// Returns the predicted times of an attempt sent now, without the network.
    pub(super) fn predict(
        &self,
        size: AttemptSize,
        settings: &TableSettings,
        now: ClockTime,
    ) -> AttemptPrediction {
        let token_ns = self.token_ns(settings.prompt_token_ns);
        let read_us = |tokens: u64| tokens.saturating_mul(token_ns) / 1_000;
        let unseen = self.unseen.len() as u64;
        let queue_us = self
            .aged_wait_us(settings, now)
            .saturating_add(self.slot_wait_us(unseen.saturating_sub(self.free_slots())))
            .saturating_add(read_us(self.unseen_tokens));
        let step_us = self.pulse.map_or(0, |pulse| u64::from(pulse.step_us));
        let run_us = if size.whole { self.run_us } else { step_us };
        let told_speed = self.pulse.is_some_and(|pulse| pulse.prompt_token_ns > 0);
        let informed = if size.whole {
            self.run_us > 0
        } else {
            told_speed
        };
        let total_us = queue_us
            .saturating_add(read_us(u64::from(size.tokens_to_read)))
            .saturating_add(run_us);
        AttemptPrediction {
            queue_us,
            total_us,
            informed,
        }
    }

    /// Returns the agent's predicted wait. The older it is, the more weight the prior gets.
    fn aged_wait_us(&self, settings: &TableSettings, now: ClockTime) -> u64 {
        let half_life = micros(settings.pulse_half_life).max(1);
        let age = micros(now.since(self.pulse_at));
        let all = half_life.saturating_add(age);
        let fresh = scale(self.wait_us, half_life, all);
        let prior = scale(self.prior_us, all - half_life, all);
        fresh.saturating_add(prior)
    }

    fn free_slots(&self) -> u64 {
        self.pulse.map_or(0, |pulse| {
            let taken = pulse.running.saturating_add(pulse.queued);
            u64::from(pulse.slots.saturating_sub(taken))
        })
    }

    /// Returns the time until `queued` attempts ahead have got a slot.
    fn slot_wait_us(&self, queued: u64) -> u64 {
        let slots = self.pulse.map_or(1, |pulse| u64::from(pulse.slots.max(1)));
        queued.saturating_mul(self.run_us) / slots
    }

    fn token_ns(&self, fallback: u32) -> u64 {
        let known = self.pulse.map_or(0, |pulse| pulse.prompt_token_ns);
        u64::from(if known == 0 { fallback } else { known })
    }

    /// Drops the attempts that the pulse just received reflects, which were sent at least a round
    /// trip ago. Younger ones may have crossed the pulse in transit, and dropping them would leave
    /// them uncounted just as they arrive.
    fn drop_seen(&mut self, trip_us: u64, now: ClockTime) {
        self.unseen
            .retain(|attempt| micros(now.since(attempt.sent_at)) < trip_us);
        self.unseen_tokens = self
            .unseen
            .iter()
            .map(|attempt| u64::from(attempt.tokens))
            .sum();
    }
}

/// The size of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptSize {
    /// Prompt tokens that are not expected in the endpoint's prefix cache.
    pub tokens_to_read: u32,
    /// Whether the target applies to the whole answer instead of its first token.
    pub whole: bool,
}

/// Predicted times of an attempt, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptPrediction {
    /// Time until the attempt starts to run.
    pub queue_us: u64,
    /// Time until the first token or the whole answer, as the size requires.
    pub total_us: u64,
    /// Whether the endpoint's speed is known.
    pub informed: bool,
}

/// Result of comparing a message's boot id with the known ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BootCheck {
    Present,
    New,
    Former,
}

fn running_mean(mean: u64, value: u64) -> u64 {
    if mean == 0 {
        return value;
    }
    (mean.saturating_mul(MEAN_WEIGHT - 1)).saturating_add(value) / MEAN_WEIGHT
}
