//! Metrics of an engine's pace, as its sidecar observes it.

use std::time::Duration;

use oatpier_serving::capacity::EnginePace;
use oatpier_serving::capacity::prefill_window::PresentPace;
use oatpier_serving::permits::WaitCause;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::metrics::CauseLabels;

/// The pace of a sidecar's engine, and what requests for its permits wait for. Clones share the same values.
#[derive(Debug, Clone, Default)]
pub struct PaceMetrics {
    present_chunk_us: Gauge,
    usual_chunk_us: Gauge,
    late_pauses_per_ks: Gauge,
    prefill_us_per_k: Gauge,
    prefill_room_us: Gauge,
    wait_ms: Family<CauseLabels, Counter>,
}

impl PaceMetrics {
    /// Sets the usual pace; zeros while unknown.
    pub fn set_usual(&self, pace: Option<EnginePace>) {
        let pace = pace.unwrap_or_default();
        self.usual_chunk_us.set(i64::from(pace.chunk_us));
        self.late_pauses_per_ks
            .set(i64::from(pace.late_pauses_per_ks));
        self.prefill_us_per_k.set(i64::from(pace.prefill_us_per_k));
    }

    /// Sets the present pace and the prefill work that the engine may be sent; zeros while unknown.
    pub fn set_present(&self, pace: Option<PresentPace>, room: Option<Duration>) {
        let chunk = pace.map_or(Duration::ZERO, |pace| pace.chunk);
        self.present_chunk_us.set(whole_micros(chunk));
        self.prefill_room_us
            .set(whole_micros(room.unwrap_or_default()));
    }

    /// Counts the time that requests have waited for permits, by what the next one waits for.
    pub fn count_wait(&self, cause: WaitCause, waited: Duration) {
        let labels = CauseLabels {
            cause: cause.as_str(),
        };
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        self.wait_ms.get_or_create(&labels).inc_by(waited_ms);
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "engine_present_chunk_us",
            "Time of a chunk of the engine's streams at present, without prefill",
            self.present_chunk_us.clone(),
        );
        registry.register(
            "engine_usual_chunk_us",
            "Usual time of a chunk of the engine's streams, without prefill",
            self.usual_chunk_us.clone(),
        );
        registry.register(
            "engine_late_pauses_per_ks",
            "Pauses beyond the pause limit per thousand seconds of one stream",
            self.late_pauses_per_ks.clone(),
        );
        registry.register(
            "engine_prefill_us_per_k",
            "Time to prefill a thousand tokens",
            self.prefill_us_per_k.clone(),
        );
        registry.register(
            "engine_prefill_room_us",
            "Prefill work that the engine may be sent now",
            self.prefill_room_us.clone(),
        );
        registry.register(
            "permit_wait_ms",
            "Time that requests waited for permits, by what the next one waited for",
            self.wait_ms.clone(),
        );
    }
}

fn whole_micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}
