//! Checks that streams go on only at the software version that began them.

use std::collections::HashMap;

use super::{SoakBreach, SoakPromise, add_breach};
use crate::history::{BegunRun, CallKind, HistoryRow, ObservedEvent, SentCall};

/// Adds a breach for each run that goes on with a stream that another version began.
pub(super) fn check_versions(rows: &[HistoryRow], breaches: &mut Vec<SoakBreach>) {
    let mut firsts: HashMap<&str, &str> = HashMap::new();
    let mut began: HashMap<&str, &BegunRun> = HashMap::new();
    for row in rows {
        match &row.event {
            ObservedEvent::Sent(call) if call.kind == CallKind::ResumableStream => {
                firsts.insert(&call.id, first_request(call));
            }
            ObservedEvent::RunStarted(run) => {
                let Some(first) = firsts.get(run.id.as_str()) else {
                    continue;
                };
                if run.after == 0 {
                    // Earlier runs from the start brought no event to the caller.
                    began.insert(first, run);
                } else if let Some(origin) = began.get(first)
                    && origin.version != run.version
                {
                    let detail = format!(
                        "{} goes on after event {} at {} of {}, but {first} began at {} of {}",
                        run.id,
                        run.after,
                        run.instance,
                        run.version,
                        origin.instance,
                        origin.version,
                    );
                    add_breach(breaches, SoakPromise::OneVersion, detail);
                }
            }
            _ => {}
        }
    }
}

/// Returns the request that brought the first event of a stream.
fn first_request(call: &SentCall) -> &str {
    let resumed = call.resumed.as_ref();
    resumed.map_or(&call.id, |resumed| &resumed.first)
}
