//! A span for each hop of a request, exported as JSON Lines.
//!
//! The OpenTelemetry SDK creates the spans. The span processor in this module only puts ended spans into a ring. The
//! observe duty writes them out, so that a slow reader of the output never delays a request. If the ring is full, the
//! span is dropped and counted.

use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{HeaderMap, HeaderValue};
use oatpier_types::names::DaemonName;
use opentelemetry::trace::{
    SpanContext, SpanId, SpanKind, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer,
    TracerProvider,
};
use opentelemetry::{Context, KeyValue, Value};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, Span, SpanData, SpanProcessor};
use serde::Serialize;
use serde_json::Map;

use crate::duty::RingSender;

/// The W3C header that propagates the trace context from hop to hop.
pub const TRACEPARENT: &str = "traceparent";

/// Creates the spans of a process.
#[derive(Debug, Clone)]
pub struct HopTracer {
    tracer: SdkTracer,
    // Keeps the processor alive.
    _provider: SdkTracerProvider,
}

impl HopTracer {
    /// Creates a tracer that puts ended spans into `ring`.
    #[must_use]
    pub fn new(name: &DaemonName, ring: RingSender<SpanLine>) -> Self {
        let processor = RingProcessor {
            daemon: name.clone(),
            ring,
        };
        let resource = Resource::builder_empty()
            .with_service_name(name.to_string())
            .build();
        let provider = SdkTracerProvider::builder()
            .with_span_processor(processor)
            .with_resource(resource)
            .build();
        Self {
            tracer: provider.tracer("oatpierd"),
            _provider: provider,
        }
    }

    /// Starts the span of a hop under `parent`.
    #[must_use]
    pub fn start(&self, name: &'static str, kind: SpanKind, parent: &Context) -> HopSpan {
        let builder = self.tracer.span_builder(name).with_kind(kind);
        let span = self.tracer.build_with_context(builder, parent);
        HopSpan {
            context: parent.with_span(span),
        }
    }
}

/// The span of one hop, which ends when it is dropped.
#[derive(Debug)]
pub struct HopSpan {
    context: Context,
}

impl HopSpan {
    /// Returns the context under which later hops start their spans.
    #[must_use]
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// Sets an attribute.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<Value>) {
        self.context.span().set_attribute(KeyValue::new(key, value));
    }

    /// Returns the trace id.
    #[must_use]
    pub fn trace_id(&self) -> u128 {
        u128::from_be_bytes(self.context.span().span_context().trace_id().to_bytes())
    }

    /// Sets the `traceparent` header of the request to the next hop.
    pub fn inject(&self, headers: &mut HeaderMap) {
        if let Some(value) = traceparent_value(&self.context) {
            headers.insert(TRACEPARENT, value);
        }
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.context.span().end();
    }
}

fn traceparent_value(context: &Context) -> Option<HeaderValue> {
    let span = context.span();
    let span_context = span.span_context();
    let text = format!(
        "00-{}-{}-{:02x}",
        span_context.trace_id(),
        span_context.span_id(),
        span_context.trace_flags()
    );
    HeaderValue::from_str(&text)
        .ok()
        .filter(|_| span_context.is_valid())
}

/// Extracts the parent context of an incoming request; returns an empty context if it is missing or invalid.
#[must_use]
pub fn extract_parent(headers: &HeaderMap) -> Context {
    let parent = headers
        .get(TRACEPARENT)
        .and_then(|value| value.to_str().ok())
        .and_then(parse_traceparent);
    match parent {
        Some(parent) => Context::new().with_remote_span_context(parent),
        None => Context::new(),
    }
}

fn parse_traceparent(text: &str) -> Option<SpanContext> {
    let mut parts = text.trim().split('-');
    let version = parts.next()?;
    let trace = TraceId::from_hex(parts.next()?).ok()?;
    let span = SpanId::from_hex(parts.next()?).ok()?;
    let flags = u8::from_str_radix(parts.next()?, 16).ok()?;
    let is_known =
        version.len() == 2 && version != "ff" && (version != "00" || parts.next().is_none());
    let context = SpanContext::new(
        trace,
        span,
        TraceFlags::new(flags),
        true,
        TraceState::default(),
    );
    Some(context).filter(|context| is_known && context.is_valid())
}

/// An ended span, exported as one JSON line.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct SpanLine {
    /// The name of the hop.
    pub span: String,
    /// The process that created the span.
    pub daemon: DaemonName,
    /// The trace id, 32 hex digits.
    pub trace_id: String,
    /// The span id, 16 hex digits.
    pub span_id: String,
    /// The id of the parent span; zeros for a root span.
    pub parent_id: String,
    /// The start time, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// The duration, in microseconds.
    pub duration_us: u64,
    /// The attributes of the span.
    pub attributes: Map<String, serde_json::Value>,
}

struct RingProcessor {
    daemon: DaemonName,
    ring: RingSender<SpanLine>,
}

impl fmt::Debug for RingProcessor {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("RingProcessor")
    }
}

impl SpanProcessor for RingProcessor {
    fn on_start(&self, _: &mut Span, _: &Context) {}

    fn on_end(&self, span: SpanData) {
        let line = span_line(&self.daemon, span);
        // The ring counts dropped spans.
        let _ = self.ring.try_send(line);
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _: Duration) -> OTelSdkResult {
        Ok(())
    }
}

fn span_line(daemon: &DaemonName, span: SpanData) -> SpanLine {
    let duration = span.end_time.duration_since(span.start_time);
    let attributes = span
        .attributes
        .into_iter()
        .map(|pair| (pair.key.to_string(), json_value(&pair.value)))
        .collect();
    SpanLine {
        span: span.name.into_owned(),
        daemon: daemon.clone(),
        trace_id: span.span_context.trace_id().to_string(),
        span_id: span.span_context.span_id().to_string(),
        parent_id: span.parent_span_id.to_string(),
        start_us: micros_since_epoch(span.start_time),
        duration_us: whole_micros(duration.unwrap_or_default()),
        attributes,
    }
}

fn json_value(value: &Value) -> serde_json::Value {
    match value {
        Value::Bool(flag) => (*flag).into(),
        Value::I64(number) => (*number).into(),
        Value::F64(number) => (*number).into(),
        other => other.as_str().into_owned().into(),
    }
}

fn micros_since_epoch(time: SystemTime) -> u64 {
    whole_micros(time.duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
