//! The metrics of what endpoints say of themselves.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::metrics::CauseLabels;

/// What endpoints said, and how many have asked for what. Cloning shares it.
#[derive(Debug, Clone, Default)]
pub struct NoticeMetrics {
    notices: Family<CauseLabels, Counter>,
    limited: Gauge,
}

impl NoticeMetrics {
    /// Counts what an endpoint said, by what is believed anew.
    pub fn noticed(&self, cause: &'static str) {
        self.notices.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Notes how many endpoints name a limit.
    pub fn note_limited(&self, limited: usize) {
        self.limited.set(i64::try_from(limited).unwrap_or(i64::MAX));
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
    }
}
