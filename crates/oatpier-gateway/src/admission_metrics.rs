//! Metrics of refused requests and of the times at which their callers may return.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::metrics::CauseLabels;

/// When a request is refused for lack of room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalStage {
    /// On arrival, by the forecast.
    Arrival,
    /// As soon as it could only be late and had no chance.
    Late,
    /// At the end of its longest wait.
    WaitEnd,
    /// While no engine holds its model.
    ModelMissing,
}

impl RefusalStage {
    fn as_str(self) -> &'static str {
        match self {
            Self::Arrival => "arrival",
            Self::Late => "late",
            Self::WaitEnd => "wait-end",
            Self::ModelMissing => "model-missing",
        }
    }
}

/// Refusals and appointments. Clones share the same values.
#[derive(Debug, Clone, Default)]
pub struct AdmissionMetrics {
    refusals: Family<CauseLabels, Counter>,
    return_times: Family<CauseLabels, Counter>,
    probes: Family<CauseLabels, Counter>,
    idle_room: Counter,
    outstanding: Gauge,
}

impl AdmissionMetrics {
    /// Counts a refusal.
    pub fn count_refusal(&self, stage: RefusalStage) {
        let cause = stage.as_str();
        self.refusals.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a time given to a refused caller, by whether the forecast has room for its return.
    pub fn count_return_time(&self, has_room: bool) {
        let cause = if has_room { "room" } else { "beyond-room" };
        self.return_times
            .get_or_create(&CauseLabels { cause })
            .inc();
    }

    /// Counts a request that waited although the forecast gave it no chance.
    pub fn count_probe(&self, is_served: bool) {
        let cause = if is_served { "served" } else { "refused" };
        self.probes.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Counts a request that found a free slot shortly after another one for the same model was refused on arrival.
    pub fn count_idle_room(&self) {
        self.idle_room.inc();
    }

    /// Sets the number of appointments whose time has not come.
    pub fn set_outstanding(&self, outstanding: usize) {
        self.outstanding
            .set(i64::try_from(outstanding).unwrap_or(i64::MAX));
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "room_refusals",
            "Requests refused for lack of room, by when",
            self.refusals.clone(),
        );
        registry.register(
            "return_times",
            "Times given to refused callers, by whether their return was expected to find room",
            self.return_times.clone(),
        );
        registry.register(
            "forecast_probes",
            "Requests that waited against the forecast, by outcome",
            self.probes.clone(),
        );
        registry.register(
            "idle_room",
            "Requests that found a free slot shortly after another for the same model was refused on arrival",
            self.idle_room.clone(),
        );
        registry.register(
            "outstanding_returns",
            "Refused callers whose time to return has not come",
            self.outstanding.clone(),
        );
    }
}
