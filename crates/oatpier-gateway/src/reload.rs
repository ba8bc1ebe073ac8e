//! The reload duty: takes changes of the settings file over, after SIGHUP or without it.
//!
//! Bounds and the store's address are taken over at once. Addresses that the process listens on are
//! read at the start only; a change of them is logged and takes effect with the next start. A file
//! that can't be used is refused, and the settings in force stay.

use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{StopPhase, StopSignal};
use oatpier_serving::node::NodeSettings;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// The settings file is looked at this often, since it may change without a signal. It has one or two
/// kilobytes.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Where settings come from.
pub trait SettingsSource: Send {
    /// Reads and checks them.
    ///
    /// # Errors
    ///
    /// What is wrong with them, as a line for the log.
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

/// The settings in force, as the duties see them.
pub type SettingsFeed = watch::Receiver<Arc<NodeSettings>>;

/// What the duty works on.
pub struct ReloadInputs {
    /// Where settings come from.
    pub source: Box<dyn SettingsSource>,
    /// The settings in force.
    pub settings: watch::Sender<Arc<NodeSettings>>,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Takes changes over until the process ends.
pub async fn reload(inputs: ReloadInputs) {
    tokio::select! {
        () = look_for_ever(&inputs) => {}
        () = inputs.stop.reached(StopPhase::Ended) => {}
    }
}

async fn look_for_ever(inputs: &ReloadInputs) {
    let mut ticks = interval(LOOK_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            spdlog::error!("the system takes no handler", kv: { error: = error.to_string() });
            return std::future::pending().await;
        }
    };
    let mut refused = None;
    loop {
        let asked = tokio::select! {
            _ = ticks.tick() => false,
            _ = hangup.recv() => true,
        };
        if asked {
            spdlog::info!("reload asked for");
        }
        match inputs.source.read() {
            Ok(settings) => {
                refused = None;
                take(&inputs.settings, settings);
            }
            Err(reason) if asked || refused.as_ref() != Some(&reason) => {
                spdlog::error!("the settings were refused, the old ones stay", kv: { reason: });
                refused = Some(reason);
            }
            Err(_) => {}
        }
    }
}

fn take(feed: &watch::Sender<Arc<NodeSettings>>, settings: NodeSettings) {
    let known = Arc::clone(&feed.borrow());
    if *known == settings {
        return;
    }
    let moved = known.callers != settings.callers
        || known.readiness != settings.readiness
        || known.metrics != settings.metrics
        || known.inner_address() != settings.inner_address();
    if moved {
        spdlog::warn!("an address to listen on has changed; it takes effect with the next start");
    }
    spdlog::info!("settings reloaded");
    feed.send_replace(Arc::new(settings));
}
