//! The rings between an entry's duties, each with its overflow rule. Overflows are counted in the
//! metrics.

use oatpier_duty::duty::{RingReceiver, RingRule, RingSender, ring};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::SpanLine;

use crate::claims::ClaimCommand;
use crate::configuration::{StoreNews, StoreOrder};
use crate::news::EntryNews;
use crate::peers::PathNews;
use crate::planner::PlannerNews;

/// Updates for the callers duty. The sender waits: no later update repeats an earlier one. Pending
/// updates are merged per member, so the backlog is bounded.
const NEWS_RING: usize = 1024;
/// Data path evidence for the peers duty. Overflow is dropped: the next attempt produces the same
/// evidence.
const PATHS_RING: usize = 256;
/// Store calls for the configuration duty. The sender waits; there is one call at a time.
const ORDERS_RING: usize = 4;
/// Store results for the peers duty. The sender waits: a change is sent only once.
const STORE_NEWS_RING: usize = 64;
/// Commands for the claims duty. If the ring is full, a query is answered "unavailable", and one
/// from a peer with status 503. Settlements and the list of entries wait.
const CLAIMS_RING: usize = 1024;
/// Updates for the planner duty. Overflow is dropped: each update is sent again within seconds.
const PLANNER_RING: usize = 64;
/// Spans that wait to be written. Overflow is dropped: serving requests has priority over traces.
const SPAN_RING: usize = 4096;

/// Sender and receiver of a ring.
type RingPair<T> = (RingSender<T>, RingReceiver<T>);

/// All rings of an entry.
pub(crate) struct EntryRings {
    pub(crate) news: RingPair<EntryNews>,
    pub(crate) paths: RingPair<PathNews>,
    pub(crate) orders: RingPair<StoreOrder>,
    pub(crate) store_news: RingPair<StoreNews>,
    pub(crate) claims: RingPair<ClaimCommand>,
    pub(crate) planner: RingPair<PlannerNews>,
    pub(crate) spans: RingPair<SpanLine>,
}

impl EntryRings {
    pub(crate) fn new(metrics: &MetricSet) -> Self {
        let (wait, shed) = (RingRule::Wait, RingRule::Drop);
        Self {
            news: ring(NEWS_RING, wait, metrics.ring("news")),
            paths: ring(PATHS_RING, shed, metrics.ring("paths")),
            orders: ring(ORDERS_RING, wait, metrics.ring("orders")),
            store_news: ring(STORE_NEWS_RING, wait, metrics.ring("store-news")),
            claims: ring(CLAIMS_RING, wait, metrics.ring("claims")),
            planner: ring(PLANNER_RING, shed, metrics.ring("planner")),
            spans: ring(SPAN_RING, shed, metrics.ring("spans")),
        }
    }
}
