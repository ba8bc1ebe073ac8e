//! A span and a count for each move of weights or roles.

use oatpier_duty::observe::metrics::{MetricSet, MoveLabels};
use oatpier_duty::observe::trace::{HopSpan, HopTracer};
use oatpier_types::engine::{OrderAction, WeightsKey};
use opentelemetry::Context;
use opentelemetry::trace::SpanKind;

/// Why a move is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveCause {
    /// The plan asks for it.
    Plan,
    /// No live replica was left.
    Repair,
}

impl MoveCause {
    /// The word that metrics and spans use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Plan => "plan",
            Self::Repair => "repair",
        }
    }
}

/// The moves that have no known end.
pub struct MoveSpans {
    tracer: HopTracer,
    metrics: MetricSet,
    open: Vec<(OrderAction, HopSpan)>,
}

impl MoveSpans {
    /// No moves yet.
    #[must_use]
    pub fn new(tracer: HopTracer, metrics: MetricSet) -> Self {
        Self {
            tracer,
            metrics,
            open: Vec::new(),
        }
    }

    /// A move was ordered.
    pub fn begin(&mut self, action: &OrderAction, cause: MoveCause) {
        let kind = kind_of(action);
        let labels = MoveLabels {
            kind,
            cause: cause.as_str(),
        };
        self.metrics.moves.get_or_create(&labels).inc();
        let parent = Context::new();
        let span = self.tracer.start("agent.move", SpanKind::Internal, &parent);
        span.set_attribute("kind", kind);
        span.set_attribute("cause", cause.as_str());
        if let Some(weights) = weights_of(action) {
            span.set_attribute("weights", text_of(weights));
        }
        spdlog::info!("a move began", kv: { kind, cause = cause.as_str() });
        self.open.push((action.clone(), span));
    }

    /// Ends the spans of moves that `is_moving` no longer knows.
    pub fn end(&mut self, is_moving: impl Fn(&OrderAction) -> bool) {
        self.open.retain(|(action, _)| is_moving(action));
    }
}

/// The weights that an order is about.
#[must_use]
pub fn weights_of(action: &OrderAction) -> Option<&WeightsKey> {
    match action {
        OrderAction::Load { weights } | OrderAction::Unload { weights } => Some(weights),
        OrderAction::SetRole { .. } => None,
    }
}

fn kind_of(action: &OrderAction) -> &'static str {
    match action {
        OrderAction::Load { .. } => "load",
        OrderAction::Unload { .. } => "unload",
        OrderAction::SetRole { .. } => "role",
    }
}

fn text_of(weights: &WeightsKey) -> String {
    let name = match &weights.adapter {
        Some(adapter) => adapter.as_str(),
        None => weights.model.as_str(),
    };
    format!("{name}@{}", weights.version)
}
