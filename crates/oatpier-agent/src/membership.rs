//! The membership duty: the configuration in force, and word to the entries.

use std::sync::Arc;

use oatpier_platform::store::KeyStore;

use crate::news::AgentNews;
use oatpier_duty::duty::{RingSender, StopPhase, StopSignal};
use oatpier_duty::follow::follow_config;

/// What the membership duty works on.
pub struct MembershipInputs {
    /// The platform's key-value service.
    pub store: Arc<dyn KeyStore>,
    /// Where news go.
    pub news: RingSender<AgentNews>,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Follows the configuration until the process ends.
pub async fn membership(inputs: MembershipInputs) {
    let news = &inputs.news;
    let following = follow_config(inputs.store.as_ref(), async |generation, config| {
        news.send(AgentNews::Config { generation, config }).await;
    });
    tokio::select! {
        () = following => {}
        () = inputs.stop.reached(StopPhase::Ended) => {}
    }
}
