//! The metrics of a process, in the Prometheus text format.

use std::sync::Arc;
use std::time::Duration;

use oatpier_types::refusal::RefusalCause;
use oatpier_types::verdict::RunVerdict;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// The labels of a completed request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct AnswerLabels {
    /// The request class.
    pub class: String,
    /// The outcome: `whole`, `error`, `refused` or `caller-gone`.
    pub end: &'static str,
    /// Whether the request may have been executed.
    pub verdict: &'static str,
    /// Whether the response was within the class's latency target: `yes` or `no`.
    pub in_time: &'static str,
}

/// The labels of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct RefusalLabels {
    /// The cause of the refusal.
    pub cause: &'static str,
}

/// The labels of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct AttemptLabels {
    /// The verdict at the end of the attempt.
    pub verdict: &'static str,
}

/// The labels of a request class.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct ClassLabels {
    /// The request class.
    pub class: String,
}

/// The labels of a ring between two duties.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct RingLabels {
    /// The name of the ring, made of sender and receiver.
    pub ring: &'static str,
}

/// The labels of a move, which is a change of an endpoint's weights or role.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct MoveLabels {
    /// `load`, `unload` or `role`.
    pub kind: &'static str,
    /// The reason for the move: `plan`, `repair` or `settle`.
    pub cause: &'static str,
}

/// The labels of a call to the platform's key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct StoreCallLabels {
    /// The purpose of the call.
    pub kind: &'static str,
    /// The outcome: `answered`, `failed`, or `held-back` if the process has used up its share of calls.
    pub end: &'static str,
}

/// The labels of a claim on an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub struct ClaimLabels {
    /// The outcome: `granted`, `denied`, `unavailable`, or `settlement-dropped`.
    pub end: &'static str,
}

/// The metrics shared by the duties of a process. Clones share the same metrics.
#[derive(Debug, Clone)]
pub struct MetricSet {
    registry: Arc<Registry>,
    /// Completed requests.
    pub answers: Family<AnswerLabels, Counter>,
    /// Refusals by cause.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Attempts by verdict.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Time to the first token, or to the complete response of a service, in seconds.
    pub first_due: Family<ClassLabels, Histogram>,
    /// Sends to a ring that was full.
    pub ring_full: Family<RingLabels, Counter>,
    /// Late or misrouted responses that were dropped.
    pub crossed: Counter,
    /// The generation of the configuration in force.
    pub generation: Gauge,
    /// Moves by kind and cause.
    pub moves: Family<MoveLabels, Counter>,
    /// Spans dropped because the exporter was too slow.
    pub spans_dropped: Counter,
    /// Endpoints in an entry's directory that accept requests.
    pub endpoints_known: Gauge,
    /// Ready weights at these endpoints, counted once per endpoint.
    pub replicas_known: Gauge,
    /// Memory accounted for the endpoint's weights, in MiB.
    pub charged_mib: Gauge,
    /// Calls to the key-value service.
    pub store_calls: Family<StoreCallLabels, Counter>,
    /// Claims on idempotency keys.
    pub claims: Family<ClaimLabels, Counter>,
    /// Status queries to agents that are not known to any registrar.
    pub agents_asked: Counter,
}

impl Default for MetricSet {
    fn default() -> Self {
        let mut set = Self {
            registry: Arc::default(),
            answers: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            in_flight: Gauge::default(),
            first_due: Family::new_with_constructor(first_due_histogram),
            ring_full: Family::default(),
            crossed: Counter::default(),
            generation: Gauge::default(),
            moves: Family::default(),
            spans_dropped: Counter::default(),
            endpoints_known: Gauge::default(),
            replicas_known: Gauge::default(),
            charged_mib: Gauge::default(),
            store_calls: Family::default(),
            claims: Family::default(),
            agents_asked: Counter::default(),
        };
        set.registry = Arc::new(set.register());
        set
    }
}

/// Creates a histogram with buckets from one millisecond to about one minute.
fn first_due_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

impl MetricSet {
    /// Encodes the metrics as the text that `/metrics` serves.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }

    /// Returns the counter of sends to a full ring.
    #[must_use]
    pub fn ring(&self, ring: &'static str) -> Counter {
        self.ring_full.get_or_create(&RingLabels { ring }).clone()
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, cause: RefusalCause) {
        let labels = RefusalLabels {
            cause: cause.as_str(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts an attempt that ended.
    pub fn count_attempt(&self, verdict: RunVerdict) {
        let labels = AttemptLabels {
            verdict: verdict.as_str(),
        };
        self.attempts.get_or_create(&labels).inc();
    }

    /// Records the time to the first token of a request, or to its complete response for a service.
    pub fn observe_first_due(&self, class: &str, span: Duration) {
        let labels = ClassLabels {
            class: class.to_owned(),
        };
        self.first_due
            .get_or_create(&labels)
            .observe(span.as_secs_f64());
    }

    /// Counts a call to the key-value service.
    pub fn count_store_call(&self, kind: &'static str, end: &'static str) {
        let labels = StoreCallLabels { kind, end };
        self.store_calls.get_or_create(&labels).inc();
    }

    /// Counts a claim.
    pub fn count_claim(&self, end: &'static str) {
        self.claims.get_or_create(&ClaimLabels { end }).inc();
    }

    fn register(&self) -> Registry {
        let mut registry = Registry::with_prefix("oatpier");
        self.register_control(&mut registry);
        registry.register(
            "answers",
            "Requests by class, end, verdict and whether in time",
            self.answers.clone(),
        );
        registry.register("refusals", "Refusals by cause", self.refusals.clone());
        registry.register("attempts", "Attempts by verdict", self.attempts.clone());
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        registry.register(
            "first_due_seconds",
            "Time until the first token, or until the whole answer of a service",
            self.first_due.clone(),
        );
        registry.register(
            "ring_full",
            "Times that a ring between two duties was full",
            self.ring_full.clone(),
        );
        registry.register(
            "crossed_answers",
            "Late or crossed answers that were dropped",
            self.crossed.clone(),
        );
        registry.register(
            "config_generation",
            "Generation of the configuration in force",
            self.generation.clone(),
        );
        registry.register("moves", "Moves by kind and cause", self.moves.clone());
        registry.register(
            "spans_dropped",
            "Spans dropped since the exporter was behind",
            self.spans_dropped.clone(),
        );
        registry.register(
            "endpoints_known",
            "Endpoints in this entry's directory that take work",
            self.endpoints_known.clone(),
        );
        registry.register(
            "replicas_known",
            "Weights that are ready at the endpoints known, each endpoint's counted",
            self.replicas_known.clone(),
        );
        registry.register(
            "charged_mib",
            "Memory that the endpoint's weights are charged with",
            self.charged_mib.clone(),
        );
        registry
    }

    fn register_control(&self, registry: &mut Registry) {
        registry.register(
            "store_calls",
            "Calls to the key-value service by kind and end",
            self.store_calls.clone(),
        );
        registry.register(
            "claims",
            "Claims on idempotency keys by end",
            self.claims.clone(),
        );
        registry.register(
            "agents_asked",
            "Statuses asked of agents that no registrar knows",
            self.agents_asked.clone(),
        );
    }
}
