//! Classes of callers, and what they get.

use std::time::Duration;

use oatpier_serving::admission::appointments::BookKey;
use oatpier_serving::admission::arrival::ArrivalQuery;
use oatpier_serving::admission::forecast::ModelQueue;
use oatpier_serving::fingerprint::RequestFingerprint;
use oatpier_serving::site::{RouteKind, RouteRule};
use oatpier_types::names::ClassName;

use crate::support::{millis, route};

/// How gateways refuse and when callers are told to return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnPolicy {
    /// All requests wait; those whose wait ends are told a short time with jitter.
    WaitThenJitter,
    /// Refusal on arrival by the forecast, and a short time with jitter.
    ForecastThenJitter,
    /// Refusal on arrival by the forecast, and an appointment.
    ForecastThenBook,
}

/// A class of callers.
#[derive(Debug, Clone)]
pub struct CallerClass {
    pub route: RouteRule,
    pub deadline_ms: u64,
    pub per_s: f64,
    /// Whether its callers come back at once, whatever they are told.
    pub ignores_times: bool,
}

impl CallerClass {
    pub fn new(name: &str, target_ms: u64, deadline_ms: u64, per_s: f64) -> Self {
        let route = RouteRule {
            name: ClassName::try_from(name).unwrap(),
            kind: RouteKind::Stream {
                resumable: false,
                pause: millis(200),
            },
            ..route(target_ms, 1)
        };
        Self {
            route,
            deadline_ms,
            per_s,
            ignores_times: false,
        }
    }

    pub fn patience(&self) -> Duration {
        (self.route.target * 4).max(millis(2_000))
    }
}

/// A caller with its next try.
#[derive(Debug, Clone)]
pub struct CallerState {
    pub class: usize,
    pub number: u64,
    pub arrives_ms: u64,
    pub deadline_ms: u64,
    pub tries: u32,
}

/// A try with what its gateway knows.
pub struct ArrivedTry {
    pub key: BookKey,
    pub class: CallerClass,
    pub request: RequestFingerprint,
    pub waited_ms: u64,
    pub left_ms: u64,
    pub queue: ModelQueue,
    pub gateways: usize,
}

impl ArrivedTry {
    pub fn query(&self) -> ArrivalQuery<'_> {
        ArrivalQuery {
            key: &self.key,
            route: &self.class.route,
            request: &self.request,
            waited: millis(self.waited_ms),
            first_chunk_timeout: self.class.patience(),
            time_left: millis(self.left_ms),
            queue: self.queue,
            gateways: self.gateways,
        }
    }
}

/// What the callers got.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct CallerOutcome {
    pub callers: u32,
    pub in_time: u32,
    pub late: u32,
    pub lost: u32,
    pub refused_on_arrival: u32,
    pub refused_after_wait: u32,
    pub refused_wait_ms: u64,
    pub returns: u32,
    pub returns_served: u32,
}

impl CallerOutcome {
    pub fn share(part: u32, of: u32) -> f64 {
        f64::from(part) / f64::from(of.max(1))
    }

    pub fn in_time_share(&self) -> f64 {
        Self::share(self.in_time, self.callers)
    }

    pub fn served_share(&self) -> f64 {
        Self::share(self.in_time + self.late, self.callers)
    }

    pub fn returns_share(&self) -> f64 {
        Self::share(self.returns_served, self.returns)
    }

    pub fn lost_share(&self) -> f64 {
        Self::share(self.lost, self.callers)
    }

    pub fn plus(&self, other: &Self) -> Self {
        Self {
            callers: self.callers + other.callers,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            lost: self.lost + other.lost,
            refused_on_arrival: self.refused_on_arrival + other.refused_on_arrival,
            refused_after_wait: self.refused_after_wait + other.refused_after_wait,
            refused_wait_ms: self.refused_wait_ms + other.refused_wait_ms,
            returns: self.returns + other.returns,
            returns_served: self.returns_served + other.returns_served,
        }
    }

    /// Returns the mean wait of the refused tries, in milliseconds.
    pub fn mean_refused_wait_ms(&self) -> f64 {
        let refused = self.refused_on_arrival + self.refused_after_wait;
        let total = u32::try_from(self.refused_wait_ms).unwrap();
        f64::from(total) / f64::from(refused.max(1))
    }
}
