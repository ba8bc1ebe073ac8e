//! A span and a counter for each move: a load or unload of weights, or a change of role.

use oatpier_duty::observe::metrics::{MetricSet, MoveLabels};
use oatpier_duty::observe::trace::{HopSpan, HopTracer};
use oatpier_types::engine::{OrderAction, WeightsKey};
use opentelemetry::Context;
use opentelemetry::trace::SpanKind;

/// Reason for a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveCause {
    /// The plan requires it.
    Plan,
    /// No live replica was left.
    Repair,
}

impl MoveCause {
    /// Returns the value that metrics and spans use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Plan => "plan",
            Self::Repair => "repair",
        }
    }
}

/// Spans of the moves that are not known to have ended.
pub struct MoveSpans {
    tracer: HopTracer,
    metrics: MetricSet,
    open: Vec<(OrderAction, HopSpan)>,
}

impl MoveSpans {
    /// Creates an empty set of spans.
    #[must_use]
    pub fn new(tracer: HopTracer, metrics: MetricSet) -> Self {
        Self {
            tracer,
            metrics,
            open: Vec::new(),
        }
    }

    /// Starts the span of a move that was ordered, and counts the move.
    pub fn begin(&mut self, action: &OrderAction, cause: MoveCause) {
        let kind = move_kind(action);
        let labels = MoveLabels {
            kind,
            cause: cause.as_str(),
        };
        self.metrics.moves.get_or_create(&labels).inc();
        let parent = Context::new();
        let span = self.tracer.start("agent.move", SpanKind::Internal, &parent);
        span.set_attribute("kind", kind);
        span.set_attribute("cause", cause.as_str());
        if let Some(weights) = order_weights(action) {
            span.set_attribute("weights", format_weights(weights));
        }
        spdlog::info!("move started", kv: { kind, cause = cause.as_str() });
        self.open.push((action.clone(), span));
    }

    /// Ends the spans of the moves for which `is_moving` returns false.
    pub fn end(&mut self, is_moving: impl Fn(&OrderAction) -> bool) {
        self.open.retain(|(action, _)| is_moving(action));
    }
}

/// Returns the weights that an order loads or unloads.
#[must_use]
pub fn order_weights(action: &OrderAction) -> Option<&WeightsKey> {
    match action {
        OrderAction::Load { weights } | OrderAction::Unload { weights } => Some(weights),
        OrderAction::SetRole { .. } => None,
    }
}

fn move_kind(action: &OrderAction) -> &'static str {
    match action {
        OrderAction::Load { .. } => "load",
        OrderAction::Unload { .. } => "unload",
        OrderAction::SetRole { .. } => "role",
    }
}

fn format_weights(weights: &WeightsKey) -> String {
    let name = match &weights.adapter {
        Some(adapter) => adapter.as_str(),
        None => weights.model.as_str(),
    };
    format!("{name}@{}", weights.version)
}
