//! The configuration duty: the store's side of the configuration and of planned stops.
//!
//! When to read and whether to watch is decided by [`oatpier_membership`], in the peers duty;
//! this duty makes the calls, so that a slow store holds up nobody else.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use oatpier_membership::budget::CallKind;
use oatpier_membership::messages::NamedStop;
use oatpier_membership::spread::{StoreReply, StoredConfig};
use oatpier_membership::stops::{STOP_PREFIX, StopRequest};
use oatpier_ports::store::{KeyChange, StoreError, StoredValue};
use oatpier_types::config::FleetConfig;
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord};
use oatpier_types::ids::Revision;
use oatpier_types::names::DaemonName;

use crate::store::StoreGate;
use oatpier_duty::duty::{RingReceiver, RingSender, StopPhase, StopSignal};

/// What the peers duty wants of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreOrder {
    /// Read the configuration and the planned stops.
    Read,
    /// Wait for a change of them.
    Watch {
        /// The configuration's revision that is known.
        after: Revision,
        /// How long to wait.
        wait: Duration,
    },
}

/// What the store said.
#[derive(Debug, Clone)]
pub enum StoreNews {
    /// The read or the watch of the configuration ended.
    Config(StoreReply<FleetConfig>),
    /// The whole list of planned stops.
    Stops(Vec<NamedStop>),
    /// One planned stop was asked for or withdrawn.
    Stop(NamedStop),
}

/// What the configuration duty works on.
pub struct ConfigurationInputs {
    /// The way to the store.
    pub gate: Arc<StoreGate>,
    /// What is wanted. One order is open at a time, besides the one that is carried out.
    pub orders: RingReceiver<StoreOrder>,
    /// Where news go.
    pub news: RingSender<StoreNews>,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// How a call ended.
enum CallEnd {
    Config(StoreReply<FleetConfig>),
    Stops(Result<Vec<StoredValue>, StoreError>),
    StopChanges(Result<Vec<KeyChange>, StoreError>),
}

/// Makes the calls until the process ends.
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

    /// One watch of the planned stops goes along with that of the configuration.
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
                let latest = stops.iter().map(|stop| stop.request.revision).max();
                self.stops_seen = self.stops_seen.max(latest.unwrap_or_default());
                self.news.send(StoreNews::Stops(stops)).await;
            }
            CallEnd::StopChanges(changes) => {
                self.watches_stops = false;
                self.take_stop_changes(changes.unwrap_or_default()).await;
            }
            // The next read or watch says what this one did not.
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
        request: StopRequest {
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
        // A removed configuration stays in force: nobody asked for another.
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
            spdlog::error!("the stored configuration can't be understood: {error}");
            StoreReply::Failed
        }
    }
}

fn failed(error: &StoreError) -> StoreReply<FleetConfig> {
    spdlog::warn!("the configuration can't be read: {error}");
    StoreReply::Failed
}
