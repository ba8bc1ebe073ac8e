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
use oatpier_membership::stops::{STOP_PREFIX, StopRequest};
use oatpier_ports::store::{KeyChange, StoreError, StoredValue};
use oatpier_types::config::FleetConfig;
use oatpier_types::config::record::{CONFIG_KEY, ConfigRecord};
use oatpier_types::ids::Revision;
use oatpier_types::names::DaemonName;

use crate::store::StoreClient;
use oatpier_duty::duty::{RingReceiver, RingSender, StopPhase, StopSignal};

/// A request of the peers duty for a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRequest {
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
pub enum StoreUpdate {
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
    pub client: Arc<StoreClient>,
    /// Requested calls. At most one request is queued besides the one in progress.
    pub requests: RingReceiver<StoreRequest>,
    /// Channel for the results.
    pub updates: RingSender<StoreUpdate>,
    /// Signals the process to stop.
    pub stop: StopSignal,
}

/// Result of a call.
enum StoreResult {
    Config(StoreReply<FleetConfig>),
    Stops(Result<Vec<StoredValue>, StoreError>),
    StopChanges(Result<Vec<KeyChange>, StoreError>),
}

/// Makes store calls until the process ends.
pub async fn run_configuration(inputs: ConfigurationInputs) {
    let stop = inputs.stop.clone();
    let mut caller = StoreCaller {
        client: inputs.client,
        updates: inputs.updates,
        calls: FuturesUnordered::new(),
        stops_seen: Revision(0),
        is_watching_stops: false,
    };
    tokio::select! {
        () = caller.run(&inputs.requests) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

struct StoreCaller {
    client: Arc<StoreClient>,
    updates: RingSender<StoreUpdate>,
    calls: FuturesUnordered<BoxFuture<'static, StoreResult>>,
    stops_seen: Revision,
    is_watching_stops: bool,
}

impl StoreCaller {
    async fn run(&mut self, requests: &RingReceiver<StoreRequest>) {
        loop {
            tokio::select! {
                request = requests.receive() => match request {
                    Some(request) => self.handle_request(request),
                    None => return,
                },
                Some(result) = self.calls.next() => self.handle_result(result).await,
            }
        }
    }

    fn handle_request(&mut self, request: StoreRequest) {
        let client = Arc::clone(&self.client);
        match request {
            StoreRequest::Read => {
                let config = async move { StoreResult::Config(read_config(&client).await) };
                self.calls.push(config.boxed());
                let client = Arc::clone(&self.client);
                let stops = async move {
                    StoreResult::Stops(client.list(CallKind::ConfigWatch, STOP_PREFIX).await)
                };
                self.calls.push(stops.boxed());
            }
            StoreRequest::Watch { after, wait } => {
                let config =
                    async move { StoreResult::Config(watch_config(&client, after, wait).await) };
                self.calls.push(config.boxed());
                self.watch_stops(wait);
            }
        }
    }

    /// Starts a watch of the planned stops alongside the watch of the configuration, unless one is
    /// in progress.
    fn watch_stops(&mut self, wait: Duration) {
        if self.is_watching_stops {
            return;
        }
        self.is_watching_stops = true;
        let client = Arc::clone(&self.client);
        let after = self.stops_seen;
        let watch = async move {
            let kind = CallKind::ConfigWatch;
            StoreResult::StopChanges(client.watch(kind, STOP_PREFIX, after, wait).await)
        };
        self.calls.push(watch.boxed());
    }

    async fn handle_result(&mut self, result: StoreResult) {
        match result {
            StoreResult::Config(reply) => self.updates.send(StoreUpdate::Config(reply)).await,
            StoreResult::Stops(Ok(stored)) => {
                let stops: Vec<NamedStop> = stored
                    .iter()
                    .filter_map(|value| named_stop(&value.key, value.revision, false))
                    .collect();
                let latest = stops.iter().map(|stop| stop.request.revision).max();
                self.stops_seen = self.stops_seen.max(latest.unwrap_or_default());
                self.updates.send(StoreUpdate::Stops(stops)).await;
            }
            StoreResult::StopChanges(changes) => {
                self.is_watching_stops = false;
                self.apply_stop_changes(changes.unwrap_or_default()).await;
            }
            // The next read or watch delivers the changes that this one missed.
            StoreResult::Stops(Err(_)) => {}
        }
    }

    async fn apply_stop_changes(&mut self, changes: Vec<KeyChange>) {
        for change in changes {
            self.stops_seen = self.stops_seen.max(change.revision);
            let withdrawn = change.value.is_none();
            if let Some(stop) = named_stop(&change.key, change.revision, withdrawn) {
                self.updates.send(StoreUpdate::Stop(stop)).await;
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

async fn read_config(client: &StoreClient) -> StoreReply<FleetConfig> {
    match client.get(CallKind::ConfigWatch, CONFIG_KEY).await {
        Ok(Some(stored)) => decode_config(stored.revision, &stored.value),
        Ok(None) => StoreReply::Unchanged,
        Err(error) => read_failure(&error),
    }
}

async fn watch_config(
    client: &StoreClient,
    after: Revision,
    wait: Duration,
) -> StoreReply<FleetConfig> {
    let watched = client.watch(CallKind::ConfigWatch, CONFIG_KEY, after, wait);
    let changes = match watched.await {
        Ok(changes) => changes,
        Err(error) => return read_failure(&error),
    };
    let last = changes.into_iter().rev();
    let mut last = last.filter(|change| change.key == CONFIG_KEY);
    match last.next() {
        Some(KeyChange {
            value: Some(value),
            revision,
            ..
        }) => decode_config(revision, &value),
        // A deleted configuration stays active: a deletion does not name a replacement.
        Some(_) | None => StoreReply::Unchanged,
    }
}

fn decode_config(revision: Revision, value: &[u8]) -> StoreReply<FleetConfig> {
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

fn read_failure(error: &StoreError) -> StoreReply<FleetConfig> {
    spdlog::warn!("failed to read the configuration: {error}");
    StoreReply::Failed
}
