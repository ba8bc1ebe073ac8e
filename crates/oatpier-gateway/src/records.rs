//! The records duty: reads configuration and registry from the store, over and over, unless another gateway
//! of the same zone has just seen that nothing changed; see [`oatpier_serving::reads`].
//!
//! One call reads both. There is no watch: one would return at each heartbeat of each endpoint, and
//! one that fell silent would leave the gateway with an old configuration.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oatpier_duty::duty::{RingReceiver, RingSender, RuntimeClock, StopPhase, StopSignal};
use oatpier_platform::config;
use oatpier_platform::store::{StoreClient, StoreSnapshot, UnreadableEntry};
use oatpier_serving::crashes::CrashRecord;
use oatpier_serving::directory::EndpointRecord;
use oatpier_serving::node::NodeSettings;
use oatpier_serving::quota::tenure::{PartEntry, StoreEra};
use oatpier_serving::reads::{
    OwnEntries, ReadSchedule, StoreView, StoreWord, WordOutcome, config_mark,
};
use oatpier_serving::site::SiteConfig;
use oatpier_types::errors::error_chain;
use tokio::time::sleep_until;

use crate::metrics::ServingMetrics;
use crate::reload::SettingsFeed;

/// The share of the shorter of the two bounds (configuration, draining) between two reads. A
/// change is then seen within half of its bound, and once more if one read fails.
const READ_SHARE: f64 = 0.45;

/// The share of the time between reads that one read may take.
const WAIT_SHARE: f64 = 0.8;

/// After a failed read the next one comes this much sooner, so that a gateway without a
/// configuration gets one soon after the store is back. At most one more call a period.
const FAILED_SHARE: f64 = 0.5;

/// From one read to the next while there is no configuration yet: until then every request is refused.
const COLD_EVERY: Duration = Duration::from_millis(250);

/// How long a read may take while there is no configuration yet, the first time and by how much longer
/// each time after, up to the usual time. A store that was silent answers new calls some milliseconds
/// after its return and old ones never; one that is slow must get its time as well.
const COLD_WAIT: Duration = Duration::from_millis(300);

/// Reads without a configuration after which the wait begins anew.
const COLD_ROUND: u32 = 4;

/// What the store said.
#[derive(Debug)]
pub enum StoreNews {
    /// It was read.
    Read {
        /// The configuration, if it has changed since the last read.
        config: Option<Arc<SiteConfig>>,
        /// All endpoints that are registered.
        endpoints: Vec<EndpointRecord>,
        /// Requests that were at endpoints that ended.
        crashes: Vec<CrashRecord>,
        /// Who holds the parts of limits.
        parts: Vec<PartEntry>,
        /// Which copy of the store was read.
        era: StoreEra,
        /// What others are told of it.
        word: StoreWord,
    },
    /// Another gateway of the zone has read it, and nothing has changed.
    Same,
    /// Another gateway of the zone has read it, and endpoints have changed.
    Told {
        /// All endpoints that are registered.
        endpoints: Vec<EndpointRecord>,
    },
    /// It could not be read.
    Failed,
}

/// What the duty works on.
pub struct RecordsInputs {
    /// Where the store is, and how soon changes must be seen.
    pub settings: SettingsFeed,
    /// Where news goes.
    pub news: RingSender<StoreNews>,
    /// What other gateways saw there.
    pub words: RingReceiver<StoreWord>,
    /// Counts calls.
    pub metrics: ServingMetrics,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Reads the store until the process ends.
pub async fn records(inputs: RecordsInputs) {
    let stop = inputs.stop.clone();
    tokio::select! {
        () = read_for_ever(inputs) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

async fn read_for_ever(inputs: RecordsInputs) {
    let mut settings = Arc::clone(&inputs.settings.borrow());
    let mut client = StoreClient::new(settings.store);
    let mut reader = RecordsReader::new(inputs.metrics);
    let clock = RuntimeClock::start();
    let mut schedule = ReadSchedule::new(rand::random());
    loop {
        let due = clock.instant(schedule.next_at());
        let word = tokio::select! {
            () = sleep_until(due) => None,
            word = inputs.words.receive() => word,
        };
        let present = Arc::clone(&inputs.settings.borrow());
        if present != settings {
            client = StoreClient::new(present.store);
            settings = present;
        }
        let period = read_period(&settings);
        let news = match word {
            Some(word) => reader.take_word(&word),
            None => Some(read_once(&client, &mut reader, &mut schedule, period, clock).await),
        };
        let Some(news) = news else {
            continue;
        };
        if matches!(news, StoreNews::Same | StoreNews::Told { .. }) {
            schedule.note_told(period, clock.now());
        }
        inputs.news.send(news).await;
    }
}

async fn read_once(
    client: &StoreClient,
    reader: &mut RecordsReader,
    schedule: &mut ReadSchedule,
    period: Duration,
    clock: RuntimeClock,
) -> StoreNews {
    let begun = clock.now();
    match client.read(reader.wait(period)).await {
        Ok(snapshot) => {
            schedule.note_read(begun, period);
            reader.take(snapshot)
        }
        Err(error) => {
            reader.note_failure(&error);
            schedule.note_failure(begun + reader.pause_after_failure(period));
            StoreNews::Failed
        }
    }
}

/// From one read to the next.
fn read_period(settings: &NodeSettings) -> Duration {
    let bounds = &settings.bounds;
    bounds.config.min(bounds.drain).mul_f64(READ_SHARE)
}

/// Turns snapshots into news, and logs what changes about the store.
struct RecordsReader {
    metrics: ServingMetrics,
    config: Option<Bytes>,
    /// What is known of the store.
    view: Option<StoreView>,
    reachable: Option<bool>,
    /// Reads in a row that failed.
    failures: u32,
    unreadable: UnreadableEntries,
}

/// Entries of the store that can't be read. They are read anew about once a second, and would fill the log.
#[derive(Debug, Default)]
pub struct UnreadableEntries {
    known: Vec<UnreadableEntry>,
}

impl UnreadableEntries {
    /// Takes what the last read found; gives back those that have appeared or changed.
    pub fn renew(&mut self, found: Vec<UnreadableEntry>) -> Vec<UnreadableEntry> {
        let is_new = |entry: &&UnreadableEntry| !self.known.contains(entry);
        let fresh = found.iter().filter(is_new).cloned().collect();
        self.known = found;
        fresh
    }
}

impl RecordsReader {
    fn new(metrics: ServingMetrics) -> Self {
        Self {
            metrics,
            config: None,
            view: None,
            reachable: None,
            failures: 0,
            unreadable: UnreadableEntries::default(),
        }
    }

    /// Whether no configuration was read yet.
    fn is_cold(&self) -> bool {
        self.config.is_none()
    }

    /// How long the next read may take.
    fn wait(&self, period: Duration) -> Duration {
        let usual = period.mul_f64(WAIT_SHARE);
        if self.is_cold() {
            usual.min(COLD_WAIT * (1 + self.failures % COLD_ROUND))
        } else {
            usual
        }
    }

    /// From the beginning of a read that failed to the next one.
    fn pause_after_failure(&self, period: Duration) -> Duration {
        if self.is_cold() {
            COLD_EVERY
        } else {
            period.mul_f64(FAILED_SHARE)
        }
    }

    fn take(&mut self, snapshot: StoreSnapshot) -> StoreNews {
        self.metrics.store_read("answered");
        if self.reachable != Some(true) {
            let (endpoints, crashes) = (snapshot.endpoints.len(), snapshot.crashes.len());
            spdlog::info!("the store is read", kv: { endpoints:, crashes: });
        }
        self.reachable = Some(true);
        self.failures = 0;
        for entry in self.unreadable.renew(snapshot.unreadable) {
            let (key, reason) = (entry.key.as_str(), entry.reason.as_str());
            spdlog::warn!("an entry of the store can't be used", kv: { key:, reason: });
        }
        let own = OwnEntries {
            crashes: &snapshot.crashes,
            parts: &snapshot.parts,
            era: snapshot.era,
        };
        let mark = snapshot.config.as_deref().map_or(0, config_mark);
        let view = StoreView::new(mark, snapshot.endpoints).with_own(&own);
        let word = view.word_since(self.view.as_ref());
        let endpoints = view.endpoints().to_vec();
        self.view = Some(view);
        StoreNews::Read {
            config: snapshot.config.and_then(|value| self.changed(value)),
            endpoints,
            crashes: snapshot.crashes,
            parts: snapshot.parts,
            era: snapshot.era,
            word,
        }
    }

    /// Takes what another gateway saw; none if that says nothing here.
    fn take_word(&mut self, word: &StoreWord) -> Option<StoreNews> {
        let view = self.view.as_mut()?;
        match view.take_word(word) {
            WordOutcome::Same => Some(StoreNews::Same),
            WordOutcome::Patched => Some(StoreNews::Told {
                endpoints: view.endpoints().to_vec(),
            }),
            WordOutcome::Unknown => None,
        }
    }

    /// A configuration that can't be used is refused, and the one in force stays.
    fn changed(&mut self, value: Bytes) -> Option<Arc<SiteConfig>> {
        if self.config.as_ref() == Some(&value) {
            return None;
        }
        let decoded = config::decode(&value);
        self.config = Some(value);
        match decoded {
            Ok(config) => Some(Arc::new(config)),
            Err(error) => {
                spdlog::error!("the configuration was refused", kv: { reason: = error_chain(&error) });
                None
            }
        }
    }

    fn note_failure(&mut self, error: &dyn std::error::Error) {
        self.metrics.store_read("failed");
        if self.reachable != Some(false) {
            spdlog::warn!("the store can't be read", kv: { reason: = error_chain(error) });
        }
        self.reachable = Some(false);
        self.failures = self.failures.wrapping_add(1);
    }
}
