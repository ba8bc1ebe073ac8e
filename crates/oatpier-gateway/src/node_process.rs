//! The threads that gateways and sidecars have in common: settings reload, metrics and readiness, log output.

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

/// Inputs of the common threads.
pub struct ProcessInputs {
    /// Reads the settings again after a change.
    pub source: Box<dyn SettingsSource>,
    /// Accepts connections to the metrics.
    pub metrics_listener: TcpListener,
    /// Accepts connections of the platform's readiness probe.
    pub readiness_listener: Option<TcpListener>,
    /// Readiness flag: whether the process can serve.
    pub can_serve: Arc<AtomicBool>,
}

/// A process whose common threads are running.
pub struct NodeProcess {
    /// Spawns and stops the process's threads.
    pub process: DutyProcess,
    /// The settings in force.
    pub settings: SettingsFeed,
    /// The process's metrics.
    pub metrics: ServingMetrics,
    /// The decision log.
    pub log: DecisionLog,
}

impl NodeProcess {
    /// Starts the common threads.
    #[must_use]
    pub fn start(settings: &NodeSettings, inputs: ProcessInputs) -> Self {
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
            can_serve: inputs.can_serve,
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
