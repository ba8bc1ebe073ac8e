//! Forecasts how long a request will wait for a permit.
//!
//! Sidecars report over all gateways how many requests wait for a permit and at which rate permits were issued while
//! requests waited. The ratio is the time that an engine needs for its present queue. A gateway's own counts would not
//! do: with hundreds of gateways each sees a request for a model every few seconds.
//!
//! Permits are issued in the order of deadlines, and requests that can only be late go last. Engines can therefore
//! serve in time a queue that takes as long as the timely waits of its requests in the mean over the classes. What waits
//! beyond that is overtaken by each later request that can still be in time: it gets a permit only if the demand falls
//! below the capacity before its longest wait is over. So a request is refused on arrival if the queue is longer than
//! that by a margin, and longer than its own timely wait.
//!
//! The forecast of each class has an order factor that is corrected by the outcome of its waits. It returns to 1 within
//! seconds where no wait ends.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{ClassName, ModelName, PoolName};

use crate::capacity::EnginePace;
use crate::directory::{EndpointDirectory, EndpointRow};

/// Increase of the order factor of a class for a request that was still waiting at the end of its longest wait.
const EXPIRED_FACTOR: f64 = 1.25;

/// Decrease of the order factor for a request that waited and got its permit. A quarter of the logarithm of
/// [`EXPIRED_FACTOR`]: the factor is stable where one in five of the waits ends without a permit.
const SERVED_FACTOR: f64 = 0.946;

/// Bounds of the order factor.
const MIN_ORDER_FACTOR: f64 = 0.5;
const MAX_ORDER_FACTOR: f64 = 6.0;

/// Time constant with which an order factor returns to 1.
const FACTOR_DECAY: Duration = Duration::from_secs(2);

/// A wait shorter than this says nothing about the order of the queue: it contains the messages to the sidecar.
const MIN_WAIT_SAMPLE: Duration = Duration::from_millis(30);

/// Length of the queue, as a multiple of the queue that can be served in time, up to which requests wait although they
/// can only be late. They are served when a burst ends.
const LATE_QUEUE_FACTOR: f64 = 1.5;

/// Weight of one request in the mean timely wait of a service. About the last hundred requests count.
const MIX_WEIGHT: f64 = 0.01;

/// Maximum ratio of the rate of permits to the turnover of slots. The turnover is estimated from this gateway's own
/// requests and is less precise than the observed rate.
const MAX_TURNOVER_FACTOR: f64 = 1.5;

/// Upper bound of a forecast.
const MAX_EXPECTED_WAIT: Duration = Duration::from_mins(1);

/// Seconds in the unit of [`crate::capacity::EnginePace::permits_per_ks`].
const SECONDS_PER_KS: f64 = 1e3;

/// The queues of all requests at the engines that hold a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelQueue {
    /// Time that the engine with the shortest queue needs for the requests that wait there.
    pub drain_time: Duration,
    /// Rate at which all holders together issue permits while requests wait, per second.
    pub permits_per_s: f64,
}

impl ModelQueue {
    /// Returns the queues at the engines of `service` that hold `model` and accept requests. `None` if no holder is
    /// reporting, or if the pace of one with a queue is unknown.
    #[must_use]
    pub fn observe(
        directory: &EndpointDirectory,
        service: &PoolName,
        model: &ModelName,
        now: ClockTime,
    ) -> Option<Self> {
        let holders = directory
            .service(service)
            .filter(|row| row.is_open(now) && row.allows_request(now) && row.holds(model, now));
        let mut queue: Option<Self> = None;
        for row in holders.filter(|row| !row.is_overdue(now)) {
            let holder = HolderQueue::observe(row, now)?;
            let drain_time = holder.drain_time();
            queue = Some(match queue {
                Some(known) => Self {
                    drain_time: known.drain_time.min(drain_time),
                    permits_per_s: known.permits_per_s + holder.permits_per_s,
                },
                None => Self {
                    drain_time,
                    permits_per_s: holder.permits_per_s,
                },
            });
        }
        queue
    }
}

/// The queue at one engine.
#[derive(Debug, Clone, Copy)]
struct HolderQueue {
    waiting: u32,
    permits_per_s: f64,
    /// Age of `waiting`.
    age: Duration,
}

impl HolderQueue {
    fn observe(row: &EndpointRow, now: ClockTime) -> Option<Self> {
        let waiting = row.status(now)?.permits_waiting;
        let permits_per_s = row.pace(now).map_or(0.0, |pace| permit_rate(row, pace));
        let is_known = waiting == 0 || permits_per_s > 0.0;
        is_known.then_some(Self {
            waiting,
            permits_per_s,
            age: row.status_age(now)?,
        })
    }

    /// Returns the remaining time for the reported queue. The engine has worked on it since the report, and if gateways
    /// refuse requests because of an old report, nothing has been added.
    fn drain_time(self) -> Duration {
        if self.waiting == 0 {
            return Duration::ZERO;
        }
        let seconds = f64::from(self.waiting) / self.permits_per_s;
        let reported = Duration::from_secs_f64(seconds.min(MAX_EXPECTED_WAIT.as_secs_f64()));
        reported.saturating_sub(self.age)
    }
}

/// Mean timely wait of the requests for each service.
#[derive(Debug, Default)]
pub struct TimelyWaits(HashMap<PoolName, f64>);

impl TimelyWaits {
    /// Returns the mean over the recent requests for a service.
    #[must_use]
    pub fn mean(&self, service: &PoolName) -> Option<Duration> {
        self.0.get(service).copied().map(Duration::from_secs_f64)
    }

    /// Records a request and its timely wait, and returns the mean over the recent requests for the service.
    pub fn note(&mut self, service: &PoolName, timely: Duration) -> Duration {
        let seconds = timely.as_secs_f64();
        if let Some(mean) = self.0.get_mut(service) {
            *mean += (seconds - *mean) * MIX_WEIGHT;
            return Duration::from_secs_f64(*mean);
        }
        self.0.insert(service.clone(), seconds);
        timely
    }
}

/// Returns the rate of permits while requests wait, per second.
///
/// A sidecar that has just started has observed none. One whose engine was empty a moment ago has observed how fast its
/// slots were filled. In both cases the rate follows from the time for which requests occupy a slot.
fn permit_rate(row: &EndpointRow, pace: &EnginePace) -> f64 {
    let turnover = f64::from(row.record.slots) * 1e3 / row.slot_time.mean_ms().max(1.0);
    if pace.permits_per_ks == 0 {
        return turnover;
    }
    let observed = f64::from(pace.permits_per_ks) / SECONDS_PER_KS;
    observed.min(turnover * MAX_TURNOVER_FACTOR)
}

/// Whether a request will get a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitVerdict {
    /// While its response can still be in time.
    InTime,
    /// Later, but before the end of its longest wait.
    Late,
    /// Not before the end of its longest wait.
    Never,
}

/// Forecast for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitForecast {
    /// Expected wait for a permit.
    pub expected: Duration,
    /// What follows from it.
    pub verdict: WaitVerdict,
}

/// Waits that a request can bear.
#[derive(Debug, Clone, Copy)]
pub struct WaitBounds {
    /// Longest wait with which the response is in time.
    pub timely: Duration,
    /// Longest wait at all.
    pub longest: Duration,
    /// Mean timely wait of the requests for the service.
    pub mean_timely: Duration,
}

/// Order factor of a class.
#[derive(Debug, Clone, Copy)]
struct OrderFactor {
    value: f64,
    at: ClockTime,
}

impl OrderFactor {
    fn at(self, now: ClockTime) -> f64 {
        let age = now.since(self.at).as_secs_f64() / FACTOR_DECAY.as_secs_f64();
        self.value.powf((-age).exp())
    }
}

/// Forecasts of waits, with the order factors of the classes.
#[derive(Debug, Default)]
pub struct WaitForecaster {
    factors: HashMap<ClassName, OrderFactor>,
}

impl WaitForecaster {
    /// Returns the forecast for a request that arrives now.
    #[must_use]
    pub fn forecast(
        &self,
        class: &ClassName,
        queue: &ModelQueue,
        bounds: WaitBounds,
        now: ClockTime,
    ) -> WaitForecast {
        let expected = queue.drain_time.mul_f64(self.factor(class, now));
        let timely_queue = bounds.timely.max(bounds.mean_timely);
        let useful_queue = timely_queue.mul_f64(LATE_QUEUE_FACTOR).min(bounds.longest);
        let verdict = if expected <= timely_queue {
            WaitVerdict::InTime
        } else if expected <= useful_queue {
            WaitVerdict::Late
        } else {
            WaitVerdict::Never
        };
        WaitForecast { expected, verdict }
    }

    /// Records that a request of a class got its permit after a wait.
    pub fn note_served(&mut self, class: &ClassName, waited: Duration, now: ClockTime) {
        if waited >= MIN_WAIT_SAMPLE {
            self.scale(class, SERVED_FACTOR, now);
        }
    }

    /// Records that a request of a class was still waiting at the end of its longest wait.
    pub fn note_expired(&mut self, class: &ClassName, now: ClockTime) {
        self.scale(class, EXPIRED_FACTOR, now);
    }

    fn factor(&self, class: &ClassName, now: ClockTime) -> f64 {
        self.factors.get(class).map_or(1.0, |factor| factor.at(now))
    }

    fn scale(&mut self, class: &ClassName, scale: f64, now: ClockTime) {
        let value = (self.factor(class, now) * scale).clamp(MIN_ORDER_FACTOR, MAX_ORDER_FACTOR);
        self.factors
            .insert(class.clone(), OrderFactor { value, at: now });
    }
}
