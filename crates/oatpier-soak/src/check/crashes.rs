//! Checks that fault-free gateways soon stop forwarding requests that crash the endpoints that run them.

use std::collections::HashMap;
use std::time::Duration;

use super::{DisturbedSpan, SoakBreach, SoakPromise, breach, disturbed_spans};
use crate::ledger::{LedgerRow, SeenEvent};
use crate::standin::caller;

/// Endpoint crashes after which gateways must bar the request.
const ENDS: usize = 3;

/// Sends that are allowed after the third crash, once the sending gateway has been free of faults long enough.
const SENDS_AFTER: usize = 3;

/// Time that must pass after the third crash, and after each fault of the gateway or the store, before a send counts,
/// as the platform's rules define it.
const STABLE: Duration = Duration::from_secs(3);

/// Checks each crashing request separately.
pub(super) fn check_crashes(rows: &[LedgerRow], breaches: &mut Vec<SoakBreach>) {
    let spans = disturbed_spans(rows);
    let mut ends: HashMap<&str, Vec<Duration>> = HashMap::new();
    let mut late: HashMap<&str, usize> = HashMap::new();
    for row in rows {
        match &row.event {
            SeenEvent::Crashed { target } => ends.entry(target).or_default().push(row.at),
            SeenEvent::Begun(run) => {
                let third = ends.get(run.target.as_str());
                let third = third.and_then(|ends| ends.get(ENDS - 1));
                let is_late = third.is_some_and(|third| row.at > *third + STABLE);
                let gateway = caller::gateway_of(&run.id);
                if is_late && gateway.is_some_and(|gateway| is_well(&spans, gateway, row.at)) {
                    *late.entry(&run.target).or_default() += 1;
                }
            }
            _ => {}
        }
    }
    for (target, sends) in late {
        if sends > SENDS_AFTER {
            let what = format!("{target} was sent {sends} times after its third crash");
            breach(breaches, SoakPromise::CrashesBounded, what);
        }
    }
}

fn is_well(spans: &[DisturbedSpan], gateway: usize, at: Duration) -> bool {
    spans
        .iter()
        .filter(|span| span.concerns(gateway))
        .all(|span| at < span.from || at > span.to + STABLE)
}
