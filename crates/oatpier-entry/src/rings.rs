//! The rings between an entry's duties, each with its overflow rule. Overflows are counted in the
//! metrics.

use oatpier_duty::duty::{RingReceiver, RingRule, RingSender, ring};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::SpanLine;

use crate::claims::ClaimCommand;
use crate::configuration::{StoreRequest, StoreUpdate};
use crate::peers::PathReport;
use crate::planner::PlannerUpdate;
use crate::updates::CallersUpdate;

/// Updates for the callers duty. The sender waits: no later update repeats an earlier one. Pending
/// updates are merged per member, so the backlog is bounded.
const UPDATES_CAPACITY: usize = 1024;
/// Data path evidence for the peers duty. Overflow is dropped: the next attempt produces the same
/// evidence.
const PATHS_CAPACITY: usize = 256;
/// Store calls for the configuration duty. The sender waits; there is one call at a time.
const STORE_REQUESTS_CAPACITY: usize = 4;
/// Store results for the peers duty. The sender waits: a change is sent only once.
const STORE_UPDATES_CAPACITY: usize = 64;
/// Commands for the claims duty. If the ring is full, a query is answered "unavailable", and one
/// from a peer with status 503. Settlements and the list of entries wait.
const CLAIMS_CAPACITY: usize = 1024;
/// Updates for the planner duty. Overflow is dropped: each update is sent again within seconds.
const PLANNER_CAPACITY: usize = 64;
/// Spans that wait to be written. Overflow is dropped: serving requests has priority over traces.
const SPAN_CAPACITY: usize = 4096;

/// Sender and receiver of a ring.
type RingPair<T> = (RingSender<T>, RingReceiver<T>);

/// All rings of an entry.
pub(crate) struct EntryRings {
    pub(crate) updates: RingPair<CallersUpdate>,
    pub(crate) paths: RingPair<PathReport>,
    pub(crate) store_requests: RingPair<StoreRequest>,
    pub(crate) store_updates: RingPair<StoreUpdate>,
    pub(crate) claims: RingPair<ClaimCommand>,
    pub(crate) planner: RingPair<PlannerUpdate>,
    pub(crate) spans: RingPair<SpanLine>,
}

impl EntryRings {
    pub(crate) fn new(metrics: &MetricSet) -> Self {
        let (wait, discard) = (RingRule::Wait, RingRule::Drop);
        Self {
            updates: ring(UPDATES_CAPACITY, wait, metrics.ring("news")),
            paths: ring(PATHS_CAPACITY, discard, metrics.ring("paths")),
            store_requests: ring(STORE_REQUESTS_CAPACITY, wait, metrics.ring("orders")),
            store_updates: ring(STORE_UPDATES_CAPACITY, wait, metrics.ring("store-news")),
            claims: ring(CLAIMS_CAPACITY, wait, metrics.ring("claims")),
            planner: ring(PLANNER_CAPACITY, discard, metrics.ring("planner")),
            spans: ring(SPAN_CAPACITY, discard, metrics.ring("spans")),
        }
    }
}
