//! Checks that fault-free gateways soon stop forwarding requests that crash the endpoints that run them.

use std::collections::HashMap;
use std::time::Duration;

use super::{FaultSpan, SoakBreach, SoakPromise, add_breach, fault_spans};
use crate::history::{HistoryRow, ObservedEvent};
use crate::standin::caller;

/// Endpoint crashes after which gateways must bar the request.
const CRASHES_TO_BAR: usize = 3;

/// Sends that are allowed after the third crash, once the sending gateway has been free of faults long enough.
const MAX_SENDS_AFTER: usize = 3;

/// Time that must pass after the third crash, and after each fault of the gateway or the store, before a send counts,
/// as the platform's rules define it.
const FAULT_FREE_TIME: Duration = Duration::from_secs(3);

/// Checks each crashing request separately.
pub(super) fn check_crashes(rows: &[HistoryRow], breaches: &mut Vec<SoakBreach>) {
    let spans = fault_spans(rows);
    let mut crashes: HashMap<&str, Vec<Duration>> = HashMap::new();
    let mut late_sends: HashMap<&str, usize> = HashMap::new();
    for row in rows {
        match &row.event {
            ObservedEvent::Crashed { target } => crashes.entry(target).or_default().push(row.at),
            ObservedEvent::RunStarted(run) => {
                let third = crashes.get(run.target.as_str());
                let third = third.and_then(|crashes| crashes.get(CRASHES_TO_BAR - 1));
                let is_late = third.is_some_and(|third| row.at > *third + FAULT_FREE_TIME);
                let gateway = caller::crash_gateway(&run.id);
                if is_late && gateway.is_some_and(|gateway| is_stable(&spans, gateway, row.at)) {
                    *late_sends.entry(&run.target).or_default() += 1;
                }
            }
            _ => {}
        }
    }
    for (target, sends) in late_sends {
        if sends > MAX_SENDS_AFTER {
            let detail = format!("{target} was sent {sends} times after its third crash");
            add_breach(breaches, SoakPromise::CrashesBounded, detail);
        }
    }
}

fn is_stable(spans: &[FaultSpan], gateway: usize, at: Duration) -> bool {
    spans
        .iter()
        .filter(|span| span.affects(gateway))
        .all(|span| at < span.from || at > span.to + FAULT_FREE_TIME)
}
