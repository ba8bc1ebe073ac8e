//! Known state of one endpoint.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::LoadReport;
use oatpier_types::ids::BootId;
use oatpier_types::names::{EndpointName, PoolName};
use oatpier_types::status::QueueReport;
use smallvec::SmallVec;

use super::TableSettings;
use super::candidates::ListingState;
use crate::index::{GoalIndex, ZoneIndex};
use crate::units::{micros, scale};

/// Upper bound on this entry's attempts that are remembered as not yet reflected in a queue report.
const MAX_UNREPORTED_ATTEMPTS: usize = 64;

/// Number of previous incarnations of an agent that are remembered, so that their late reports are
/// ignored.
const MAX_PREVIOUS_BOOTS: usize = 4;

/// Time for which messages of a previous incarnation may still arrive.
const PREVIOUS_BOOT_TTL: Duration = Duration::from_secs(5);

/// Divisor of the weight of a new value in the exponential moving average.
const MEAN_DIVISOR: u64 = 8;

#[derive(Debug, Clone, Copy)]
struct UnreportedAttempt {
    sent_at: ClockTime,
    tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct PreviousBoot {
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
    pub(super) is_leaving: bool,
    pub(super) is_faulty: bool,
    pub(super) is_gone: bool,
    boot: Option<BootId>,
    previous_boots: SmallVec<[PreviousBoot; MAX_PREVIOUS_BOOTS]>,
    report: Option<QueueReport>,
    reported_at: ClockTime,
    wait_us: u64,
    prior_wait_us: u64,
    mean_run_us: u64,
    unreported: SmallVec<[UnreportedAttempt; 8]>,
    unreported_tokens: u64,
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
            is_leaving: false,
            is_faulty: false,
            is_gone: false,
            boot: None,
            previous_boots: SmallVec::new(),
            report: None,
            reported_at: ClockTime::ZERO,
            wait_us: 0,
            prior_wait_us: 0,
            mean_run_us: 0,
            unreported: SmallVec::new(),
            unreported_tokens: 0,
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

    /// Returns the last queue report.
    #[must_use]
    pub fn queue_report(&self) -> Option<&QueueReport> {
        self.report.as_ref()
    }

    pub(super) fn listing(&self) -> ListingState {
        let accepting = self.report.is_some_and(|report| report.accepting);
        match (self.is_leaving || self.is_gone, self.is_faulty, accepting) {
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
            return BootCheck::Current;
        }
        let is_previous = |previous: &PreviousBoot| {
            previous.boot == boot && now.since(previous.replaced_at) < PREVIOUS_BOOT_TTL
        };
        if self.previous_boots.iter().any(is_previous) {
            return BootCheck::Previous;
        }
        BootCheck::New
    }

    /// Switches to a new incarnation of the agent and discards the state reported by the previous
    /// one.
    pub(super) fn adopt_boot(&mut self, boot: BootId, now: ClockTime) {
        self.previous_boots.retain(|previous| previous.boot != boot);
        if let Some(previous) = self.boot.replace(boot) {
            self.previous_boots.truncate(MAX_PREVIOUS_BOOTS - 1);
            let replaced_at = now;
            self.previous_boots.insert(
                0,
                PreviousBoot {
                    boot: previous,
                    replaced_at,
                },
            );
        }
        self.report = None;
        self.ready_sequence = None;
        self.is_leaving = false;
    }

    /// Returns whether a queue report is newer than the last one.
    pub(super) fn is_newer(&self, report: &QueueReport) -> bool {
        self.report
            .is_none_or(|known| known.sequence < report.sequence)
    }

    /// Returns when the latest queue report of its agent arrived.
    #[must_use]
    pub fn reported_at(&self) -> ClockTime {
        self.reported_at
    }

    pub(super) fn apply_queue_report(
        &mut self,
        report: &QueueReport,
        round_trip_us: u64,
        now: ClockTime,
    ) {
        self.wait_us = micros(report.wait);
        self.prior_wait_us = moving_mean(self.prior_wait_us, self.wait_us);
        self.report = Some(*report);
        self.reported_at = now;
        self.drop_reported(round_trip_us, now);
    }

    pub(super) fn close(&mut self) {
        if let Some(report) = &mut self.report {
            report.accepting = false;
        }
    }

    pub(super) fn apply_report(&mut self, report: &LoadReport) {
        let prompt_token_ns = self.prompt_token_ns_or(0);
        let prefill = u64::from(report.waiting_tokens).saturating_mul(prompt_token_ns) / 1_000;
        let slot_wait = self.slot_wait_us(u64::from(report.waiting));
        self.prior_wait_us = prefill.saturating_add(slot_wait);
    }

    pub(super) fn record_sent(&mut self, tokens: u32, now: ClockTime) {
        self.in_flight += 1;
        if self.unreported.len() == MAX_UNREPORTED_ATTEMPTS {
            let oldest = self.unreported.remove(0);
            self.unreported_tokens -= u64::from(oldest.tokens);
        }
        self.unreported_tokens += u64::from(tokens);
        self.unreported.push(UnreportedAttempt {
            sent_at: now,
            tokens,
        });
    }

    pub(super) fn record_finished(&mut self, run_time_us: Option<u64>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(run_time) = run_time_us {
            self.mean_run_us = moving_mean(self.mean_run_us, run_time);
        }
    }

    /// Returns the predicted times of an attempt sent now, without the network.
    pub(super) fn predict(
        &self,
        size: AttemptSize,
        settings: &TableSettings,
        now: ClockTime,
    ) -> AttemptPrediction {
        let prompt_token_ns = self.prompt_token_ns_or(settings.prompt_token_ns);
        let prefill_us = |tokens: u64| tokens.saturating_mul(prompt_token_ns) / 1_000;
        let unreported = self.unreported.len() as u64;
        let queue_us = self
            .aged_wait_us(settings, now)
            .saturating_add(self.slot_wait_us(unreported.saturating_sub(self.free_slots())))
            .saturating_add(prefill_us(self.unreported_tokens));
        let step_us = self.report.map_or(0, |report| u64::from(report.step_us));
        let run_us = if size.is_whole_answer {
            self.mean_run_us
        } else {
            step_us
        };
        let has_prefill_speed = self.report.is_some_and(|report| report.prompt_token_ns > 0);
        let is_speed_known = if size.is_whole_answer {
            self.mean_run_us > 0
        } else {
            has_prefill_speed
        };
        let total_us = queue_us
            .saturating_add(prefill_us(u64::from(size.uncached_tokens)))
            .saturating_add(run_us);
        AttemptPrediction {
            queue_us,
            total_us,
            is_speed_known,
        }
    }

    /// Returns the agent's predicted wait. The older it is, the more weight the prior gets.
    fn aged_wait_us(&self, settings: &TableSettings, now: ClockTime) -> u64 {
        let half_life = micros(settings.report_half_life).max(1);
        let age = micros(now.since(self.reported_at));
        let all = half_life.saturating_add(age);
        let fresh = scale(self.wait_us, half_life, all);
        let prior = scale(self.prior_wait_us, all - half_life, all);
        fresh.saturating_add(prior)
    }

    fn free_slots(&self) -> u64 {
        self.report.map_or(0, |report| {
            let taken = report.running.saturating_add(report.queued);
            u64::from(report.slots.saturating_sub(taken))
        })
    }

    /// Returns the time until `queued` attempts ahead have got a slot.
    fn slot_wait_us(&self, queued: u64) -> u64 {
        let slots = self
            .report
            .map_or(1, |report| u64::from(report.slots.max(1)));
        queued.saturating_mul(self.mean_run_us) / slots
    }

    fn prompt_token_ns_or(&self, fallback: u32) -> u64 {
        let known = self.report.map_or(0, |report| report.prompt_token_ns);
        u64::from(if known == 0 { fallback } else { known })
    }

    /// Drops the attempts that the queue report just received reflects, which were sent at least a round
    /// trip ago. Younger ones may have crossed the report in transit, and dropping them would leave
    /// them uncounted just as they arrive.
    fn drop_reported(&mut self, round_trip_us: u64, now: ClockTime) {
        self.unreported
            .retain(|attempt| micros(now.since(attempt.sent_at)) < round_trip_us);
        self.unreported_tokens = self
            .unreported
            .iter()
            .map(|attempt| u64::from(attempt.tokens))
            .sum();
    }
}

/// The size of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptSize {
    /// Prompt tokens that are not expected in the endpoint's prefix cache.
    pub uncached_tokens: u32,
    /// Whether the target applies to the whole answer instead of its first token.
    pub is_whole_answer: bool,
}

/// Predicted times of an attempt, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptPrediction {
    /// Time until the attempt starts to run.
    pub queue_us: u64,
    /// Time until the first token or the whole answer, as the size requires.
    pub total_us: u64,
    /// Whether the endpoint's speed is known.
    pub is_speed_known: bool,
}

/// Result of comparing a message's boot id with the known ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BootCheck {
    Current,
    New,
    Previous,
}

fn moving_mean(mean: u64, value: u64) -> u64 {
    if mean == 0 {
        return value;
    }
    (mean.saturating_mul(MEAN_DIVISOR - 1)).saturating_add(value) / MEAN_DIVISOR
}
