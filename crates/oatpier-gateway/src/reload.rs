//! Reloads the settings file, on SIGHUP and when the file has changed.
//!
//! Changed bounds and a changed store address apply at once. Listen addresses are read only at the start; a change of
//! them is logged and applies after a restart. An invalid file is rejected, and the current settings stay in force.

use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{StopPhase, StopSignal};
use oatpier_serving::node::NodeSettings;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// Interval between reads of the settings file, since it may change without a signal. The file has one or two
/// kilobytes.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Source of the settings.
pub trait SettingsSource: Send {
    /// Reads and validates the settings.
    ///
    /// # Errors
    ///
    /// Returns a description of what is wrong with the settings, for the log.
    fn read(&self) -> Result<NodeSettings, String>;
}

impl<F> SettingsSource for F
where
    F: Fn() -> Result<NodeSettings, String> + Send,
{
    fn read(&self) -> Result<NodeSettings, String> {
        self()
    }
}

/// Provides the settings in force to the threads.
pub type SettingsFeed = watch::Receiver<Arc<NodeSettings>>;

/// Inputs of the thread.
pub struct ReloadInputs {
    /// Source of the settings.
    pub source: Box<dyn SettingsSource>,
    /// Publishes the settings in force.
    pub settings: watch::Sender<Arc<NodeSettings>>,
    /// Stop signal of the process.
    pub stop: StopSignal,
}

/// Reloads settings until the process ends.
pub async fn reload(inputs: ReloadInputs) {
    tokio::select! {
        () = watch_source(&inputs) => {}
        () = inputs.stop.reached(StopPhase::Ended) => {}
    }
}

async fn watch_source(inputs: &ReloadInputs) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            spdlog::error!("failed to install the SIGHUP handler", kv: { error: = error.to_string() });
            return std::future::pending().await;
        }
    };
    let mut last_error = None;
    loop {
        let is_requested = tokio::select! {
            _ = ticks.tick() => false,
            _ = hangup.recv() => true,
        };
        if is_requested {
            spdlog::info!("reload requested by SIGHUP");
        }
        match inputs.source.read() {
            Ok(settings) => {
                last_error = None;
                apply(&inputs.settings, settings);
            }
            Err(reason) if is_requested || last_error.as_ref() != Some(&reason) => {
                spdlog::error!("rejected invalid settings, keeping the current ones", kv: { reason: });
                last_error = Some(reason);
            }
            Err(_) => {}
        }
    }
}

fn apply(feed: &watch::Sender<Arc<NodeSettings>>, settings: NodeSettings) {
    let known = Arc::clone(&feed.borrow());
    if *known == settings {
        return;
    }
    let is_listener_changed = known.callers != settings.callers
        || known.readiness != settings.readiness
        || known.metrics != settings.metrics
        || known.inner_address() != settings.inner_address();
    if is_listener_changed {
        spdlog::warn!("a listen address has changed; restart the process to apply it");
    }
    spdlog::info!("settings reloaded");
    feed.send_replace(Arc::new(settings));
}
