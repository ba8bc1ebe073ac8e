//! The rings between an entry's duties, each with its rule for when it is full. All are counted.

use oatpier_duty::duty::{RingReceiver, RingRule, RingSender, ring};
use oatpier_duty::observe::metrics::MetricSet;
use oatpier_duty::observe::trace::SpanLine;

use crate::claims::ClaimCommand;
use crate::configuration::{StoreNews, StoreOrder};
use crate::news::EntryNews;
use crate::peers::PathNews;
use crate::planner::PlannerNews;

/// News for the callers duty. The sender waits: each says something that no later one repeats.
/// What is to be said meanwhile is kept by member, so that nothing piles up behind it.
const NEWS_RING: usize = 1024;
/// Evidence of the data path for the peers duty. Further pieces are dropped: the next attempt
/// tells the same.
const PATHS_RING: usize = 256;
/// Calls to the store for the configuration duty. The sender waits; there is one at a time.
const ORDERS_RING: usize = 4;
/// What the store said, for the peers duty. The sender waits: a change is told once.
const STORE_NEWS_RING: usize = 64;
/// Commands for the claims duty. An ask that does not fit is answered "unavailable", a peer's
/// with 503; a settlement and the list of entries wait.
const CLAIMS_RING: usize = 1024;
/// News for the planner duty. Further ones are dropped: each is said anew within seconds.
const PLANNER_RING: usize = 64;
/// Spans that wait to be written. Further ones are dropped: a trace is worth less than a request.
const SPAN_RING: usize = 4096;

/// Both ends of a ring.
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
