//! Metrics of gateways and sidecars, in the Prometheus text format.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::admission_metrics::AdmissionMetrics;
use crate::notice_metrics::NoticeMetrics;
use crate::pace_metrics::PaceMetrics;
use crate::stream_metrics::StreamMetrics;
use crate::workspace_metrics::WorkspaceMetrics;

/// Labels of an answered request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct RequestLabels {
    /// The request's route.
    pub route: String,
    /// The request's outcome, as in the log.
    pub outcome: &'static str,
}

/// Label with a cause or an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct CauseLabels {
    /// The cause, as in the log.
    pub cause: &'static str,
}

/// Labels of an endpoint's response that is no success.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct FailureLabels {
    /// The status.
    pub status: u16,
    /// What the response says about the request, as in the log.
    pub kind: &'static str,
}

/// Label with a route.
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
    /// The kind of message.
    pub kind: &'static str,
    /// Whether the message was sent or received.
    pub direction: &'static str,
}

/// Metrics shared by the threads of a process. Clones share the same values.
#[derive(Debug, Clone)]
pub struct ServingMetrics {
    registry: Arc<Registry>,
    requests: Family<RequestLabels, Counter>,
    attempts: Family<CauseLabels, Counter>,
    endpoint_failures: Family<FailureLabels, Counter>,
    first_seconds: Family<RouteLabels, Histogram>,
    store_reads: Family<CauseLabels, Counter>,
    store_messages: Family<CauseLabels, Counter>,
    store_fetches: Family<CauseLabels, Counter>,
    store_writes: Family<CauseLabels, Counter>,
    orders: Family<CauseLabels, Counter>,
    advice: Family<CauseLabels, Counter>,
    messages: Family<MessageLabels, Counter>,
    message_bytes: Family<MessageLabels, Counter>,
    /// Requests and used units of workspaces.
    pub workspaces: WorkspaceMetrics,
    /// What endpoints report about themselves.
    pub notices: NoticeMetrics,
    /// The pace of a sidecar's engine.
    pub pace: PaceMetrics,
    /// Requests refused for lack of room.
    pub admission: AdmissionMetrics,
    /// Streams that broke off, and requests that take a stream up.
    pub streams: StreamMetrics,
    /// The version of the configuration in force.
    pub config_version: Gauge,
    /// Number of registered endpoints.
    pub endpoints: Gauge,
    /// Number of requests without a final answer.
    pub in_flight: Gauge,
    /// Number of gateways that have sent a report recently.
    pub gateways: Gauge,
    /// Milliseconds since the store was last read.
    pub store_age_ms: Gauge,
    /// Number of entries of the store that can't be decoded, at the last read.
    pub unreadable_entries: Gauge,
    suspects: Gauge,
    barred: Gauge,
    suspected_parts: Gauge,
    barred_parts: Gauge,
    /// Number of times that a ring was full.
    pub ring_full: Counter,
    /// Number of callers' connections that were closed unread because others waited too long for the processor.
    pub connections_closed_unread: Counter,
    /// Number of callers' connections that waited for their callers and were closed for others.
    pub connections_closed_for_others: Counter,
    /// Number of callers' requests that were refused because there was no memory for their bodies.
    pub bodies_refused: Counter,
    /// Number of decision lines that were left out of the log.
    pub lines_left_out: Counter,
}

impl Default for ServingMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Arc::default(),
            requests: Family::default(),
            attempts: Family::default(),
            endpoint_failures: Family::default(),
            first_seconds: Family::new_with_constructor(first_chunk_histogram),
            store_reads: Family::default(),
            store_messages: Family::default(),
            store_fetches: Family::default(),
            store_writes: Family::default(),
            orders: Family::default(),
            advice: Family::default(),
            messages: Family::default(),
            message_bytes: Family::default(),
            workspaces: WorkspaceMetrics::default(),
            notices: NoticeMetrics::default(),
            pace: PaceMetrics::default(),
            admission: AdmissionMetrics::default(),
            streams: StreamMetrics::default(),
            config_version: Gauge::default(),
            endpoints: Gauge::default(),
            in_flight: Gauge::default(),
            gateways: Gauge::default(),
            store_age_ms: Gauge::default(),
            unreadable_entries: Gauge::default(),
            suspects: Gauge::default(),
            barred: Gauge::default(),
            suspected_parts: Gauge::default(),
            barred_parts: Gauge::default(),
            ring_full: Counter::default(),
            connections_closed_unread: Counter::default(),
            connections_closed_for_others: Counter::default(),
            bodies_refused: Counter::default(),
            lines_left_out: Counter::default(),
        };
        metrics.registry = Arc::new(metrics.register());
        metrics
    }
}

/// Creates a histogram with buckets from two milliseconds to about half a minute.
fn first_chunk_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.002, 2.0, 15))
}

impl ServingMetrics {
    /// Returns all metrics in the text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// Counts an answered request.
    pub fn count_request(&self, route: &str, outcome: &'static str) {
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a finished attempt.
    pub fn count_attempt(&self, cause: &'static str) {
        self.attempts.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts an endpoint's response that is no success, by its status and what it says about the request.
    pub fn count_endpoint_failure(&self, status: StatusCode, kind: &'static str) {
        let labels = FailureLabels {
            status: status.as_u16(),
            kind,
        };
        self.endpoint_failures.get_or_create(&labels).inc();
    }

    /// Records the time until the first chunk of an answer.
    pub fn observe_first_chunk(&self, route: &str, took: Duration) {
        let labels = RouteLabels {
            route: route.to_owned(),
        };
        let histogram = self.first_seconds.get_or_create(&labels);
        histogram.observe(took.as_secs_f64());
    }

    /// Counts a read of the store.
    pub fn count_store_read(&self, cause: &'static str) {
        self.store_reads.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts another gateway's message about the store, by what it changed here.
    pub fn count_store_message(&self, cause: &'static str) {
        self.store_messages
            .get_or_create(&CauseLabels { cause })
            .inc();
    }

    /// Counts a question to another gateway about the store, by what its answer changed here.
    pub fn count_store_fetch(&self, cause: &'static str) {
        self.store_fetches
            .get_or_create(&CauseLabels { cause })
            .inc();
    }

    /// Counts a write to the store.
    pub fn count_store_write(&self, cause: &'static str) {
        self.store_writes
            .get_or_create(&CauseLabels { cause })
            .inc();
    }

    /// Sets the number of suspect requests, and how many of them are barred from endpoints.
    pub fn note_suspects(&self, suspects: usize, barred: usize) {
        self.suspects
            .set(i64::try_from(suspects).unwrap_or(i64::MAX));
        self.barred.set(i64::try_from(barred).unwrap_or(i64::MAX));
    }

    /// Sets the number of suspected prompt parts, and how many of them are barred from endpoints.
    pub fn note_suspected_parts(&self, suspects: usize, barred: usize) {
        self.suspected_parts
            .set(i64::try_from(suspects).unwrap_or(i64::MAX));
        self.barred_parts
            .set(i64::try_from(barred).unwrap_or(i64::MAX));
    }

    /// Counts an order to an engine, by its outcome.
    pub fn count_order(&self, cause: &'static str) {
        self.orders.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts load advice to sidecars, by its reason.
    pub fn count_advice(&self, cause: &'static str) {
        self.advice.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a message between gateways and sidecars.
    pub fn count_message(&self, kind: &'static str, direction: &'static str, bytes: usize) {
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
            "endpoint_failures",
            "Responses of endpoints other than a success, by status and what they say about the request",
            self.endpoint_failures.clone(),
        );
        registry.register(
            "first_seconds",
            "Time until the first piece of an answer, by route",
            self.first_seconds.clone(),
        );
        self.register_store(&mut registry);
        self.register_suspects(&mut registry);
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
        self.pace.register(&mut registry);
        self.admission.register(&mut registry);
        self.streams.register(&mut registry);
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
            "ring_full",
            "Times that a ring was full",
            self.ring_full.clone(),
        );
        registry.register(
            "connections_closed_unread",
            "Callers' connections closed unread because others waited too long for the processor",
            self.connections_closed_unread.clone(),
        );
        registry.register(
            "connections_closed_for_others",
            "Callers' connections that waited for their callers and were closed for others",
            self.connections_closed_for_others.clone(),
        );
        registry.register(
            "bodies_refused",
            "Callers' requests refused because there was no memory for their bodies",
            self.bodies_refused.clone(),
        );
        registry.register(
            "log_lines_left_out",
            "Decision lines that were left out to bound the volume",
            self.lines_left_out.clone(),
        );
        registry
    }

    fn register_suspects(&self, registry: &mut Registry) {
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
            "suspected_prompt_parts",
            "Prompt parts at the beginning of a response at endpoints that crashed, not answered since",
            self.suspected_parts.clone(),
        );
        registry.register(
            "barred_prompt_parts",
            "Of these, parts whose requests are not sent to endpoints any more",
            self.barred_parts.clone(),
        );
    }

    fn register_store(&self, registry: &mut Registry) {
        registry.register(
            "store_reads",
            "Reads of the store by end",
            self.store_reads.clone(),
        );
        registry.register(
            "store_messages",
            "Messages of other gateways about the store, by outcome",
            self.store_messages.clone(),
        );
        registry.register(
            "store_fetches",
            "Questions to other gateways about the store, by outcome",
            self.store_fetches.clone(),
        );
        registry.register(
            "store_writes",
            "Writes to the store by end",
            self.store_writes.clone(),
        );
        registry.register(
            "store_age_ms",
            "Milliseconds since the store was last read",
            self.store_age_ms.clone(),
        );
        registry.register(
            "store_unreadable_entries",
            "Entries of the store that could not be decoded at the last read",
            self.unreadable_entries.clone(),
        );
    }
}
