//! The duty that writes to the store which requests were at endpoints that ended.
//!
//! Writes are repeated until the store has taken them. They have no condition, so one that was carried out without
//! an answer may be repeated.

use std::sync::Arc;
use std::time::Duration;

use oatpier_duty::duty::{RingReceiver, StopPhase, StopSignal};
use oatpier_platform::store::{CrashChanges, MOST_CHANGES, StoreClient, WriteError};
use oatpier_serving::crashes::changes::{ChangeQueue, CrashChange};
use oatpier_types::errors::error_chain;
use tokio::time::sleep;

use crate::metrics::ServingMetrics;
use crate::reload::SettingsFeed;

/// How long a write may take. A store under load still answers within some hundred milliseconds; a silent one
/// answers new calls as soon as it is back, and old ones never.
const WRITE_WAIT: Duration = Duration::from_millis(500);

/// From a write that failed to the next one, the first time; each further one waits twice as long.
const RETRY_FIRST: Duration = Duration::from_millis(200);

/// The longest pause. All gateways must know of a crash soon after the store is back.
const RETRY_LONGEST: Duration = Duration::from_millis(800);

/// What the duty works on.
pub struct CrashWriterInputs {
    /// Where the store is.
    pub settings: SettingsFeed,
    /// What is to be written.
    pub changes: RingReceiver<CrashChange>,
    /// Counts writes.
    pub metrics: ServingMetrics,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Writes until the process ends.
pub async fn write_crashes(inputs: CrashWriterInputs) {
    let stop = inputs.stop.clone();
    tokio::select! {
        () = write_for_ever(inputs) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

async fn write_for_ever(inputs: CrashWriterInputs) {
    let mut writer = CrashWriter {
        queue: ChangeQueue::default(),
        metrics: inputs.metrics,
        pause: RETRY_FIRST,
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
        while let Some(change) = inputs.changes.poll() {
            writer.push(change);
        }
        let present = Arc::clone(&inputs.settings.borrow());
        if present != settings {
            client = StoreClient::new(present.store);
            settings = present;
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
            let fingerprint = dropped.record().fingerprint.to_string();
            spdlog::warn!("a crash was not written: too many wait for the store", kv: { fingerprint });
        }
    }

    /// Writes the next changes; false if the store did not take them.
    async fn write(&mut self, client: &StoreClient) -> bool {
        let batch = self.queue.batch(MOST_CHANGES);
        match client.change(&changes_of(&batch), WRITE_WAIT).await {
            Ok(()) => self.metrics.store_written("answered"),
            Err(error) if error.is_final() => {
                let reason = error_chain(&error);
                spdlog::error!("a crash can't be written", kv: { reason });
                self.metrics.store_written("left-out");
            }
            Err(error) => {
                self.note_failure(&error);
                return false;
            }
        }
        self.queue.settle(&batch);
        self.pause = RETRY_FIRST;
        true
    }

    fn note_failure(&self, error: &WriteError) {
        self.metrics.store_written("failed");
        if self.pause == RETRY_FIRST {
            let reason = error_chain(error);
            spdlog::warn!("a crash is not written yet", kv: { reason });
        }
    }

    fn next_pause(&mut self) -> Duration {
        let pause = self.pause;
        self.pause = (pause * 2).min(RETRY_LONGEST);
        pause
    }
}

fn changes_of(batch: &[CrashChange]) -> CrashChanges {
    let mut changes = CrashChanges::default();
    for change in batch {
        match change {
            CrashChange::Put(record) => changes.put.push(record.clone()),
            CrashChange::Remove(record) => changes.remove.push(record.clone()),
        }
    }
    changes
}
