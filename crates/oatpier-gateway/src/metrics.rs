//! The metrics of gateways and sidecars, in the Prometheus text form.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::notice_metrics::NoticeMetrics;
use crate::workspace_metrics::WorkspaceMetrics;

/// Labels of a request that was answered.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct RequestLabels {
    /// Its route.
    pub route: String,
    /// How it ended, as in the log.
    pub outcome: &'static str,
}

/// Labels of a cause or an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct CauseLabels {
    /// The cause, as in the log.
    pub cause: &'static str,
}

/// Labels of a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct RouteLabels {
    /// The route.
    pub route: String,
}

/// Labels of messages between gateways and sidecars.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct MessageLabels {
    /// What they say.
    pub kind: &'static str,
    /// Whether they were sent or received.
    pub direction: &'static str,
}

/// The counters that the duties share. Cloning shares them.
#[derive(Debug, Clone)]
pub struct ServingMetrics {
    registry: Arc<Registry>,
    requests: Family<RequestLabels, Counter>,
    attempts: Family<CauseLabels, Counter>,
    first_seconds: Family<RouteLabels, Histogram>,
    store_reads: Family<CauseLabels, Counter>,
    store_writes: Family<CauseLabels, Counter>,
    orders: Family<CauseLabels, Counter>,
    advice: Family<CauseLabels, Counter>,
    messages: Family<MessageLabels, Counter>,
    message_bytes: Family<MessageLabels, Counter>,
    /// What workspaces ask for and use.
    pub workspaces: WorkspaceMetrics,
    /// What endpoints say of themselves.
    pub notices: NoticeMetrics,
    /// The version of the configuration in force.
    pub config_version: Gauge,
    /// Endpoints that are registered.
    pub endpoints: Gauge,
    /// Requests without a final answer.
    pub in_flight: Gauge,
    /// Gateways that were heard of lately.
    pub gateways: Gauge,
    /// Milliseconds since the store was last read.
    pub store_age_ms: Gauge,
    suspects: Gauge,
    barred: Gauge,
    /// Each time that a ring was full.
    pub ring_full: Counter,
    /// Decision lines that were left out.
    pub lines_left_out: Counter,
}

impl Default for ServingMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Arc::default(),
            requests: Family::default(),
            attempts: Family::default(),
            first_seconds: Family::new_with_constructor(first_histogram),
            store_reads: Family::default(),
            store_writes: Family::default(),
            orders: Family::default(),
            advice: Family::default(),
            messages: Family::default(),
            message_bytes: Family::default(),
            workspaces: WorkspaceMetrics::default(),
            notices: NoticeMetrics::default(),
            config_version: Gauge::default(),
            endpoints: Gauge::default(),
            in_flight: Gauge::default(),
            gateways: Gauge::default(),
            store_age_ms: Gauge::default(),
            suspects: Gauge::default(),
            barred: Gauge::default(),
            ring_full: Counter::default(),
            lines_left_out: Counter::default(),
        };
        metrics.registry = Arc::new(metrics.register());
        metrics
    }
}

/// From two milliseconds to about a minute.
fn first_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.002, 2.0, 15))
}

impl ServingMetrics {
    /// The text that is served.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// Counts a request that was answered.
    pub fn answered(&self, route: &str, outcome: &'static str) {
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts an attempt that ended.
    pub fn attempted(&self, cause: &'static str) {
        self.attempts.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Notes how long the first piece of an answer took.
    pub fn first_after(&self, route: &str, took: Duration) {
        let labels = RouteLabels {
            route: route.to_owned(),
        };
        let histogram = self.first_seconds.get_or_create(&labels);
        histogram.observe(took.as_secs_f64());
    }

    /// Counts a read of the store.
    pub fn store_read(&self, cause: &'static str) {
        self.store_reads.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a write to the store.
    pub fn store_written(&self, cause: &'static str) {
        self.store_writes
            .get_or_create(&CauseLabels { cause })
            .inc();
    }

    /// Notes how many requests are suspect, and how many of them are barred.
    pub fn note_suspects(&self, suspects: usize, barred: usize) {
        self.suspects
            .set(i64::try_from(suspects).unwrap_or(i64::MAX));
        self.barred.set(i64::try_from(barred).unwrap_or(i64::MAX));
    }

    /// Counts an order to an engine, by its answer.
    pub fn ordered(&self, cause: &'static str) {
        self.orders.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts advice to sidecars, by its reason.
    pub fn advised(&self, cause: &'static str) {
        self.advice.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a message between gateways and sidecars.
    pub fn exchanged(&self, kind: &'static str, direction: &'static str, bytes: usize) {
        let labels = MessageLabels { kind, direction };
        self.messages.get_or_create(&labels).inc();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.message_bytes.get_or_create(&labels).inc_by(bytes);
    }

    fn register(&self) -> Registry {
        let mut registry = Registry::with_prefix("oatpier_serving");
        registry.register(
            "requests",
            "Requests by route and outcome",
            self.requests.clone(),
        );
        registry.register(
            "sends",
            "Attempts at endpoints by end",
            self.attempts.clone(),
        );
        registry.register(
            "first_seconds",
            "Time until the first piece of an answer, by route",
            self.first_seconds.clone(),
        );
        registry.register(
            "store_reads",
            "Reads of the store by end",
            self.store_reads.clone(),
        );
        registry.register(
            "store_writes",
            "Writes to the store by end",
            self.store_writes.clone(),
        );
        registry.register(
            "suspect_requests",
            "Requests that were at endpoints that ended, and have not run whole since",
            self.suspects.clone(),
        );
        registry.register(
            "barred_requests",
            "Of these, requests that are not sent to endpoints any more",
            self.barred.clone(),
        );
        registry.register(
            "orders",
            "Orders to the engine by answer",
            self.orders.clone(),
        );
        registry.register(
            "load_advice",
            "Loads advised, by reason",
            self.advice.clone(),
        );
        registry.register(
            "messages",
            "Messages between gateways and sidecars, by kind and direction",
            self.messages.clone(),
        );
        registry.register(
            "message_bytes",
            "Bytes of these messages, by kind and direction",
            self.message_bytes.clone(),
        );
        self.workspaces.register(&mut registry);
        self.notices.register(&mut registry);
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "endpoints",
            "Endpoints that are registered",
            self.endpoints.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests without a final answer",
            self.in_flight.clone(),
        );
        registry.register(
            "gateways",
            "Gateways heard of lately",
            self.gateways.clone(),
        );
        registry.register(
            "store_age_ms",
            "Milliseconds since the store was last read",
            self.store_age_ms.clone(),
        );
        registry.register(
            "ring_full",
            "Times that a ring was full",
            self.ring_full.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Decision lines that were left out to bound the volume",
            self.lines_left_out.clone(),
        );
        registry
    }
}
