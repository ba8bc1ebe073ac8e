//! Tests of the threads that read the store and share what they know with other gateways.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Request, StatusCode};
use oatpier_duty::duty::{RingReceiver, RingRule, RingSender, StopSignal, ring};
use oatpier_gateway::metrics::ServingMetrics;
use oatpier_gateway::share::{ShareInputs, share};
use oatpier_gateway::store_reader::{
    ReaderInputs, ReceivedDelta, StoreEvent, StorePeers, read_store,
};
use oatpier_serving::node::NodeSettings;
use oatpier_serving::reads::{KnowledgeSource, StoreKnowledge};
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::{self, RequestHandler, ServerLimits};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::support::settings;

/// Time within which an event that never comes fails a test. It decides no verdict otherwise.
const PATIENCE: Duration = Duration::from_secs(30);

/// What the store lists, or `None` while it turns the gateway away.
type StoreState = Option<(u64, Vec<&'static str>)>;

struct ScriptedStore {
    state: watch::Receiver<StoreState>,
}

impl RequestHandler for ScriptedStore {
    fn handle(&self, _: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        let reply = match self.state.borrow().clone() {
            Some((revision, endpoints)) => page(revision, &endpoints),
            None => reply::text(StatusCode::SERVICE_UNAVAILABLE, "busy"),
        };
        async move { reply }.boxed()
    }
}

fn page(revision: u64, endpoints: &[&str]) -> Reply {
    let entry = json!({"service": "llm", "address": "127.0.0.1:9", "zone": "near", "slots": 2, "state": "ready"});
    let value = STANDARD.encode(entry.to_string());
    let items = endpoints.iter().map(|name| {
        json!({"key": format!("servers/{name}"), "value": value, "revision": revision, "lease": 0})
    });
    let config = json!({
        "version": revision, "routes": [], "services": [],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
    });
    let value_of_config = STANDARD.encode(config.to_string());
    let config = json!({
        "key": "op/config", "value": value_of_config, "revision": revision, "lease": 0,
    });
    let items = [config].into_iter().chain(items);
    json_reply(&json!({
        "items": items.collect::<Vec<_>>(), "truncated": false, "store_revision": revision,
    }))
}

/// A gateway's threads for the store, in front of a store of its own.
pub struct ReadingGateway {
    address: SocketAddr,
    store: watch::Sender<StoreState>,
    peers: watch::Sender<StorePeers>,
    deltas: RingSender<ReceivedDelta>,
    events: RingReceiver<StoreEvent>,
}

impl ReadingGateway {
    async fn start(state: StoreState) -> Self {
        let (store, store_state) = watch::channel(state);
        Self::start_with(store, Arc::new(ScriptedStore { state: store_state })).await
    }

    /// Starts the threads in front of a store whose state does not change.
    pub async fn start_with_store(handler: Arc<dyn RequestHandler>) -> Self {
        Self::start_with(watch::channel(None).0, handler).await
    }

    async fn start_with(
        store: watch::Sender<StoreState>,
        handler: Arc<dyn RequestHandler>,
    ) -> Self {
        let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let listener = listener.await.unwrap();
        let store_address = listener.local_addr().unwrap();
        let limits = ServerLimits::default();
        tokio::spawn(server::serve(
            listener,
            handler,
            limits,
            Arc::default(),
            std::future::pending(),
        ));
        let metrics = ServingMetrics::default();
        let full = metrics.ring_full.clone();
        let (event_sender, events) = ring(16, RingRule::Wait, full.clone());
        let (deltas, delta_receiver) = ring(8, RingRule::Drop, full.clone());
        let (question_sender, questions) = ring(8, RingRule::Drop, full.clone());
        let (peers, peer_feed) = watch::channel(StorePeers::default());
        let node = NodeSettings {
            store: store_address,
            ..settings()
        };
        tokio::spawn(read_store(ReaderInputs {
            settings: watch::channel(Arc::new(node)).1,
            events: event_sender,
            deltas: delta_receiver,
            questions,
            peers: peer_feed,
            metrics,
            stop: StopSignal::default(),
        }));
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (_, sources) = ring(2, RingRule::Drop, full.clone());
        tokio::spawn(share(ShareInputs {
            listener,
            config: watch::channel(None).1,
            sources,
            fetched: ring(2, RingRule::Wait, full).0,
            excerpts: question_sender,
            stop: StopSignal::default(),
        }));
        Self {
            address,
            store,
            peers,
            deltas,
            events,
        }
    }

    /// Waits until the endpoints known here are these, and returns the knowledge that says so.
    pub async fn until_known(&self, names: &[&str]) -> StoreKnowledge {
        let waiting = async {
            loop {
                let event = self.events.receive().await.unwrap();
                if let StoreEvent::Known(update) = event
                    && listed(&update.knowledge).as_deref() == Some(names)
                {
                    return update.knowledge;
                }
            }
        };
        timeout(PATIENCE, waiting)
            .await
            .expect("nothing is learned")
    }
}

/// Returns the only other gateway.
fn peer(address: SocketAddr) -> StorePeers {
    StorePeers {
        addresses: Arc::from([address]),
        place: None,
    }
}

fn listed(knowledge: &StoreKnowledge) -> Option<Vec<&str>> {
    let endpoints = knowledge.endpoints.as_ref()?;
    let mut names: Vec<&str> = endpoints
        .listed
        .iter()
        .map(|row| row.name.as_str())
        .collect();
    names.sort_unstable();
    Some(names)
}

/// Guards against requests to an endpoint that has left, at a gateway that the store turns away while it serves another
/// one that is in no zone of its own.
#[tokio::test]
async fn a_gateway_that_the_store_turns_away_asks_another_one() {
    let reader = ReadingGateway::start(Some((100, vec!["a", "b"]))).await;
    let turned_away = ReadingGateway::start(Some((100, vec!["a", "b"]))).await;
    turned_away.until_known(&["a", "b"]).await;
    turned_away.peers.send_replace(peer(reader.address));
    turned_away.store.send_replace(None);
    reader.store.send_replace(Some((110, vec!["b"])));
    let knowledge = turned_away.until_known(&["b"]).await;
    assert_eq!(knowledge.source, KnowledgeSource::OtherGateway);
}

/// Guards against a gateway that starts while the store turns it away, and refuses requests that it could serve.
#[tokio::test]
async fn a_gateway_that_starts_while_the_store_turns_it_away_asks_another_one() {
    let reader = ReadingGateway::start(Some((100, vec!["a"]))).await;
    reader.until_known(&["a"]).await;
    let starting = ReadingGateway::start(None).await;
    starting.peers.send_replace(peer(reader.address));
    let knowledge = starting.until_known(&["a"]).await;
    assert!(!knowledge.confirms_config);
}

/// Guards against messages of other gateways that wait until a read of an unresponsive store has timed out.
#[tokio::test]
async fn messages_apply_while_a_read_is_in_progress() {
    let reader = ReadingGateway::start(Some((100, vec!["a", "b"]))).await;
    let receiver = ReadingGateway::start(Some((100, vec!["a", "b"]))).await;
    receiver.until_known(&["a", "b"]).await;
    receiver.store.send_replace(None);
    reader.store.send_replace(Some((110, vec!["b"])));
    let delta = reader.until_known(&["b"]).await.delta.unwrap();
    let message = ReceivedDelta {
        from: reader.address,
        delta,
    };
    assert!(receiver.deltas.try_send(message).is_ok());
    receiver.until_known(&["b"]).await;
}

/// Guards against a read of the whole store by each gateway of a zone at each change of the configuration: a gateway asks
/// the one whose message says that it has read a new one. Here it could not read the store at all.
#[tokio::test]
async fn a_configuration_that_another_gateway_has_read_is_asked_from_it() {
    let reader = ReadingGateway::start(Some((100, vec!["a"]))).await;
    let receiver = ReadingGateway::start(Some((100, vec!["a"]))).await;
    receiver.until_known(&["a"]).await;
    receiver.store.send_replace(None);
    reader.store.send_replace(Some((110, vec!["a", "b"])));
    let delta = reader.until_known(&["a", "b"]).await.delta.unwrap();
    let message = ReceivedDelta {
        from: reader.address,
        delta,
    };
    assert!(receiver.deltas.try_send(message).is_ok());
    let receiving = async {
        loop {
            let event = receiver.events.receive().await.unwrap();
            if let StoreEvent::Known(update) = event
                && let Some(config) = update.config
            {
                assert!(update.knowledge.confirms_config);
                return config.version;
            }
        }
    };
    assert_eq!(timeout(PATIENCE, receiving).await, Ok(110));
}

/// A store in which the first configuration is written later. It counts the calls that read everything.
struct NewStore {
    is_configured: watch::Receiver<bool>,
    reads: Arc<AtomicU32>,
}

impl RequestHandler for NewStore {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        let mut is_configured = self.is_configured.clone();
        if request.uri().path() == "/kv-watch" {
            return async move {
                let _ = is_configured.wait_for(|written| *written).await;
                let event = json!({"key": "op/config", "value": "", "revision": 9, "lease": 0});
                json_reply(&json!({"events": [event], "store_revision": 9}))
            }
            .boxed();
        }
        self.reads.fetch_add(1, Ordering::Relaxed);
        let reply = if *is_configured.borrow() {
            page(9, &["a"])
        } else {
            json_reply(&json!({"items": [], "truncated": false, "store_revision": 3}))
        };
        async move { reply }.boxed()
    }
}

fn json_reply(body: &serde_json::Value) -> Reply {
    reply::whole(
        StatusCode::OK,
        "application/json",
        body.to_string().into_bytes(),
    )
}

/// Guards against reads by all gateways of a new deployment, several times a second and each, until the operator
/// writes the first configuration.
#[tokio::test]
async fn a_gateway_waits_at_the_store_for_the_first_configuration() {
    let (written, is_configured) = watch::channel(false);
    let reads = Arc::new(AtomicU32::new(0));
    let store = Arc::new(NewStore {
        is_configured,
        reads: Arc::clone(&reads),
    });
    let gateway = ReadingGateway::start_with(watch::channel(None).0, store).await;
    gateway.until_known(&[]).await;
    written.send_replace(true);
    gateway.until_known(&["a"]).await;
    assert_eq!(reads.load(Ordering::Relaxed), 2);
}
