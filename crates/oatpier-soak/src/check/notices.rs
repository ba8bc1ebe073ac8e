//! Checks that gateways follow the notices that endpoints send in their responses.

use std::collections::HashMap;
use std::time::Duration;

use super::{FaultSpan, SoakBreach, SoakPromise, add_breach, fault_spans};
use crate::history::{CallEnd, FaultScope, HistoryRow, NoticeKind, ObservedEvent};

/// Time after a gateway forwards a shutdown notice, or after the store acknowledges it, from which new requests must
/// not reach that endpoint through that gateway. It equals `drain_ms` in the settings of the processes.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time within which a gateway must apply a notice.
const NOTICE_DELAY: Duration = Duration::from_millis(500);

/// Requests that may reach an endpoint from one gateway during a rest period that the endpoint asked for.
const MAX_REQUESTS_IN_REST: usize = 2;

/// Time after an endpoint first reports a rate limit from which the limit is checked.
const LIMIT_DELAY: Duration = Duration::from_secs(3);

/// The window over which a rate limit is checked, the factor by which a window may exceed the limit, and the number
/// of requests allowed on top of that.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;

/// A request that reached an endpoint.
#[derive(Debug)]
pub(super) struct Arrival<'a> {
    pub(super) at: Duration,
    pub(super) sent_at: Duration,
    pub(super) gateway: usize,
    endpoint: usize,
    pub(super) instance: &'a str,
}

/// A notice that an instance sent to a gateway.
#[derive(Debug)]
struct ReceivedNotice<'a> {
    /// When the instance sent it.
    at: Duration,
    /// When the gateway had forwarded the response that carried it, if it did.
    forwarded_at: Option<Duration>,
    gateway: usize,
    instance: &'a str,
    kind: NoticeKind,
}

/// A rate limit that an instance reported, with the times of its first and last report.
#[derive(Debug, Clone, Copy)]
struct ReportedLimit {
    per_mille: u32,
    first_at: Duration,
    last_at: Duration,
}

/// The times and the gateway of one call.
#[derive(Debug, Default)]
pub(super) struct CallTimes {
    sent_at: Duration,
    gateway: Option<usize>,
    responded_at: Option<Duration>,
}

/// Checks the requests that endpoints received after they announced a shutdown, a rest period or a rate limit.
pub(super) fn check_notices(rows: &[HistoryRow], breaches: &mut Vec<SoakBreach>) {
    let calls = collect_call_times(rows);
    let arrivals = arrivals(rows, &calls);
    let received_notices = received_notices(rows, &calls);
    let spans = fault_spans(rows);
    for notice in &received_notices {
        match notice.kind {
            NoticeKind::Leaving => check_leaving(notice, &arrivals, &spans, breaches),
            NoticeKind::Rest(span) => check_rest(notice, span, &arrivals, &spans, breaches),
            NoticeKind::Limit(_) => {}
        }
    }
    check_limits(&received_notices, &arrivals, &spans, breaches);
}

pub(super) fn collect_call_times(rows: &[HistoryRow]) -> HashMap<&str, CallTimes> {
    let mut calls: HashMap<&str, CallTimes> = HashMap::new();
    for row in rows {
        match &row.event {
            ObservedEvent::Sent(call) => calls.entry(&call.id).or_default().sent_at = row.at,
            ObservedEvent::Routed { id, gateway } => {
                calls.entry(id).or_default().gateway = Some(*gateway);
            }
            ObservedEvent::Ended {
                id,
                end: CallEnd::Complete { .. },
            } => calls.entry(id).or_default().responded_at = Some(row.at),
            _ => {}
        }
    }
    calls
}

pub(super) fn arrivals<'a>(
    rows: &'a [HistoryRow],
    calls: &HashMap<&str, CallTimes>,
) -> Vec<Arrival<'a>> {
    let arrival = |row: &'a HistoryRow| {
        let ObservedEvent::Reached {
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

fn received_notices<'a>(
    rows: &'a [HistoryRow],
    calls: &HashMap<&str, CallTimes>,
) -> Vec<ReceivedNotice<'a>> {
    let notice = |row: &'a HistoryRow| {
        let ObservedEvent::NoticeSent { id, instance, kind } = &row.event else {
            return None;
        };
        let call = calls.get(id.as_str())?;
        Some(ReceivedNotice {
            at: row.at,
            forwarded_at: call.responded_at,
            gateway: call.gateway?,
            instance,
            kind: *kind,
        })
    };
    rows.iter().filter_map(notice).collect()
}

/// Returns whether, at any time since `from`, the gateway was stopped or paused or its link to the endpoint had a
/// fault.
///
/// Store faults don't count: notices arrive in responses, without the store.
fn is_exempt(spans: &[FaultSpan], arrival: &Arrival<'_>, from: Duration) -> bool {
    spans.iter().any(|span| {
        let is_affected = match span.scope {
            FaultScope::AllGateways => true,
            FaultScope::Gateway(number) => number == arrival.gateway,
            FaultScope::Endpoint(number) => number == arrival.endpoint,
            FaultScope::Store | FaultScope::StoreCopy | FaultScope::StoreLink(_) => false,
        };
        is_affected && span.from <= arrival.at && span.to >= from
    })
}

fn check_leaving(
    notice: &ReceivedNotice<'_>,
    arrivals: &[Arrival<'_>],
    spans: &[FaultSpan],
    breaches: &mut Vec<SoakBreach>,
) {
    let Some(forwarded_at) = notice.forwarded_at else {
        return;
    };
    let late = arrivals.iter().find(|arrival| {
        arrival.instance == notice.instance
            && arrival.gateway == notice.gateway
            && arrival.sent_at > forwarded_at + DRAIN_TIME
            && !is_exempt(spans, arrival, forwarded_at)
    });
    if let Some(arrival) = late {
        let detail = format!(
            "{} announced its shutdown at {forwarded_at:?} to gateway {}, and got a request sent at {:?}",
            notice.instance, notice.gateway, arrival.sent_at
        );
        add_breach(breaches, SoakPromise::LeavesAlone, detail);
    }
}

fn check_rest(
    notice: &ReceivedNotice<'_>,
    rest: Duration,
    arrivals: &[Arrival<'_>],
    spans: &[FaultSpan],
    breaches: &mut Vec<SoakBreach>,
) {
    let until = notice.at + rest;
    let in_rest = arrivals.iter().filter(|arrival| {
        arrival.instance == notice.instance
            && arrival.gateway == notice.gateway
            && arrival.at > notice.at + NOTICE_DELAY
            && arrival.at < until
            && !is_exempt(spans, arrival, notice.at)
    });
    let count = in_rest.count();
    if count > MAX_REQUESTS_IN_REST {
        let detail = format!(
            "{} asked gateway {} at {:?} for a rest period of {rest:?}, and got {count} requests",
            notice.instance, notice.gateway, notice.at
        );
        add_breach(breaches, SoakPromise::LeavesAlone, detail);
    }
}

fn check_limits(
    received_notices: &[ReceivedNotice<'_>],
    arrivals: &[Arrival<'_>],
    spans: &[FaultSpan],
    breaches: &mut Vec<SoakBreach>,
) {
    let mut limits: HashMap<&str, ReportedLimit> = HashMap::new();
    let mut known_since: HashMap<(&str, usize), Duration> = HashMap::new();
    for notice in received_notices {
        let NoticeKind::Limit(per_mille) = notice.kind else {
            continue;
        };
        let limit = limits.entry(notice.instance).or_insert(ReportedLimit {
            per_mille,
            first_at: notice.at,
            last_at: notice.at,
        });
        limit.last_at = limit.last_at.max(notice.at);
        if let Some(forwarded_at) = notice.forwarded_at {
            let earliest = known_since
                .entry((notice.instance, notice.gateway))
                .or_insert(forwarded_at);
            *earliest = (*earliest).min(forwarded_at);
        }
    }
    for (instance, limit) in limits {
        let counted = |arrival: &&Arrival<'_>| {
            let known_at = known_since.get(&(instance, arrival.gateway));
            let is_known = known_at.is_some_and(|known_at| arrival.at >= *known_at + NOTICE_DELAY);
            let is_binding =
                arrival.at >= limit.first_at + LIMIT_DELAY && arrival.at <= limit.last_at;
            let is_exempt = || is_exempt(spans, arrival, limit.first_at);
            arrival.instance == instance && is_known && is_binding && !is_exempt()
        };
        let counted = arrivals.iter().filter(counted);
        let times: Vec<Duration> = counted.map(|arrival| arrival.at).collect();
        let max_count = max_in_window(&times);
        let rate = f64::from(limit.per_mille) / 1e3;
        let allowed = LIMIT_FACTOR * rate * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        if f64::from(u32::try_from(max_count).unwrap_or(u32::MAX)) > allowed {
            let detail = format!(
                "{instance} reported a limit of {rate} requests per second, and got {max_count} in {LIMIT_WINDOW:?}"
            );
            add_breach(breaches, SoakPromise::LeavesAlone, detail);
        }
    }
}

fn max_in_window(times: &[Duration]) -> usize {
    let in_window = |first: usize| {
        let end = times[first] + LIMIT_WINDOW;
        times[first..].iter().take_while(|at| **at <= end).count()
    };
    (0..times.len()).map(in_window).max().unwrap_or(0)
}
