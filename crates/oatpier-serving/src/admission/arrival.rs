//! Decides on arrival whether a request may wait, and when a refused caller may return.

use std::collections::HashMap;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::ClassName;
use oatpier_types::refusal::{Refusal, RefusalCause};
use rand::RngExt;

use super::appointments::{BookKey, ReturnQuery, ReturnTime};
use super::forecast::{ModelQueue, WaitBounds, WaitForecast, WaitVerdict};
use super::{AdmissionController, max_timely_wait, max_wait};
use crate::fingerprint::RequestFingerprint;
use crate::site::RouteRule;

/// Share of the requests without a chance by the forecast that wait anyway. Their outcome shows within a second or two
/// that the forecast is wrong.
const PROBE_SHARE: f64 = 0.05;

/// Length of the queue, as a share of the queue that can be served in time, above which requests that have become late
/// are refused: nearly all permits then go to requests that can still be in time.
const LATE_CHANCE_SHARE: f64 = 0.5;

/// Time after a refusal on arrival in which a free slot for the same model counts as idle room.
const IDLE_ROOM_WINDOW: Duration = Duration::from_millis(300);

/// A request that arrives, or whose wait has ended without a permit.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalQuery<'a> {
    /// Its model.
    pub key: &'a BookKey,
    /// Its route.
    pub route: &'a RouteRule,
    /// Its fingerprint.
    pub request: &'a RequestFingerprint,
    /// Time since it arrived at the gateway.
    pub waited: Duration,
    /// Time that its caller waits for the first chunk of the response, measured from its arrival.
    pub first_chunk_timeout: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// The queues for its model.
    pub queue: ModelQueue,
    /// Number of gateways that receive requests.
    pub gateways: usize,
}

impl ArrivalQuery<'_> {
    fn bounds(&self, mean_timely: Duration) -> WaitBounds {
        let longest = max_wait(self.route, self.first_chunk_timeout);
        WaitBounds {
            timely: max_timely_wait(self.route).saturating_sub(self.waited),
            longest: longest.saturating_sub(self.waited),
            mean_timely,
        }
    }

    fn return_query(&self, room_in: Duration, served_per_s: f64) -> ReturnQuery<'_> {
        ReturnQuery {
            request: self.request,
            room_in,
            time_left: self.time_left,
            served_per_s,
            gateways: self.gateways,
        }
    }
}

/// A refusal with a time to return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledRefusal {
    /// The refusal.
    pub refusal: Refusal,
    /// Whether there was room for one more return at that time.
    pub has_room: bool,
}

/// Decision on a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalDecision {
    /// It may take a slot or wait for one.
    Admit(WaitForecast),
    /// It may wait, although the forecast gives it no chance.
    Probe(WaitForecast),
    /// It is refused.
    Refuse(WaitForecast, ScheduledRefusal),
}

/// The time of the latest refusal on arrival for each model.
#[derive(Debug, Default)]
pub(super) struct RefusalTimes(HashMap<BookKey, ClockTime>);

impl RefusalTimes {
    fn note(&mut self, key: &BookKey, now: ClockTime) {
        self.0.retain(|_, at| now.since(*at) < IDLE_ROOM_WINDOW);
        self.0.insert(key.clone(), now);
    }

    fn take_recent(&mut self, key: &BookKey, now: ClockTime) -> bool {
        let at = self.0.remove(key);
        at.is_some_and(|at| now.since(at) < IDLE_ROOM_WINDOW)
    }
}

impl AdmissionController {
    /// Decides on a request when it arrives, by the forecast of its wait.
    pub fn decide_arrival(&mut self, query: &ArrivalQuery<'_>, now: ClockTime) -> ArrivalDecision {
        let timely = max_timely_wait(query.route);
        let mean_timely = self.timely_waits.note(&query.key.service, timely);
        let bounds = query.bounds(mean_timely);
        let forecast = self
            .forecaster
            .forecast(&query.route.name, &query.queue, bounds, now);
        if forecast.verdict != WaitVerdict::Never {
            return ArrivalDecision::Admit(forecast);
        }
        if self.generator.random::<f64>() < PROBE_SHARE {
            return ArrivalDecision::Probe(forecast);
        }
        self.last_refusals.note(query.key, now);
        ArrivalDecision::Refuse(forecast, self.schedule(query, forecast, now))
    }

    /// Returns whether a request that waits and can only be late has no chance: much of the queue can still be in
    /// time, and all of that goes first.
    #[must_use]
    pub fn is_given_up(&self, query: &ArrivalQuery<'_>) -> bool {
        let timely = max_timely_wait(query.route);
        let mean_timely = self.timely_waits.mean(&query.key.service).unwrap_or(timely);
        query.waited > timely && query.queue.drain_time > mean_timely.mul_f64(LATE_CHANCE_SHARE)
    }

    /// Returns the refusal of a request whose wait has ended without a permit.
    pub fn refuse_waited(&mut self, query: &ArrivalQuery<'_>, now: ClockTime) -> ScheduledRefusal {
        self.forecaster.note_expired(&query.route.name, now);
        let bounds = query.bounds(max_timely_wait(query.route));
        let forecast = self
            .forecaster
            .forecast(&query.route.name, &query.queue, bounds, now);
        self.schedule(query, forecast, now)
    }

    /// Returns the refusal of a request whose model is not loaded.
    pub fn refuse_until_ready(
        &mut self,
        key: &BookKey,
        query: &ReturnQuery<'_>,
        now: ClockTime,
    ) -> ScheduledRefusal {
        let time = self.book.give(key, query, &mut self.generator, now);
        scheduled(RefusalCause::WeightsMissing, time)
    }

    /// Records that a request of a class got its permit after a wait.
    pub fn note_served(&mut self, class: &ClassName, waited: Duration, now: ClockTime) {
        self.forecaster.note_served(class, waited, now);
    }

    /// Returns whether a free slot for a model is room that a caller who was just refused on arrival could have used.
    pub fn is_idle_room(&mut self, key: &BookKey, now: ClockTime) -> bool {
        self.last_refusals.take_recent(key, now)
    }

    /// Returns the number of callers who were told to return and whose time has not come.
    pub fn outstanding_returns(&mut self, now: ClockTime) -> usize {
        self.book.outstanding(now)
    }

    fn schedule(
        &mut self,
        query: &ArrivalQuery<'_>,
        forecast: WaitForecast,
        now: ClockTime,
    ) -> ScheduledRefusal {
        let room_in = forecast
            .expected
            .saturating_sub(max_timely_wait(query.route));
        let returning = query.return_query(room_in, query.queue.permits_per_s);
        let time = self
            .book
            .give(query.key, &returning, &mut self.generator, now);
        scheduled(RefusalCause::TooLate, time)
    }
}

fn scheduled(cause: RefusalCause, time: ReturnTime) -> ScheduledRefusal {
    ScheduledRefusal {
        refusal: Refusal {
            cause,
            retry_after: Some(time.after),
        },
        has_room: time.has_room,
    }
}
