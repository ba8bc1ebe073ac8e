//! What the agent reads from the store while no entry tells it of plan and configuration.
//!
//! Thousands of agents that all read the store would use up its rate, so an agent turns to it
//! only after a silence of all entries, spread at random, and less often the longer that lasts.

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

/// The longest wait of a started agent for an entry, before it reads the store.
const START_WAIT: Duration = Duration::from_secs(2);
/// The longest silence of all entries, before an agent reads the store.
const SILENCE: Duration = Duration::from_secs(10);
/// The first wait between two reads.
const AGAIN_FIRST: Duration = Duration::from_secs(5);
/// The longest: 3,500 agents then make some 300 reads a second.
const AGAIN_LONGEST: Duration = Duration::from_secs(15);

/// What the store had.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreView {
    /// The configuration.
    pub config: Option<Arc<ConfigRecord>>,
    /// The endpoint's row of the plan.
    pub row: Option<PlanRow>,
}

/// When to read the store.
#[derive(Debug, Clone)]
pub struct FallbackTimer {
    next: ClockTime,
    backoff: RetryBackoff,
    reading: bool,
}

impl FallbackTimer {
    /// The timer of an agent that starts now.
    pub fn new(generator: &mut ChaCha8Rng, now: ClockTime) -> Self {
        Self {
            next: now + jittered(START_WAIT, generator),
            backoff: RetryBackoff::new(AGAIN_FIRST, AGAIN_LONGEST),
            reading: false,
        }
    }

    /// When the next read is due.
    #[must_use]
    pub fn next_wake(&self) -> ClockTime {
        if self.reading {
            return ClockTime::NEVER;
        }
        self.next
    }

    /// Whether to read now; the read is then under way.
    pub fn begin(&mut self, now: ClockTime) -> bool {
        let due = !self.reading && now >= self.next;
        self.reading |= due;
        due
    }

    /// The read has ended.
    pub fn ended(&mut self, generator: &mut ChaCha8Rng, now: ClockTime) {
        self.reading = false;
        self.next = self.backoff.record_failure(now, generator);
    }

    /// An entry answered.
    pub fn heard(&mut self, generator: &mut ChaCha8Rng, now: ClockTime) {
        self.backoff.record_success();
        self.next = now + jittered(SILENCE, generator);
    }
}

/// Reads configuration and plan. What can't be read is left out.
pub async fn read_store(
    store: Arc<dyn KeyStore>,
    zone: ZoneName,
    endpoint: EndpointName,
) -> StoreView {
    let config: Option<ConfigRecord> = read(store.as_ref(), CONFIG_KEY).await;
    let plan: Option<PlacementPlan> = read(store.as_ref(), &plan_key(&zone)).await;
    StoreView {
        config: config.map(Arc::new),
        row: plan.and_then(|plan| row_of(plan, &endpoint)),
    }
}

async fn read<T: DeserializeOwned>(store: &dyn KeyStore, key: &str) -> Option<T> {
    match store.get(key).await {
        Ok(found) => {
            let found = found?;
            let read = serde_json::from_slice(&found.value);
            read.inspect_err(|error| spdlog::error!("the value of {key} can't be read: {error}"))
                .ok()
        }
        Err(error) => {
            spdlog::warn!("{key} can't be read: {error}");
            None
        }
    }
}

fn row_of(plan: PlacementPlan, endpoint: &EndpointName) -> Option<PlanRow> {
    let stamp = PlanStamp {
        term: plan.term,
        sequence: plan.sequence,
    };
    let mut rows = plan.endpoints.into_iter();
    let row = rows.find(|row| row.endpoint == *endpoint)?;
    Some(PlanRow { stamp, row })
}
