//! Checks that gateways follow the notices that endpoints send in their responses.

use std::collections::HashMap;
use std::time::Duration;

use super::{DisturbedSpan, SoakBreach, SoakPromise, breach, disturbed_spans};
use crate::ledger::{CallEnd, DisturbedPlace, LedgerRow, SaidNotice, SeenEvent};

/// Time after a gateway forwards a shutdown notice from which new requests must not reach that endpoint through that
/// gateway. It equals `drain_ms` in the settings of the processes.
const DRAIN: Duration = Duration::from_secs(2);

/// Time within which a gateway must apply a notice.
const HEARD: Duration = Duration::from_millis(500);

/// Requests that may reach an endpoint from one gateway during a rest period that the endpoint asked for.
const REQUESTS_IN_REST: usize = 2;

/// Time after an endpoint first reports a rate limit from which the limit is checked.
const LIMIT_BINDS: Duration = Duration::from_secs(3);

/// The window over which a rate limit is checked, the factor by which a window may exceed the limit, and the number
/// of requests allowed on top of that.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// A request that reached an endpoint.
#[derive(Debug)]
struct Arrival<'a> {
    at: Duration,
    sent_at: Duration,
    gateway: usize,
    endpoint: usize,
    instance: &'a str,
}

/// A notice that an instance sent to a gateway.
#[derive(Debug)]
struct HeardNotice<'a> {
    /// When the instance sent it.
    at: Duration,
    /// When the gateway had forwarded the response that carried it, if it did.
    passed_at: Option<Duration>,
    gateway: usize,
    instance: &'a str,
    said: SaidNotice,
}

/// A rate limit that an instance reported, with the times of its first and last report.
#[derive(Debug, Clone, Copy)]
struct SaidLimit {
    per_mille: u32,
    first_at: Duration,
    last_at: Duration,
}

/// The times and the gateway of one call.
#[derive(Debug, Default)]
struct CallTimes {
    sent_at: Duration,
    gateway: Option<usize>,
    answered_at: Option<Duration>,
}

/// Checks the requests that endpoints received after they announced a shutdown, a rest period or a rate limit.
pub(super) fn check_notices(rows: &[LedgerRow], breaches: &mut Vec<SoakBreach>) {
    let calls = call_times(rows);
    let arrivals = arrivals(rows, &calls);
    let heard = heard(rows, &calls);
    let spans = disturbed_spans(rows);
    for notice in &heard {
        match notice.said {
            SaidNotice::Leaving => check_leaving(notice, &arrivals, &spans, breaches),
            SaidNotice::Rest(span) => check_rest(notice, span, &arrivals, &spans, breaches),
            SaidNotice::Limit(_) => {}
        }
    }
    check_limits(&heard, &arrivals, &spans, breaches);
}

fn call_times(rows: &[LedgerRow]) -> HashMap<&str, CallTimes> {
    let mut calls: HashMap<&str, CallTimes> = HashMap::new();
    for row in rows {
        match &row.event {
            SeenEvent::Sent(call) => calls.entry(&call.id).or_default().sent_at = row.at,
            SeenEvent::Routed { id, gateway } => {
                calls.entry(id).or_default().gateway = Some(*gateway);
            }
            SeenEvent::Ended {
                id,
                end: CallEnd::Whole { .. },
            } => calls.entry(id).or_default().answered_at = Some(row.at),
            _ => {}
        }
    }
    calls
}

fn arrivals<'a>(rows: &'a [LedgerRow], calls: &HashMap<&str, CallTimes>) -> Vec<Arrival<'a>> {
    let arrival = |row: &'a LedgerRow| {
        let SeenEvent::Reached {
            id,
            endpoint,
            instance,
        } = &row.event
        else {
            return None;
        };
        let call = calls.get(id.as_str())?;
        Some(Arrival {
            at: row.at,
            sent_at: call.sent_at,
            gateway: call.gateway?,
            endpoint: *endpoint,
            instance,
        })
    };
    rows.iter().filter_map(arrival).collect()
}

fn heard<'a>(rows: &'a [LedgerRow], calls: &HashMap<&str, CallTimes>) -> Vec<HeardNotice<'a>> {
    let notice = |row: &'a LedgerRow| {
        let SeenEvent::Said { id, instance, said } = &row.event else {
            return None;
        };
        let call = calls.get(id.as_str())?;
        Some(HeardNotice {
            at: row.at,
            passed_at: call.answered_at,
            gateway: call.gateway?,
            instance,
            said: *said,
        })
    };
    rows.iter().filter_map(notice).collect()
}

/// Returns whether, at any time since `from`, the gateway was stopped or paused or its link to the endpoint had a
/// fault.
///
/// Store faults don't count: notices arrive in responses, without the store.
fn is_excused(spans: &[DisturbedSpan], arrival: &Arrival<'_>, from: Duration) -> bool {
    spans.iter().any(|span| {
        let concerns = match span.place {
            DisturbedPlace::AllGateways => true,
            DisturbedPlace::Gateway(number) => number == arrival.gateway,
            DisturbedPlace::Endpoint(number) => number == arrival.endpoint,
            DisturbedPlace::Store | DisturbedPlace::StoreLink(_) => false,
        };
        concerns && span.from <= arrival.at && span.to >= from
    })
}

fn check_leaving(
    notice: &HeardNotice<'_>,
    arrivals: &[Arrival<'_>],
    spans: &[DisturbedSpan],
    breaches: &mut Vec<SoakBreach>,
) {
    let Some(passed_at) = notice.passed_at else {
        return;
    };
    let late = arrivals.iter().find(|arrival| {
        arrival.instance == notice.instance
            && arrival.gateway == notice.gateway
            && arrival.sent_at > passed_at + DRAIN
            && !is_excused(spans, arrival, passed_at)
    });
    if let Some(arrival) = late {
        let what = format!(
            "{} announced its shutdown at {passed_at:?} to gateway {}, and got a request sent at {:?}",
            notice.instance, notice.gateway, arrival.sent_at
        );
        breach(breaches, SoakPromise::LeavesAlone, what);
    }
}

fn check_rest(
    notice: &HeardNotice<'_>,
    rest: Duration,
    arrivals: &[Arrival<'_>],
    spans: &[DisturbedSpan],
    breaches: &mut Vec<SoakBreach>,
) {
    let until = notice.at + rest;
    let in_rest = arrivals.iter().filter(|arrival| {
        arrival.instance == notice.instance
            && arrival.gateway == notice.gateway
            && arrival.at > notice.at + HEARD
            && arrival.at < until
            && !is_excused(spans, arrival, notice.at)
    });
    let count = in_rest.count();
    if count > REQUESTS_IN_REST {
        let what = format!(
            "{} asked gateway {} at {:?} for a rest period of {rest:?}, and got {count} requests",
            notice.instance, notice.gateway, notice.at
        );
        breach(breaches, SoakPromise::LeavesAlone, what);
    }
}

fn check_limits(
    heard: &[HeardNotice<'_>],
    arrivals: &[Arrival<'_>],
    spans: &[DisturbedSpan],
    breaches: &mut Vec<SoakBreach>,
) {
    let mut limits: HashMap<&str, SaidLimit> = HashMap::new();
    let mut told: HashMap<(&str, usize), Duration> = HashMap::new();
    for notice in heard {
        let SaidNotice::Limit(per_mille) = notice.said else {
            continue;
        };
        let limit = limits.entry(notice.instance).or_insert(SaidLimit {
            per_mille,
            first_at: notice.at,
            last_at: notice.at,
        });
        limit.last_at = limit.last_at.max(notice.at);
        if let Some(passed_at) = notice.passed_at {
            let known = told
                .entry((notice.instance, notice.gateway))
                .or_insert(passed_at);
            *known = (*known).min(passed_at);
        }
    }
    for (instance, limit) in limits {
        let counted = |arrival: &&Arrival<'_>| {
            let told_at = told.get(&(instance, arrival.gateway));
            let knows = told_at.is_some_and(|told_at| arrival.at >= *told_at + HEARD);
            let binds = arrival.at >= limit.first_at + LIMIT_BINDS && arrival.at <= limit.last_at;
            let is_excused = || is_excused(spans, arrival, limit.first_at);
            arrival.instance == instance && knows && binds && !is_excused()
        };
        let counted = arrivals.iter().filter(counted);
        let times: Vec<Duration> = counted.map(|arrival| arrival.at).collect();
        let most = most_in_window(&times);
        let rate = f64::from(limit.per_mille) / 1e3;
        let allowed = LIMIT_FACTOR * rate * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        if f64::from(u32::try_from(most).unwrap_or(u32::MAX)) > allowed {
            let what = format!(
                "{instance} reported a limit of {rate} requests per second, and got {most} in {LIMIT_WINDOW:?}"
            );
            breach(breaches, SoakPromise::LeavesAlone, what);
        }
    }
}

fn most_in_window(times: &[Duration]) -> usize {
    let in_window = |first: usize| {
        let end = times[first] + LIMIT_WINDOW;
        times[first..].iter().take_while(|at| **at <= end).count()
    };
    (0..times.len()).map(in_window).max().unwrap_or(0)
}
