//! The configuration duty: store calls for the configuration and the planned stops.
//!
//! [`oatpier_membership`] decides in the peers duty when to read and whether to watch. This duty
//! makes the calls, so that a slow store blocks no other duty.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use oatpier_membership::budget::CallKind;
use oatpier_membership::messages::NamedStop;
use oatpier_membership::spread::{StoreReply, StoredConfig};
use oatpier_membership::stops::{STOP_PREFIX, StopWord};
use oatpier_ports::store::{KeyChange, StoreError, StoredValue};
use oatpier_types::config::FleetConfig;
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord};
use oatpier_types::ids::Revision;
use oatpier_types::names::DaemonName;

use crate::store::StoreGate;
use oatpier_duty::duty::{RingReceiver, RingSender, StopPhase, StopSignal};

/// A request of the peers duty for a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreOrder {
    /// Read the configuration and the planned stops.
    Read,
    /// Wait for a change of the configuration or the planned stops.
    Watch {
        /// Known revision of the configuration.
        after: Revision,
        /// Maximum time to wait.
        wait: Duration,
    },
}

/// Result of a store call.
#[derive(Debug, Clone)]
pub enum StoreNews {
    /// Result of a read or watch of the configuration.
    Config(StoreReply<FleetConfig>),
    /// The complete list of planned stops.
    Stops(Vec<NamedStop>),
    /// A planned stop was requested or withdrawn.
    Stop(NamedStop),
}

/// Inputs of the configuration duty.
pub struct ConfigurationInputs {
    /// Access to the store.
    pub gate: Arc<StoreGate>,
    /// Requested calls. At most one request is queued besides the one in progress.
    pub orders: RingReceiver<StoreOrder>,
    /// Channel for the results.
    pub news: RingSender<StoreNews>,
    /// Signals the process to stop.
    pub stop: StopSignal,
}

/// Result of a call.
enum CallEnd {
    Config(StoreReply<FleetConfig>),
    Stops(Result<Vec<StoredValue>, StoreError>),
    StopChanges(Result<Vec<KeyChange>, StoreError>),
}

/// Makes store calls until the process ends.
pub async fn configuration(inputs: ConfigurationInputs) {
    let stop = inputs.stop.clone();
    let mut caller = StoreCaller {
        gate: inputs.gate,
        news: inputs.news,
        calls: FuturesUnordered::new(),
        stops_seen: Revision(0),
        watches_stops: false,
    };
    tokio::select! {
        () = caller.run(&inputs.orders) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

struct StoreCaller {
    gate: Arc<StoreGate>,
    news: RingSender<StoreNews>,
    calls: FuturesUnordered<BoxFuture<'static, CallEnd>>,
    stops_seen: Revision,
    watches_stops: bool,
}

impl StoreCaller {
    async fn run(&mut self, orders: &RingReceiver<StoreOrder>) {
        loop {
            tokio::select! {
                order = orders.receive() => match order {
                    Some(order) => self.order(order),
                    None => return,
                },
                Some(end) = self.calls.next() => self.end(end).await,
            }
        }
    }

    fn order(&mut self, order: StoreOrder) {
        let gate = Arc::clone(&self.gate);
        match order {
            StoreOrder::Read => {
                let config = async move { CallEnd::Config(read_config(&gate).await) };
                self.calls.push(config.boxed());
                let gate = Arc::clone(&self.gate);
                let stops = async move {
                    CallEnd::Stops(gate.list(CallKind::ConfigWatch, STOP_PREFIX).await)
                };
                self.calls.push(stops.boxed());
            }
            StoreOrder::Watch { after, wait } => {
                let config = async move { CallEnd::Config(watch_config(&gate, after, wait).await) };
                self.calls.push(config.boxed());
                self.watch_stops(wait);
            }
        }
    }

    /// Starts a watch of the planned stops alongside the watch of the configuration, unless one is
    /// in progress.
    fn watch_stops(&mut self, wait: Duration) {
        if self.watches_stops {
            return;
        }
        self.watches_stops = true;
        let gate = Arc::clone(&self.gate);
        let after = self.stops_seen;
        let watch = async move {
            let kind = CallKind::ConfigWatch;
            CallEnd::StopChanges(gate.watch(kind, STOP_PREFIX, after, wait).await)
        };
        self.calls.push(watch.boxed());
    }

    async fn end(&mut self, end: CallEnd) {
        match end {
            CallEnd::Config(reply) => self.news.send(StoreNews::Config(reply)).await,
            CallEnd::Stops(Ok(stored)) => {
                let stops: Vec<NamedStop> = stored
                    .iter()
                    .filter_map(|value| named_stop(&value.key, value.revision, false))
                    .collect();
                let latest = stops.iter().map(|stop| stop.word.revision).max();
                self.stops_seen = self.stops_seen.max(latest.unwrap_or_default());
                self.news.send(StoreNews::Stops(stops)).await;
            }
            CallEnd::StopChanges(changes) => {
                self.watches_stops = false;
                self.take_stop_changes(changes.unwrap_or_default()).await;
            }
            // The next read or watch delivers the changes that this one missed.
            CallEnd::Stops(Err(_)) => {}
        }
    }

    async fn take_stop_changes(&mut self, changes: Vec<KeyChange>) {
        for change in changes {
            self.stops_seen = self.stops_seen.max(change.revision);
            let withdrawn = change.value.is_none();
            if let Some(stop) = named_stop(&change.key, change.revision, withdrawn) {
                self.news.send(StoreNews::Stop(stop)).await;
            }
        }
    }
}

fn named_stop(key: &str, revision: Revision, withdrawn: bool) -> Option<NamedStop> {
    let name = key.strip_prefix(STOP_PREFIX)?;
    Some(NamedStop {
        daemon: DaemonName::try_from(name).ok()?,
        word: StopWord {
            revision,
            withdrawn,
        },
    })
}

async fn read_config(gate: &StoreGate) -> StoreReply<FleetConfig> {
    match gate.get(CallKind::ConfigWatch, CONFIG_KEY).await {
        Ok(Some(stored)) => understood(stored.revision, &stored.value),
        Ok(None) => StoreReply::Unchanged,
        Err(error) => failed(&error),
    }
}

async fn watch_config(
    gate: &StoreGate,
    after: Revision,
    wait: Duration,
) -> StoreReply<FleetConfig> {
    let watched = gate.watch(CallKind::ConfigWatch, CONFIG_KEY, after, wait);
    let changes = match watched.await {
        Ok(changes) => changes,
        Err(error) => return failed(&error),
    };
    let last = changes.into_iter().rev();
    let mut last = last.filter(|change| change.key == CONFIG_KEY);
    match last.next() {
        Some(KeyChange {
            value: Some(value),
            revision,
            ..
        }) => understood(revision, &value),
        // A deleted configuration stays active: a deletion does not name a replacement.
        Some(_) | None => StoreReply::Unchanged,
    }
}

fn understood(revision: Revision, value: &[u8]) -> StoreReply<FleetConfig> {
    match ConfigRecord::decode(value) {
        Ok(record) => StoreReply::Value(StoredConfig {
            revision,
            generation: record.generation,
            value: Arc::new(record.content),
        }),
        Err(error) => {
            spdlog::error!("the stored configuration can't be decoded: {error}");
            StoreReply::Failed
        }
    }
}

fn failed(error: &StoreError) -> StoreReply<FleetConfig> {
    spdlog::warn!("failed to read the configuration: {error}");
    StoreReply::Failed
}
