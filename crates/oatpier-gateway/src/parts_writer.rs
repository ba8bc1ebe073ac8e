//! The duty that claims and renews parts of limits in the store.

use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{RingReceiver, RingSender, StopPhase, StopSignal};
use oatpier_platform::store::StoreClient;
use oatpier_serving::quota::tenure::{ClaimOutcome, PartClaim};
use oatpier_types::clock::ClockTime;
use oatpier_types::errors::error_chain;

use crate::metrics::ServingMetrics;
use crate::reload::SettingsFeed;

/// How long a claim may take. One that comes back later counts from when it was sent all the same.
const CLAIM_WAIT: Duration = Duration::from_millis(800);

/// A claim that is to be written.
#[derive(Debug, Clone)]
pub struct DueClaim {
    /// The claim.
    pub claim: PartClaim,
    /// When it was decided, which is before it is sent: what is held by it is counted from here.
    pub sent_at: ClockTime,
}

/// What came of a claim.
#[derive(Debug, Clone)]
pub struct ClaimResult {
    /// The claim.
    pub due: DueClaim,
    /// What came of it.
    pub outcome: ClaimOutcome,
}

/// What the duty works on.
pub struct PartsWriterInputs {
    /// Where the store is.
    pub settings: SettingsFeed,
    /// What is to be written.
    pub claims: RingReceiver<DueClaim>,
    /// Where results go.
    pub results: RingSender<ClaimResult>,
    /// Counts writes.
    pub metrics: ServingMetrics,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Writes until the process ends.
pub async fn write_parts(inputs: PartsWriterInputs) {
    let stop = inputs.stop.clone();
    tokio::select! {
        () = write_for_ever(inputs) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

async fn write_for_ever(inputs: PartsWriterInputs) {
    let mut settings = Arc::clone(&inputs.settings.borrow());
    let mut client = StoreClient::new(settings.store);
    while let Some(due) = inputs.claims.receive().await {
        let present = Arc::clone(&inputs.settings.borrow());
        if present != settings {
            client = StoreClient::new(present.store);
            settings = present;
        }
        let outcome = match client.claim(&due.claim, CLAIM_WAIT).await {
            Ok(outcome) => {
                inputs.metrics.store_written("answered");
                outcome
            }
            Err(error) => {
                inputs.metrics.store_written("failed");
                let part = due.claim.record.part.to_string();
                let reason = error_chain(&error);
                spdlog::warn!("a part of the limits was not claimed", kv: { part, reason });
                ClaimOutcome::Failed
            }
        };
        inputs.results.send(ClaimResult { due, outcome }).await;
    }
}
