//! Reads the plan and the configuration from the store while no entry answers.
//!
//! If thousands of agents read the store at once, they would exceed its rate limit. An agent
//! therefore reads it only after no entry has answered for some time, with random jitter, and
//! less often the longer this lasts.

use std::sync::Arc;
use std::time::Duration;

use oatpier_membership::backoff::{RetryBackoff, jittered};
use oatpier_ports::store::KeyStore;
use oatpier_types::clock::ClockTime;
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord};
use oatpier_types::names::{EndpointName, ZoneName};
use oatpier_types::plan::PlacementPlan;
use rand_chacha::ChaCha8Rng;
use serde::de::DeserializeOwned;

use oatpier_duty::messages::plan_key;
use oatpier_duty::placement::{PlanRow, PlanStamp};

/// Maximum time that a starting agent waits for an entry before it reads the store.
const MAX_START_WAIT: Duration = Duration::from_secs(2);
/// Maximum time without an answer of any entry before an agent reads the store.
const MAX_ENTRY_SILENCE: Duration = Duration::from_secs(10);
/// Initial wait between two reads of the store.
const INITIAL_READ_WAIT: Duration = Duration::from_secs(5);
/// Maximum wait between two reads of the store. With it, 3,500 agents make about 300 reads a second.
const MAX_READ_WAIT: Duration = Duration::from_secs(15);

/// Configuration and plan as read from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreView {
    /// The configuration, if it could be read.
    pub config: Option<Arc<ConfigRecord>>,
    /// The endpoint's row of the plan, if there is one.
    pub row: Option<PlanRow>,
}

/// Schedule of the reads of the store.
#[derive(Debug, Clone)]
pub struct FallbackTimer {
    next: ClockTime,
    backoff: RetryBackoff,
    is_reading: bool,
}

impl FallbackTimer {
    /// Creates the timer of an agent that starts now.
    pub fn new(generator: &mut ChaCha8Rng, now: ClockTime) -> Self {
        Self {
            next: now + jittered(MAX_START_WAIT, generator),
            backoff: RetryBackoff::new(INITIAL_READ_WAIT, MAX_READ_WAIT),
            is_reading: false,
        }
    }

    /// Returns when the next read is due.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        if self.is_reading {
            return ClockTime::NEVER;
        }
        self.next
    }

    /// Returns whether a read is due now, and if so marks it as started.
    pub fn begin(&mut self, now: ClockTime) -> bool {
        let due = !self.is_reading && now >= self.next;
        self.is_reading |= due;
        due
    }

    /// Records that the read ended, and schedules the next one.
    pub fn ended(&mut self, generator: &mut ChaCha8Rng, now: ClockTime) {
        self.is_reading = false;
        self.next = self.backoff.record_failure(now, generator);
    }

    /// Records that an entry answered, and postpones the next read.
    pub fn entry_answered(&mut self, generator: &mut ChaCha8Rng, now: ClockTime) {
        self.backoff.record_success();
        self.next = now + jittered(MAX_ENTRY_SILENCE, generator);
    }
}

/// Reads the configuration and the plan. A value that can't be read is `None`.
pub async fn read_store(
    store: Arc<dyn KeyStore>,
    zone: ZoneName,
    endpoint: EndpointName,
) -> StoreView {
    let config: Option<ConfigRecord> = read(store.as_ref(), CONFIG_KEY).await;
    let plan: Option<PlacementPlan> = read(store.as_ref(), &plan_key(&zone)).await;
    StoreView {
        config: config.map(Arc::new),
        row: plan.and_then(|plan| find_row(plan, &endpoint)),
    }
}

async fn read<T: DeserializeOwned>(store: &dyn KeyStore, key: &str) -> Option<T> {
    match store.get(key).await {
        Ok(found) => {
            let found = found?;
            let read = serde_json::from_slice(&found.value);
            read.inspect_err(|error| spdlog::error!("failed to decode stored {key}: {error}"))
                .ok()
        }
        Err(error) => {
            spdlog::warn!("failed to read {key} from the store: {error}");
            None
        }
    }
}

fn find_row(plan: PlacementPlan, endpoint: &EndpointName) -> Option<PlanRow> {
    let stamp = PlanStamp {
        term: plan.term,
        sequence: plan.sequence,
    };
    let mut rows = plan.endpoints.into_iter();
    let row = rows.find(|row| row.endpoint == *endpoint)?;
    Some(PlanRow { stamp, row })
}
