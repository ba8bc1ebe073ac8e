//! Reads configuration and registry from the store periodically. A read is skipped when another gateway of the same
//! availability zone has just read the store and sent what changed, and other gateways are asked while reads fail; see
//! [`oatpier_serving::reads`].
//!
//! One call reads both. There is no watch on them: it would return at each heartbeat of each endpoint, and a watch that
//! stopped delivering would leave the gateway with an old configuration. Only the first configuration of a new
//! deployment is waited for at the store, because until then a read is of no use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::{BoxFuture, Fuse, FusedFuture};
use oatpier_duty::duty::{RingReceiver, RingSender, RuntimeClock, StopPhase, StopSignal};
use oatpier_platform::config;
use oatpier_platform::store::{ReadError, StoreClient, StoreSnapshot, UnreadableEntry};
use oatpier_serving::node::NodeSettings;
use oatpier_serving::reads::{
    ExcerptFetch, FollowerTimes, InternalContents, NO_CONFIG, ReadPlan, StoreContents, StoreDelta,
    StoreExcerpt, StoreFollower, StoreKnowledge, StorePosition, ZonePlace, config_digest,
};
use oatpier_serving::site::SiteConfig;
use oatpier_types::clock::ClockTime;
use oatpier_types::errors::error_chain;
use oatpier_wire::client::{ClientLimits, HttpClient};
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::metrics::ServingMetrics;
use crate::reload::SettingsFeed;
use crate::share::{ExcerptError, ExcerptRequest, fetch_excerpt};

/// Interval between reads, as a share of the shorter of the two bounds (configuration, draining). A change is then
/// seen within half of its bound, with time for one more read if one fails.
const READ_SHARE: f64 = 0.45;

/// Longest time between two checks of what is due.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Longest wait at the store for the first configuration, in one call.
const CONFIG_WAIT: Duration = Duration::from_secs(5);

/// What a read of the store, by this gateway or another one, has shown.
#[derive(Debug)]
pub struct StoreUpdate {
    /// What was learned.
    pub knowledge: StoreKnowledge,
    /// The configuration, if it has changed since the last read.
    pub config: Option<Arc<SiteConfig>>,
}

/// An event about the store.
#[derive(Debug)]
pub enum StoreEvent {
    /// The store was read, by this gateway or another one.
    Known(Box<StoreUpdate>),
    /// The store could not be read.
    Failed {
        /// The error and its causes.
        reason: String,
    },
}

/// A message about the store and the gateway that sent it.
#[derive(Debug)]
pub struct ReceivedDelta {
    /// The address of the sender.
    pub from: SocketAddr,
    /// What it has read.
    pub delta: StoreDelta,
}

/// The other gateways, as far as the reader needs to know them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePeers {
    /// Addresses of those that may be asked for what they know.
    pub addresses: Arc<[SocketAddr]>,
    /// The place of this gateway among those of its availability zone, once others are known.
    pub place: Option<ZonePlace>,
}

/// Publishes the other gateways.
pub type PeerFeed = watch::Receiver<StorePeers>;

/// Inputs of the thread.
pub struct ReaderInputs {
    /// The store's address, and how soon changes must be seen.
    pub settings: SettingsFeed,
    /// Receives what was learned.
    pub events: RingSender<StoreEvent>,
    /// Messages of other gateways.
    pub deltas: RingReceiver<ReceivedDelta>,
    /// Questions of other gateways.
    pub questions: RingReceiver<ExcerptRequest>,
    /// The other gateways.
    pub peers: PeerFeed,
    /// Counts reads.
    pub metrics: ServingMetrics,
    /// Stop signal of the process.
    pub stop: StopSignal,
}

/// Reads the store until the process ends.
pub async fn read_store(inputs: ReaderInputs) {
    let stop = inputs.stop.clone();
    tokio::select! {
        () = read_in_loop(inputs) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

/// A call to the store that has ended.
struct EndedRead {
    begun: ClockTime,
    result: Result<ReadResult, ReadError>,
}

/// What a call to the store has returned.
enum ReadResult {
    Contents(StoreSnapshot),
    /// The end of a wait for the first configuration.
    ConfigWait {
        is_written: bool,
    },
}

/// A question that has ended.
struct EndedFetch {
    peer: SocketAddr,
    result: Result<StoreExcerpt, ExcerptError>,
}

/// At most one read and one question are in progress. Messages are applied meanwhile.
async fn read_in_loop(inputs: ReaderInputs) {
    let mut settings = Arc::clone(&inputs.settings.borrow());
    let mut client = Arc::new(StoreClient::new(settings.store));
    let peer_client = Arc::new(HttpClient::new(ClientLimits::default()));
    let mut reader = StoreReader::new(inputs.metrics, follower_times(&settings));
    let mut reading: Fuse<BoxFuture<'static, EndedRead>> = Fuse::terminated();
    let mut fetching: Fuse<BoxFuture<'static, EndedFetch>> = Fuse::terminated();
    loop {
        let current = Arc::clone(&inputs.settings.borrow());
        if current != settings {
            client = Arc::new(StoreClient::new(current.store));
            settings = current;
            reader.follower.set_times(follower_times(&settings));
        }
        let now = reader.clock.now();
        if reading.is_terminated() && reader.follower.next_read_at() <= now {
            reading = reader.begin_read(&client);
        }
        let peers = inputs.peers.borrow().clone();
        reader.follower.set_place(peers.place);
        if fetching.is_terminated()
            && let Some(fetch) = reader.begin_fetch(&peers.addresses)
        {
            fetching = ask(&peer_client, fetch);
        }
        let due = reader.next_due(reading.is_terminated(), fetching.is_terminated());
        let due = reader.clock.instant(due);
        let event = tokio::select! {
            ended = &mut reading, if !reading.is_terminated() => reader.finish_read(ended),
            ended = &mut fetching, if !fetching.is_terminated() => reader.finish_fetch(ended),
            Some(received) = inputs.deltas.receive() => reader.apply_delta(&received),
            Some(question) = inputs.questions.receive() => {
                reader.answer(question);
                None
            }
            () = sleep_until(due) => None,
        };
        if let Some(event) = event {
            inputs.events.send(event).await;
        }
    }
}

/// Waits at the store for the first configuration.
fn await_config(
    client: Arc<StoreClient>,
    after: StorePosition,
    timeout: Duration,
    begun: ClockTime,
) -> Fuse<BoxFuture<'static, EndedRead>> {
    let waiting = async move {
        let waited = client.await_config(after, CONFIG_WAIT, timeout).await;
        EndedRead {
            begun,
            result: waited.map(|is_written| ReadResult::ConfigWait { is_written }),
        }
    };
    waiting.boxed().fuse()
}

/// Asks another gateway for what it knows.
fn ask(client: &Arc<HttpClient>, fetch: ExcerptFetch) -> Fuse<BoxFuture<'static, EndedFetch>> {
    let client = Arc::clone(client);
    let asking = async move {
        EndedFetch {
            peer: fetch.peer,
            result: fetch_excerpt(&client, &fetch).await,
        }
    };
    asking.boxed().fuse()
}

/// Wraps what was learned into an event.
fn known(knowledge: Option<StoreKnowledge>, config: Option<Arc<SiteConfig>>) -> Option<StoreEvent> {
    let update = StoreUpdate {
        knowledge: knowledge?,
        config,
    };
    Some(StoreEvent::Known(Box::new(update)))
}

fn follower_times(settings: &NodeSettings) -> FollowerTimes {
    let bounds = &settings.bounds;
    FollowerTimes {
        period: bounds.config.min(bounds.drain).mul_f64(READ_SHARE),
        heartbeat: settings.heartbeat,
    }
}

/// Turns reads and messages into events, and logs changes of the store's state.
struct StoreReader {
    metrics: ServingMetrics,
    clock: RuntimeClock,
    follower: StoreFollower,
    /// The configuration as read last.
    config: Option<Bytes>,
    /// The same, decoded, if it is valid.
    decoded: Option<Arc<SiteConfig>>,
    is_reachable: Option<bool>,
    unreadable: UnreadableEntries,
}

/// Entries of the store that can't be decoded. They are read again about once a second; logging them each time would
/// fill the log.
#[derive(Debug, Default)]
pub struct UnreadableEntries {
    known: Vec<UnreadableEntry>,
}

impl UnreadableEntries {
    /// Replaces the known entries by those of the last read. Returns the entries that are new or have changed.
    pub fn replace(&mut self, found: Vec<UnreadableEntry>) -> Vec<UnreadableEntry> {
        let is_changed = |entry: &&UnreadableEntry| !self.known.contains(entry);
        let fresh = found.iter().filter(is_changed).cloned().collect();
        self.known = found;
        fresh
    }
}

impl StoreReader {
    fn new(metrics: ServingMetrics, times: FollowerTimes) -> Self {
        Self {
            metrics,
            clock: RuntimeClock::start(),
            follower: StoreFollower::new(times, rand::random()),
            config: None,
            decoded: None,
            is_reachable: None,
            unreadable: UnreadableEntries::default(),
        }
    }

    /// Returns when the next read or question is due, of those that are not in progress.
    fn next_due(&self, may_read: bool, may_fetch: bool) -> ClockTime {
        let read_at = may_read.then(|| self.follower.next_read_at());
        let fetch_at = self.follower.next_fetch_at().filter(|_| may_fetch);
        let due = read_at.into_iter().chain(fetch_at).min();
        due.unwrap_or_else(|| self.clock.now() + MAX_SLEEP)
    }

    fn begin_read(&mut self, client: &Arc<StoreClient>) -> Fuse<BoxFuture<'static, EndedRead>> {
        let begun = self.clock.now();
        let client = Arc::clone(client);
        let timeout = self.follower.read_timeout();
        match self.follower.next_plan() {
            ReadPlan::Contents => {
                self.follower.note_read_begun(begun);
                let reading = async move {
                    EndedRead {
                        begun,
                        result: client.read(timeout).await.map(ReadResult::Contents),
                    }
                };
                reading.boxed().fuse()
            }
            ReadPlan::ConfigAfter(after) => await_config(client, after, timeout, begun),
        }
    }

    fn finish_read(&mut self, ended: EndedRead) -> Option<StoreEvent> {
        match ended.result {
            Ok(ReadResult::Contents(snapshot)) => Some(self.apply_snapshot(snapshot, ended.begun)),
            Ok(ReadResult::ConfigWait { is_written }) => {
                self.metrics.count_store_read("awaited");
                self.follower.note_config_wait(is_written, ended.begun);
                None
            }
            Err(error) => Some(self.note_failure(&error, ended.begun)),
        }
    }

    /// Returns the question to another gateway that is due.
    fn begin_fetch(&mut self, peers: &[SocketAddr]) -> Option<ExcerptFetch> {
        let now = self.clock.now();
        let due = self.follower.next_fetch_at()?;
        if due > now {
            return None;
        }
        self.follower.begin_fetch(peers, now)
    }

    fn finish_fetch(&mut self, ended: EndedFetch) -> Option<StoreEvent> {
        let now = self.clock.now();
        match ended.result {
            Ok(excerpt) => {
                let (outcome, knowledge) = self.follower.apply_excerpt(&excerpt, now);
                self.metrics.count_store_fetch(outcome.as_str());
                let config = excerpt.config.filter(|_| !outcome.is_ignored());
                if config.is_some() {
                    // The value itself is not known here, so that the next own read decodes it.
                    self.config = None;
                    self.decoded.clone_from(&config);
                }
                known(knowledge, config)
            }
            Err(error) => {
                let (peer, reason) = (ended.peer, error_chain(&error));
                self.metrics.count_store_fetch("failed");
                spdlog::warn!("failed to ask another gateway for what it knows of the store", kv: { peer:, reason: });
                self.follower.note_fetch_failure(now);
                None
            }
        }
    }

    /// Answers another gateway. One that has left does not need the answer.
    fn answer(&self, question: ExcerptRequest) {
        let excerpt = self.follower.excerpt(&question.query, self.clock.now());
        let excerpt = excerpt.map(|excerpt| {
            let is_equal = question.query.config == excerpt.delta.digest.config;
            StoreExcerpt {
                config: self.decoded.clone().filter(|_| !is_equal),
                ..excerpt
            }
        });
        let _ = question.reply.send(excerpt);
    }

    fn apply_snapshot(&mut self, snapshot: StoreSnapshot, begun: ClockTime) -> StoreEvent {
        self.metrics.count_store_read("answered");
        if self.is_reachable != Some(true) {
            let (endpoints, crashes) = (snapshot.endpoints.len(), snapshot.crashes.len());
            spdlog::info!("the store is reachable", kv: { endpoints:, crashes: });
        }
        self.is_reachable = Some(true);
        let unreadable = i64::try_from(snapshot.unreadable.len()).unwrap_or(i64::MAX);
        self.metrics.unreadable_entries.set(unreadable);
        for entry in self.unreadable.replace(snapshot.unreadable) {
            let (key, reason) = (entry.key.as_str(), entry.reason.as_str());
            spdlog::warn!("ignoring an invalid entry of the store", kv: { key:, reason: });
        }
        let contents = StoreContents {
            begun,
            position: snapshot.position,
            last_position: snapshot.last_position,
            config: snapshot.config.as_deref().map_or(NO_CONFIG, config_digest),
            internal: InternalContents {
                crashes: snapshot.crashes,
                part_crashes: snapshot.part_crashes,
                parts: snapshot.parts,
            },
            endpoints: snapshot.endpoints,
        };
        StoreEvent::Known(Box::new(StoreUpdate {
            knowledge: self.follower.apply_read(contents, self.clock.now()),
            config: snapshot.config.and_then(|value| self.decode_changed(value)),
        }))
    }

    /// Applies another gateway's message. Returns `None` if nothing is learned from it.
    fn apply_delta(&mut self, received: &ReceivedDelta) -> Option<StoreEvent> {
        let now = self.clock.now();
        let (outcome, knowledge) = self
            .follower
            .apply_delta(received.from, &received.delta, now);
        self.metrics.count_store_message(outcome.as_str());
        known(knowledge, None)
    }

    /// Decodes a configuration that has changed. An invalid one is rejected, and the one in force stays.
    fn decode_changed(&mut self, value: Bytes) -> Option<Arc<SiteConfig>> {
        if self.config.as_ref() == Some(&value) {
            return None;
        }
        let decoded = config::decode(&value);
        self.config = Some(value);
        match decoded {
            Ok(config) => {
                self.decoded = Some(Arc::new(config));
                self.decoded.clone()
            }
            Err(error) => {
                self.decoded = None;
                spdlog::error!("rejected an invalid configuration, keeping the current one", kv: { reason: = error_chain(&error) });
                None
            }
        }
    }

    fn note_failure(&mut self, error: &ReadError, begun: ClockTime) -> StoreEvent {
        self.metrics.count_store_read("failed");
        let reason = error_chain(error);
        if self.is_reachable != Some(false) {
            spdlog::warn!("failed to read the store", kv: { reason: = reason.as_str() });
        }
        self.is_reachable = Some(false);
        self.follower.note_read_failure(begun);
        StoreEvent::Failed { reason }
    }
}
