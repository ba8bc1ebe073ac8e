//! Writes to the store which requests and prompt parts were at endpoints when these ended.
//!
//! Writes are repeated until the store accepts them. They are unconditional, so a write that was carried out without
//! an answer can be repeated safely.

use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{RingReceiver, StopPhase, StopSignal};
use oatpier_platform::store::{CrashChanges, MAX_CHANGES, StoreClient, WriteError};
use oatpier_serving::crashes::changes::{ChangeQueue, CrashChange};
use oatpier_types::errors::error_chain;
use tokio::time::sleep;

use crate::metrics::ServingMetrics;
use crate::reload::SettingsFeed;

/// Timeout of a write. A store under load still answers within some hundred milliseconds. One that was unreachable
/// answers new calls as soon as it is back, but never answers old ones.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after the first failed write. It doubles with each further failure.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Maximum pause. All gateways must know of a crash soon after the store is back.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Inputs of the thread.
pub struct CrashWriterInputs {
    /// The store's address.
    pub settings: SettingsFeed,
    /// Crash records to write or remove.
    pub changes: RingReceiver<CrashChange>,
    /// Counts writes.
    pub metrics: ServingMetrics,
    /// Stop signal of the process.
    pub stop: StopSignal,
}

/// Writes crash records until the process ends.
pub async fn write_crashes(inputs: CrashWriterInputs) {
    let stop = inputs.stop.clone();
    tokio::select! {
        () = write_in_loop(inputs) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

async fn write_in_loop(inputs: CrashWriterInputs) {
    let mut writer = CrashWriter {
        queue: ChangeQueue::default(),
        metrics: inputs.metrics,
        pause: FIRST_RETRY_PAUSE,
    };
    let mut settings = Arc::clone(&inputs.settings.borrow());
    let mut client = StoreClient::new(settings.store);
    loop {
        if writer.queue.is_empty() {
            let Some(change) = inputs.changes.receive().await else {
                return;
            };
            writer.push(change);
        }
        while let Some(change) = inputs.changes.try_receive() {
            writer.push(change);
        }
        let current = Arc::clone(&inputs.settings.borrow());
        if current != settings {
            client = StoreClient::new(current.store);
            settings = current;
        }
        if !writer.write(&client).await {
            sleep(writer.next_pause()).await;
        }
    }
}

struct CrashWriter {
    queue: ChangeQueue,
    metrics: ServingMetrics,
    pause: Duration,
}

impl CrashWriter {
    fn push(&mut self, change: CrashChange) {
        if let Some(dropped) = self.queue.push(change) {
            let fingerprint = dropped.subject();
            spdlog::warn!("dropped a crash record: too many are waiting for the store", kv: { fingerprint });
        }
    }

    /// Writes the next changes. Returns false if the store did not accept them and the write must be repeated.
    async fn write(&mut self, client: &StoreClient) -> bool {
        let batch = self.queue.batch(MAX_CHANGES);
        match client.change(&group_changes(&batch), WRITE_TIMEOUT).await {
            Ok(()) => self.metrics.count_store_write("answered"),
            Err(error) if error.is_final() => {
                let reason = error_chain(&error);
                spdlog::error!("failed to write crash records, dropping them", kv: { reason });
                self.metrics.count_store_write("left-out");
            }
            Err(error) => {
                self.note_failure(&error);
                return false;
            }
        }
        self.queue.remove_written(&batch);
        self.pause = FIRST_RETRY_PAUSE;
        true
    }

    fn note_failure(&self, error: &WriteError) {
        self.metrics.count_store_write("failed");
        if self.pause == FIRST_RETRY_PAUSE {
            let reason = error_chain(error);
            spdlog::warn!("failed to write crash records, retrying", kv: { reason });
        }
    }

    fn next_pause(&mut self) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(MAX_RETRY_PAUSE);
        pause
    }
}

fn group_changes(batch: &[CrashChange]) -> CrashChanges {
    let mut changes = CrashChanges::default();
    for change in batch {
        match change {
            CrashChange::Put(record) => changes.put.push(record.clone()),
            CrashChange::Remove(record) => changes.remove.push(record.clone()),
            CrashChange::PutPart(crash) => changes.put_parts.push(crash.clone()),
            CrashChange::RemovePart(crash) => changes.remove_parts.push(crash.clone()),
            // It takes effect when it is queued.
            CrashChange::DropPart(_) => {}
        }
    }
    changes
}
