//! Checks that endpoints that leave according to the registry get no more requests.

use std::time::Duration;

use super::notices::{self, Arrival, DRAIN_TIME};
use super::{FaultSpan, SoakBreach, SoakPromise, add_breach, fault_spans};
use crate::history::{FaultScope, HistoryRow, ObservedEvent};

/// Time after a fault of the store during which what it acknowledges binds no gateway, as on the platform.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time before an endpoint leaves for which a gateway must have been undisturbed to count as one that reads the store.
const READER_LEAD: Duration = Duration::from_secs(2);

/// Checks the requests that reached endpoints after the store acknowledged that they leave.
pub(super) fn check_retirements(rows: &[HistoryRow], breaches: &mut Vec<SoakBreach>) {
    let calls = notices::collect_call_times(rows);
    let arrivals = notices::arrivals(rows, &calls);
    let spans = fault_spans(rows);
    for row in rows {
        let ObservedEvent::Retired { instance } = &row.event else {
            continue;
        };
        let is_late = |arrival: &&Arrival<'_>| {
            arrival.instance == instance && arrival.sent_at > row.at + DRAIN_TIME
        };
        let late = arrivals.iter().filter(is_late);
        let mut late = late.filter(|arrival| !is_exempt(&spans, arrival, row.at, &arrivals));
        if let Some(arrival) = late.next() {
            let detail = format!(
                "{instance} left the registry at {:?}, and got a request sent to gateway {} at {:?}",
                row.at, arrival.gateway, arrival.sent_at
            );
            add_breach(breaches, SoakPromise::Drain, detail);
        }
    }
}

/// Returns whether the gateway was stopped or paused since the endpoint left, the store was disturbed, or no gateway
/// could read it throughout.
///
/// A gateway that can't reach the store is not exempt as long as another one can: they tell each other.
fn is_exempt(
    spans: &[FaultSpan],
    arrival: &Arrival<'_>,
    left_at: Duration,
    arrivals: &[Arrival<'_>],
) -> bool {
    let overlaps = |span: &FaultSpan, from: Duration| span.from <= arrival.at && span.to >= from;
    let is_disturbed = spans.iter().any(|span| match span.scope {
        FaultScope::AllGateways => overlaps(span, left_at),
        FaultScope::Gateway(number) => number == arrival.gateway && overlaps(span, left_at),
        FaultScope::Store | FaultScope::StoreCopy => {
            overlaps(span, left_at.saturating_sub(STABLE_WINDOW))
        }
        FaultScope::StoreLink(_) | FaultScope::Endpoint(_) => false,
    });
    let reads = |gateway: usize| {
        let since = left_at.saturating_sub(READER_LEAD);
        !spans
            .iter()
            .any(|span| span.affects(gateway) && overlaps(span, since))
    };
    is_disturbed || !arrivals.iter().any(|other| reads(other.gateway))
}
