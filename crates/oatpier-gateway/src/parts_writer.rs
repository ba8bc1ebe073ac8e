//! Claims and renews parts of workspaces' limits in the store.

use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{RingReceiver, RingSender, StopPhase, StopSignal};
use oatpier_platform::store::StoreClient;
use oatpier_serving::quota::lease::{ClaimOutcome, PartClaim};
use oatpier_types::clock::ClockTime;
use oatpier_types::errors::error_chain;

use crate::metrics::ServingMetrics;
use crate::reload::SettingsFeed;

/// Timeout of a claim. A claim that succeeds later still counts from the time at which it was sent.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(800);

/// A claim to be written.
#[derive(Debug, Clone)]
pub struct DueClaim {
    /// The claim.
    pub claim: PartClaim,
    /// When the claim was decided, which is before it is sent. The lease that it grants starts here.
    pub sent_at: ClockTime,
}

/// The result of a claim.
#[derive(Debug, Clone)]
pub struct ClaimResult {
    /// The claim.
    pub due: DueClaim,
    /// The claim's outcome.
    pub outcome: ClaimOutcome,
}

/// Inputs of the thread.
pub struct PartsWriterInputs {
    /// The store's address.
    pub settings: SettingsFeed,
    /// Claims to write.
    pub claims: RingReceiver<DueClaim>,
    /// Receives the results.
    pub results: RingSender<ClaimResult>,
    /// Counts writes.
    pub metrics: ServingMetrics,
    /// Stop signal of the process.
    pub stop: StopSignal,
}

/// Writes claims until the process ends.
pub async fn write_parts(inputs: PartsWriterInputs) {
    let stop = inputs.stop.clone();
    tokio::select! {
        () = write_in_loop(inputs) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

async fn write_in_loop(inputs: PartsWriterInputs) {
    let mut settings = Arc::clone(&inputs.settings.borrow());
    let mut client = StoreClient::new(settings.store);
    while let Some(due) = inputs.claims.receive().await {
        let current = Arc::clone(&inputs.settings.borrow());
        if current != settings {
            client = StoreClient::new(current.store);
            settings = current;
        }
        let outcome = match client.claim(&due.claim, CLAIM_TIMEOUT).await {
            Ok(outcome) => {
                inputs.metrics.count_store_write("answered");
                outcome
            }
            Err(error) => {
                inputs.metrics.count_store_write("failed");
                let part = due.claim.record.part.to_string();
                let reason = error_chain(&error);
                spdlog::warn!("failed to claim a part of the limits", kv: { part, reason });
                ClaimOutcome::Failed
            }
        };
        inputs.results.send(ClaimResult { due, outcome }).await;
    }
}
