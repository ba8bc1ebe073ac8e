//! The duties that gateways and sidecars share: reloads, metrics and readiness, log lines.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use oatpier_duty::duty::DutyProcess;
use oatpier_serving::node::NodeSettings;
use tokio::sync::watch;

use crate::decisions::{DecisionLog, write_lines};
use crate::metrics::ServingMetrics;
use crate::observe::{ObserveInputs, observe};
use crate::reload::{ReloadInputs, SettingsFeed, SettingsSource, reload};

/// What the shared duties are made of.
pub struct FrameInputs {
    /// Reads the settings again.
    pub source: Box<dyn SettingsSource>,
    /// Where metrics are served.
    pub metrics_listener: TcpListener,
    /// Where the platform asks whether the process takes callers.
    pub readiness_listener: Option<TcpListener>,
    /// Whether the process can serve.
    pub able: Arc<AtomicBool>,
}

/// A process whose shared duties run.
pub struct ProcessFrame {
    /// Takes further duties.
    pub process: DutyProcess,
    /// The settings in force.
    pub settings: SettingsFeed,
    /// The process's metrics.
    pub metrics: ServingMetrics,
    /// Where decisions are logged.
    pub log: DecisionLog,
}

impl ProcessFrame {
    /// Starts the shared duties.
    #[must_use]
    pub fn start(settings: &NodeSettings, inputs: FrameInputs) -> Self {
        let mut process = DutyProcess::default();
        let metrics = ServingMetrics::default();
        let (log, lines) = DecisionLog::new(settings.name.as_str(), &metrics);
        let (sender, feed) = watch::channel(Arc::new(settings.clone()));
        let reload_inputs = ReloadInputs {
            source: inputs.source,
            settings: sender,
            stop: process.stop.clone(),
        };
        process.spawn("reload", || reload(reload_inputs));
        let observe_inputs = ObserveInputs {
            metrics_listener: inputs.metrics_listener,
            readiness_listener: inputs.readiness_listener,
            metrics: metrics.clone(),
            able: inputs.able,
            stop: process.stop.clone(),
        };
        process.spawn("observe", || observe(observe_inputs));
        let stop = process.stop.clone();
        process.spawn("logs", || write_lines(lines, stop));
        Self {
            process,
            settings: feed,
            metrics,
            log,
        }
    }
}
