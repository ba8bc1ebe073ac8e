//! Decides which requests are sent to an endpoint, wait at the gateway, or are refused.
//!
//! A queue at an engine makes every request behind it late. Requests that find no free slot therefore wait
//! at the gateway, where they block no others: first as long as they can still be in time, and then behind
//! the requests that can, for a part of their caller's timeout. After that they are refused with a retry
//! time. Retry times grow with the share of refused requests and are jittered, so that callers return when
//! there is capacity and not all at once.
//!
//! Where sidecars report the rate of permits, [`forecast`] tells on arrival which requests would wait in vain: they are
//! refused at once, and [`appointments`] spreads the returns of all refused callers.

pub mod appointments;
pub mod arrival;
pub mod forecast;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use oatpier_types::refusal::{Refusal, RefusalCause};

use self::appointments::AppointmentBook;
use self::arrival::RefusalTimes;
use self::forecast::{TimelyWaits, WaitForecaster};
use crate::choice::{EndpointChoice, ThrottleCause, ThrottledService};
use crate::site::RouteRule;

/// Share of a class's latency target that may be spent waiting for a slot. The rest covers the transfer to
/// the endpoint, the prefill of the prompt, and the error of the prediction.
const WAIT_SHARE: f64 = 0.7;

/// Share of a class's latency target within which the response of a plain service must be expected. The
/// rest covers the round trip and the error of the prediction.
const RESPONSE_SHARE: f64 = 0.85;

/// Share of an engine's slots by which the most urgent classes may exceed them. Their requests are short,
/// and the engine has the next one ready when a slot becomes free. A larger share, or one for all classes,
/// makes all requests behind them late: with 0, 5, 15 and 30% for all classes, each step lowered the mean
/// score under heavy load.
const URGENT_OVERCOMMIT: f64 = 0.06;

/// Share of a caller's timeout for the first chunk that a request may wait for a slot once it can no longer
/// be in time. The rest covers the prefill of its prompt, and leaves a refused caller time to retry once.
/// Without such waits 7.5% of the requests of the most loaded site were not served, with them 6.7%.
const LATE_WAIT_SHARE: f64 = 0.6;

/// Share of an engine's slots that is reserved for requests that can still be in time. Equal to the share
/// by which the most urgent requests may exceed the slots.
const LATE_RESERVE: f64 = 0.06;

/// A class whose latency target for the first chunk is longer than this is not urgent.
const MAX_URGENT_TARGET: Duration = Duration::from_millis(600);

/// Interval at which a request that waits for a slot is checked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Shortest and longest retry time of a refused caller. A caller that returns earlier would find the same
/// state, and most callers have given up after the maximum. A load from the weight store takes up to four
/// seconds, and its callers should not return before it is done.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Increase of the retry time if all requests are refused for lack of capacity.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(1_800);

/// Maximum jitter of a retry time, as a share of the time without jitter.
const RETRY_JITTER: f64 = 0.6;

/// Maximum jitter for callers of an endpoint that accepts requests again at a known time.
const MAX_THROTTLE_JITTER: Duration = Duration::from_secs(1);

/// Weight of one request in the moving share of refused requests. About the last forty requests count.
const REFUSED_SHARE_WEIGHT: f64 = 0.025;

/// Returns how long a request of a route may wait at the gateway and still be in time.
#[must_use]
pub fn max_timely_wait(route: &RouteRule) -> Duration {
    route.target.mul_f64(WAIT_SHARE)
}

/// Returns how long a request may wait at the gateway at all, given its caller's timeout for the first
/// chunk.
#[must_use]
pub fn max_wait(route: &RouteRule, patience: Duration) -> Duration {
    max_timely_wait(route).max(patience.mul_f64(LATE_WAIT_SHARE))
}

/// A request that needs a slot.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionQuery<'a> {
    /// The endpoint selected for it.
    pub choice: &'a EndpointChoice,
    /// Its route.
    pub route: &'a RouteRule,
    /// Its priority level; 0 is the highest.
    pub priority: u8,
    /// Time since it arrived at the gateway.
    pub waited: Duration,
    /// Time that its caller waits for the first chunk of the response, measured from its arrival.
    pub first_chunk_timeout: Duration,
}

impl AdmissionQuery<'_> {
    /// Returns how long the request may wait and still be in time.
    fn timely_wait(&self) -> Duration {
        max_timely_wait(self.route)
    }

    /// Returns whether the first chunk can only be late.
    fn is_late(&self) -> bool {
        self.waited >= self.timely_wait()
    }
}

/// Decision on a request for which an endpoint was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send it to the endpoint.
    Send,
    /// Let it wait at the gateway and check again after this time.
    Wait(Duration),
    /// Refuse it.
    Refuse(Refusal),
}

/// Admission control of a gateway, with the random generator for the jitter of retry times.
#[derive(Debug)]
pub struct AdmissionController {
    generator: ChaCha8Rng,
    refused_share: f64,
    forecaster: WaitForecaster,
    timely_waits: TimelyWaits,
    book: AppointmentBook,
    last_refusals: RefusalTimes,
}

impl AdmissionController {
    /// Creates a controller whose jitter is derived from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(seed),
            refused_share: 0.0,
            forecaster: WaitForecaster::default(),
            timely_waits: TimelyWaits::default(),
            book: AppointmentBook::default(),
            last_refusals: RefusalTimes::default(),
        }
    }

    /// Decides whether a request is sent, waits or is refused.
    pub fn decide(&mut self, query: &AdmissionQuery<'_>) -> AdmissionDecision {
        let choice = query.choice;
        if has_slot(query) {
            self.refused_share -= self.refused_share * REFUSED_SHARE_WEIGHT;
            return AdmissionDecision::Send;
        }
        let max_wait = max_wait(query.route, query.first_chunk_timeout);
        if query.waited + choice.queue / 2 < max_wait {
            return AdmissionDecision::Wait(RECHECK_INTERVAL);
        }
        AdmissionDecision::Refuse(self.refuse_late(choice.queue))
    }

    /// Returns a refusal for lack of capacity, given the remaining queueing time.
    pub fn refuse_late(&mut self, queue: Duration) -> Refusal {
        self.refused_share += (1.0 - self.refused_share) * REFUSED_SHARE_WEIGHT;
        let after = queue + OVERLOAD_RETRY_AFTER.mul_f64(self.refused_share);
        self.refusal(RefusalCause::TooLate, after)
    }

    /// Returns a refusal with a jittered retry time.
    pub fn refusal(&mut self, cause: RefusalCause, after: Duration) -> Refusal {
        Refusal {
            cause,
            retry_after: Some(self.jitter(after)),
        }
    }

    /// Returns a refusal for a request that no endpoint accepts for a known time. That time is not
    /// shortened, and its jitter is bounded so that the capacity is used once it is available.
    pub fn refuse_throttled(&mut self, throttled: &ThrottledService) -> Refusal {
        let cause = match throttled.cause {
            ThrottleCause::RateLimit => RefusalCause::RateLimited,
            ThrottleCause::RestPeriod => RefusalCause::EndpointRests,
        };
        let jitter = throttled
            .remaining
            .mul_f64(RETRY_JITTER)
            .min(MAX_THROTTLE_JITTER);
        let after = throttled.remaining.max(MIN_RETRY_AFTER)
            + jitter.mul_f64(self.generator.random::<f64>());
        Refusal {
            cause,
            retry_after: Some(after),
        }
    }

    /// Returns a retry time with jitter.
    pub fn jitter(&mut self, after: Duration) -> Duration {
        let after = after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let jitter = 1.0 + RETRY_JITTER * self.generator.random::<f64>();
        after.mul_f64(jitter)
    }
}

/// Returns whether a request may take one more slot at the selected endpoint.
fn has_slot(query: &AdmissionQuery<'_>) -> bool {
    let (choice, route) = (query.choice, query.route);
    if !choice.is_batched {
        return is_sent_now(query);
    }
    if choice.is_memory_full {
        return false;
    }
    choice.occupancy < max_slot_share(query.is_late(), is_urgent(route, query.priority))
}

/// Returns whether a request is sent to a plain service now.
///
/// During a burst, a queue at the service makes all requests in it late: the service completes as many
/// requests per second as without a queue, but none in time. A request is therefore sent only while its
/// whole response is expected in time. A request that can only be late uses the capacity that the others
/// leave.
fn is_sent_now(query: &AdmissionQuery<'_>) -> bool {
    let choice = query.choice;
    let expected_total = query.waited + choice.predicted;
    if expected_total <= query.route.target.mul_f64(RESPONSE_SHARE) {
        return true;
    }
    choice.queue.is_zero() && choice.occupancy < 1.0 - LATE_RESERVE
}

/// Returns whether requests with this priority on a route belong to the most urgent class, which may
/// slightly exceed an engine's slots.
#[must_use]
pub fn is_urgent(route: &RouteRule, priority: u8) -> bool {
    priority == 0 && route.target <= MAX_URGENT_TARGET
}

/// Returns the share of an engine's slots below which a request may take one more.
#[must_use]
pub fn max_slot_share(is_late: bool, is_urgent: bool) -> f64 {
    match (is_late, is_urgent) {
        (true, _) => 1.0 - LATE_RESERVE,
        (false, true) => 1.0 + URGENT_OVERCOMMIT,
        (false, false) => 1.0,
    }
}
