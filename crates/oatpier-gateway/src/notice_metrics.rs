//! Metrics of what endpoints report about themselves.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::metrics::CauseLabels;

/// Notices from endpoints, and endpoints by their last notice. Clones share the same values.
#[derive(Debug, Clone, Default)]
pub struct NoticeMetrics {
    notices: Family<CauseLabels, Counter>,
    limited: Gauge,
    leaving: Gauge,
    resting: Gauge,
}

/// Numbers of endpoints, by what they reported.
#[derive(Debug, Clone, Copy)]
pub struct NoticeCounts {
    /// Endpoints that state a limit.
    pub limited: usize,
    /// Endpoints whose answers said that they are shutting down.
    pub leaving: usize,
    /// Endpoints that currently accept no requests from this gateway.
    pub resting: usize,
}

impl NoticeMetrics {
    /// Counts an endpoint's notice, by the change that it caused.
    pub fn count_notice(&self, cause: &'static str) {
        self.notices.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Sets the numbers of endpoints.
    pub fn set_counts(&self, counts: NoticeCounts) {
        let shown = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.limited.set(shown(counts.limited));
        self.leaving.set(shown(counts.leaving));
        self.resting.set(shown(counts.resting));
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "endpoint_notices",
            "What endpoints said of themselves in their answers, by what is believed anew",
            self.notices.clone(),
        );
        registry.register(
            "limited_endpoints",
            "Endpoints that name a limit on the requests of all gateways",
            self.limited.clone(),
        );
        registry.register(
            "leaving_endpoints",
            "Endpoints whose answers said that they leave",
            self.leaving.clone(),
        );
        registry.register(
            "resting_endpoints",
            "Endpoints that want no requests from this gateway for a while",
            self.resting.clone(),
        );
    }
}
