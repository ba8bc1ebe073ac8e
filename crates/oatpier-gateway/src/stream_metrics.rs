//! Metrics of streams that broke off, and of requests that take a stream up.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::metrics::CauseLabels;

/// Counters of interrupted streams. Clones share the same values.
#[derive(Debug, Clone, Default)]
pub struct StreamMetrics {
    broken: Family<CauseLabels, Counter>,
    taken_up: Family<CauseLabels, Counter>,
}

impl StreamMetrics {
    /// Counts a stream that broke off at its endpoint, by whether it was resumed at another one.
    pub fn count_broken(&self, cause: &'static str) {
        self.broken.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a request that takes up a stream of an earlier attempt, by its outcome.
    pub fn count_taken_up(&self, cause: &'static str) {
        self.taken_up.get_or_create(&CauseLabels { cause }).inc();
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "broken_streams",
            "Streams that broke off at their endpoint, by whether they were resumed at another one",
            self.broken.clone(),
        );
        registry.register(
            "taken_up_streams",
            "Requests that take up a stream of an earlier attempt, by outcome",
            self.taken_up.clone(),
        );
    }
}
