//! The configuration duty: follows the operators' configuration.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use oatpier_platform::store::KeyStore;

use crate::news::EntryNews;
use oatpier_duty::duty::{RingSender, StopPhase, StopSignal};
use oatpier_duty::follow::follow_config;

/// What the configuration duty works on.
pub struct ConfigurationInputs {
    /// The platform's key-value service.
    pub store: Arc<dyn KeyStore>,
    /// Where news go.
    pub news: RingSender<EntryNews>,
    /// Set once a configuration is known.
    pub able: Arc<AtomicBool>,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Follows the configuration until the process ends.
pub async fn configuration(inputs: ConfigurationInputs) {
    let (news, able) = (&inputs.news, &inputs.able);
    let following = follow_config(inputs.store.as_ref(), async |generation, config| {
        news.send(EntryNews::Config { generation, config }).await;
        able.store(true, Ordering::Relaxed);
    });
    tokio::select! {
        () = following => {}
        () = inputs.stop.reached(StopPhase::Ended) => {}
    }
}
