//! Requests that end the endpoints that run them: soon no gateway that is well sends them on.

use std::collections::HashMap;
use std::time::Duration;

use super::{DisturbedSpan, SoakBreach, SoakPromise, breach, disturbed_spans};
use crate::ledger::{LedgerRow, SeenEvent};
use crate::standin::caller;

/// Ends of endpoints after which the request must be known.
const ENDS: usize = 3;

/// Sends that are allowed after the third end and a time of calm.
const SENDS_AFTER: usize = 3;

/// How long a gateway and the store must have been well for a send to count, by the platform's rules.
const STABLE: Duration = Duration::from_secs(3);

/// Checks each request that ends endpoints by itself.
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
            let what = format!("{target} was sent {sends} times after its third end");
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
