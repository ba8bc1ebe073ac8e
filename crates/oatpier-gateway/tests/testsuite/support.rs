//! A gateway's request handler in front of endpoints that respond according to a script.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Collected};
use oatpier_duty::duty::{RingReceiver, RingRule, RuntimeClock, ring};
use oatpier_gateway::decisions::DecisionLog;
use oatpier_gateway::exchange::MessageOutlet;
use oatpier_gateway::gateway::core::{CoreInputs, GatewayCore};
use oatpier_gateway::gateway::handler::GatewayHandler;
use oatpier_gateway::metrics::ServingMetrics;
use oatpier_gateway::store_reader::StorePeers;
use oatpier_serving::crashes::changes::CrashChange;
use oatpier_serving::directory::EndpointRecord;
use oatpier_serving::engine::{EndpointLoad, HeldModel, LocalCopies};
use oatpier_serving::message::{
    ConfigStatus, EngineStatus, InnerMessage, MessageNumber, PeerReport, PermitGrant, TurnAsk,
    TurnReply,
};
use oatpier_serving::node::{NodeBounds, NodeSettings};
use oatpier_serving::quota::PartIndex;
use oatpier_serving::quota::bounds::QuotaBounds;
use oatpier_serving::quota::lease::{PartEntry, PartRecord};
use oatpier_serving::quota::turns::TurnAnswer;
use oatpier_serving::reads::{KnowledgeSource, RegisteredEndpoints, StoreKnowledge};
use oatpier_serving::site::{
    CallerLimits, EngineRule, ModelRule, RouteKind, RouteRule, ServiceRule, SiteConfig,
    WeightedService,
};
use oatpier_types::names::{ClassName, DaemonName, EndpointName, ModelName, PoolName, ZoneName};
use oatpier_types::software::SoftwareVersion;
use oatpier_wire::server::RequestHandler;
use smallvec::smallvec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

pub const REQUEST_ID: &str = "9c41d07be2a35f68";

/// How an endpoint handles one request.
#[derive(Debug, Clone)]
pub enum EndpointStep {
    /// Responds with these bytes and keeps the connection open.
    Answer(String),
    /// Responds with these bytes and closes the connection.
    AnswerAndClose(String),
    /// Responds with the first bytes, and with the others after a pause.
    AnswerInParts(String, Duration, String),
    /// Responds with these bytes once it is notified, and with them again ahead of the next response on the connection.
    AnswerTwice(String, Arc<Notify>),
    /// Closes the connection without a response.
    Close,
    /// Never responds.
    Silence,
}

/// An endpoint that takes one step of its script for each request, in order.
pub struct ScriptedEndpoint {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    connections: Arc<AtomicUsize>,
    ended: Arc<Notify>,
}

impl ScriptedEndpoint {
    pub async fn start(steps: Vec<EndpointStep>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let steps = Arc::new(Mutex::new(VecDeque::from(steps)));
        let seen = Arc::clone(&requests);
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted_count = Arc::clone(&connections);
        let ended = Arc::new(Notify::new());
        let ending = Arc::clone(&ended);
        tokio::spawn(async move {
            let mut open = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { return };
                        accepted_count.fetch_add(1, Ordering::SeqCst);
                        open.spawn(serve(stream, Arc::clone(&steps), Arc::clone(&seen)));
                    }
                    () = ending.notified() => return,
                }
            }
        });
        Self {
            address,
            requests,
            connections,
            ended,
        }
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Stops the endpoint and closes all its connections.
    pub fn end(&self) {
        self.ended.notify_one();
    }

    /// Returns the requests received so far, head and body.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    steps: Arc<Mutex<VecDeque<EndpointStep>>>,
    seen: Arc<Mutex<Vec<String>>>,
) {
    let mut copy = String::new();
    while let Some(request) = read_request(&mut stream).await {
        seen.lock().unwrap().push(request);
        let step = steps.lock().unwrap().pop_front();
        let late = std::mem::take(&mut copy);
        stream.write_all(late.as_bytes()).await.unwrap();
        match step {
            Some(EndpointStep::Answer(bytes)) => stream.write_all(bytes.as_bytes()).await.unwrap(),
            Some(EndpointStep::AnswerAndClose(bytes)) => {
                stream.write_all(bytes.as_bytes()).await.unwrap();
                return;
            }
            Some(EndpointStep::AnswerInParts(first, pause, rest)) => {
                stream.write_all(first.as_bytes()).await.unwrap();
                sleep(pause).await;
                stream.write_all(rest.as_bytes()).await.unwrap();
            }
            Some(EndpointStep::AnswerTwice(bytes, may_answer)) => {
                may_answer.notified().await;
                stream.write_all(bytes.as_bytes()).await.unwrap();
                copy = bytes;
            }
            Some(EndpointStep::Silence) => std::future::pending().await,
            Some(EndpointStep::Close) | None => return,
        }
    }
}

pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length = text
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .map_or(0, |length| length.trim().parse::<usize>().unwrap());
            if bytes.len() >= end + 4 + length {
                return Some(text);
            }
        }
        let mut piece = [0; 4096];
        let read = stream.read(&mut piece).await.ok()?;
        if read == 0 {
            return None;
        }
        bytes.extend_from_slice(&piece[..read]);
    }
}

/// Returns a valid endpoint response to the request with [`REQUEST_ID`].
pub fn endpoint_response(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-oatpier-request-id: {REQUEST_ID}\r\nx-oatpier-response-stamp: s1\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Adds headers to the head of a response.
pub fn with_headers(answer: &str, rows: &[(&str, &str)]) -> String {
    let (status, rest) = answer.split_once("\r\n").unwrap();
    let rows = rows
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"));
    format!("{status}\r\n{}{rest}", rows.collect::<String>())
}

/// Returns a response that reports that the endpoint did not run the request.
pub fn not_executed_response(status: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-oatpier-request-id: {REQUEST_ID}\r\nx-oatpier-not-executed: 1\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// Returns a response of an endpoint that is another instance than the request expects.
pub fn other_instance_response(instance: &str) -> String {
    format!(
        "HTTP/1.1 421 Misdirected Request\r\nx-oatpier-request-id: {REQUEST_ID}\r\n\
         x-oatpier-instance-id: {instance}\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Returns the head and the first events of a stream, with one chunk per event.
pub fn stream_start(events: &[&str]) -> String {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nx-oatpier-request-id: {REQUEST_ID}\r\nx-oatpier-response-stamp: s1\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    for event in events {
        text += &chunk(event);
    }
    text
}

pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// The end of a chunked response.
pub const STREAM_END: &str = "0\r\n\r\n";

/// Records the messages that the gateway sends to sidecars and other gateways.
#[derive(Debug, Default)]
pub struct RecordingOutlet {
    sent: Mutex<Vec<(SocketAddr, InnerMessage)>>,
}

impl RecordingOutlet {
    pub fn sent(&self) -> Vec<(SocketAddr, InnerMessage)> {
        self.sent.lock().unwrap().clone()
    }
}

impl MessageOutlet for RecordingOutlet {
    fn send(&self, to: SocketAddr, message: &InnerMessage) {
        self.sent.lock().unwrap().push((to, message.clone()));
    }
}

/// A gateway in front of scripted endpoints.
pub struct TestGateway {
    pub core: Arc<GatewayCore>,
    pub outlet: Arc<RecordingOutlet>,
    /// The lines that the gateway logs.
    pub lines: RingReceiver<String>,
    /// The changes of crash records that the gateway queues for the store.
    pub crash_changes: RingReceiver<CrashChange>,
    /// The addresses of gateways with a newer configuration.
    pub config_sources: RingReceiver<SocketAddr>,
    handler: GatewayHandler,
}

impl TestGateway {
    /// Creates a gateway without a configuration.
    pub fn unconfigured() -> Self {
        Self::with_settings(settings())
    }

    /// Creates a gateway with these settings and without a configuration.
    pub fn with_settings(settings: NodeSettings) -> Self {
        let outlet = Arc::new(RecordingOutlet::default());
        let metrics = ServingMetrics::default();
        let (log, lines) = DecisionLog::new("gateway", &metrics);
        let full = metrics.ring_full.clone();
        let (crash_changes, written) = ring(64, RingRule::Drop, full.clone());
        let (source_sender, config_sources) = ring(2, RingRule::Drop, full.clone());
        let inputs = CoreInputs {
            clock: RuntimeClock::start(),
            metrics,
            log,
            can_serve: Arc::default(),
            store_deltas: ring(8, RingRule::Drop, full).0,
            store_peers: watch::channel(StorePeers::default()).0,
            crash_changes,
            shared_config: watch::channel(None).0,
            config_sources: source_sender,
            claims: ring(8, RingRule::Drop, ServingMetrics::default().ring_full).0,
        };
        let (_, feed) = watch::channel(Arc::new(settings));
        let kept: Arc<dyn MessageOutlet> = outlet.clone();
        let core = Arc::new(GatewayCore::new(feed, inputs, kept));
        Self {
            handler: GatewayHandler::new(Arc::clone(&core)),
            core,
            outlet,
            lines,
            crash_changes: written,
            config_sources,
        }
    }

    /// Creates a gateway with one route of this kind to plain endpoints.
    pub fn with_endpoints(
        kind: RouteKind,
        max_attempts: u32,
        endpoints: &[&ScriptedEndpoint],
    ) -> Self {
        let gateway = Self::unconfigured();
        let records = (1..)
            .zip(endpoints)
            .map(|(number, endpoint)| record(number, endpoint.address));
        let config = config(vec![route(kind, max_attempts)]);
        gateway
            .core
            .apply_records(Some(Arc::new(config)), records.collect());
        gateway
    }

    /// Creates a gateway with one resumable route to endpoints with these versions of their software.
    pub fn with_versions(max_attempts: u32, endpoints: &[(&ScriptedEndpoint, &str)]) -> Self {
        let records = (1..)
            .zip(endpoints)
            .map(|(number, (endpoint, text))| versioned(number, endpoint, text));
        Self::with_resumable_route(max_attempts, records.collect())
    }

    /// Creates a gateway with one resumable route to these endpoints.
    pub fn with_records(records: Vec<EndpointRecord>) -> Self {
        Self::with_resumable_route(1, records)
    }

    fn with_resumable_route(max_attempts: u32, records: Vec<EndpointRecord>) -> Self {
        let gateway = Self::unconfigured();
        let config = config(vec![route(RESUMABLE_STREAM, max_attempts)]);
        gateway.core.apply_records(Some(Arc::new(config)), records);
        gateway
    }

    /// Applies reports of other gateways.
    pub fn meet_gateways(&self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.core.apply_peer_report(*address, peer_report());
        }
        self.core.update_gateways();
    }

    /// Makes other gateways the holders of all parts of limits.
    pub fn hold_parts_elsewhere(&self) {
        let entry = |part| PartEntry {
            record: PartRecord {
                part,
                holder: Some(holder(part)),
                boot: 1,
                era: 0,
            },
            revision: 5,
        };
        let entries: Vec<PartEntry> = PartIndex::all().map(entry).collect();
        self.core.apply_parts(&entries, 0);
    }

    /// Reports an engine that holds the model `m1` and runs this many requests.
    pub fn report_engine(&self, engine: &ScriptedEndpoint, running: u32) {
        let held = HeldModel {
            model: ModelName::try_from("m1").unwrap(),
            adapters: Vec::new(),
        };
        let mut update = status(1, engine.address, vec![held]);
        update.load.running = running;
        self.core.apply_status(update);
    }

    /// Returns the ids of the permit requests sent by the gateway, without repetitions, in order.
    pub fn permit_request_ids(&self) -> Vec<u64> {
        let mut ids = Vec::new();
        for (_, message) in self.outlet.sent() {
            if let InnerMessage::PermitAsk(ask) = message
                && !ids.contains(&ask.id)
            {
                ids.push(ask.id);
            }
        }
        ids
    }

    /// Grants a permit for each permit request, after calling `before_grant`.
    pub async fn grant_permits(&self, before_grant: impl Fn()) {
        let mut granted = 0;
        loop {
            sleep(Duration::from_millis(1)).await;
            for id in self.permit_request_ids().drain(granted..) {
                granted += 1;
                before_grant();
                self.core.apply_permit(PermitGrant { id });
            }
        }
    }

    /// Returns the turn requests sent by the gateway.
    pub fn turn_requests(&self) -> Vec<TurnAsk> {
        let sent = self.outlet.sent().into_iter();
        let asks = sent.filter_map(|(_, message)| match message {
            InnerMessage::TurnAsk(ask) => Some(ask),
            _ => None,
        });
        asks.collect()
    }

    /// Runs `work` while the part holders answer each turn request with `answer`.
    pub async fn with_turn_answers<T>(
        &self,
        work: impl Future<Output = T>,
        answer: impl Fn(&TurnAsk) -> TurnAnswer,
    ) -> T {
        let holders = async {
            let mut answered = self.turn_requests().len();
            loop {
                for ask in self.turn_requests().drain(answered..) {
                    answered += 1;
                    let answer = answer(&ask);
                    self.core
                        .complete_turn_ask(TurnReply { id: ask.id, answer });
                }
                sleep(Duration::from_millis(1)).await;
            }
        };
        // The holders are polled first: on a busy machine an answer must not arrive after its timeout.
        tokio::select! {
            biased;
            () = holders => unreachable!("holders answer until the work is done"),
            done = work => done,
        }
    }

    /// Returns the lines logged so far for a decision.
    pub fn logged(&self, decision: &str) -> Vec<String> {
        let is_on_it = |line: &String| line.contains(&format!("\"decision\":\"{decision}\""));
        std::iter::from_fn(|| self.lines.try_receive())
            .filter(is_on_it)
            .collect()
    }

    pub async fn send(&self, request: Request<Bytes>) -> Response<Bytes> {
        let reply = self.reply(request).await;
        let (parts, body) = reply.into_parts();
        let body = body.collect().await.map(Collected::to_bytes);
        Response::from_parts(parts, body.expect("the response body is complete"))
    }

    pub async fn reply(&self, request: Request<Bytes>) -> oatpier_wire::reply::Reply {
        let caller = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
        self.handler.handle(request, caller).await
    }
}

/// Returns the address of the holder of a part.
pub fn holder(part: PartIndex) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 50 + part.0], 7380))
}

/// Returns a request with a prompt for the model `m1`.
pub fn prompt() -> Request<Bytes> {
    request(&[
        ("x-oatpier-model", "m1"),
        ("x-oatpier-token-usage", "400,10"),
    ])
}

/// A stream that may be resumed at another endpoint.
pub const RESUMABLE_STREAM: RouteKind = RouteKind::Stream {
    resumable: true,
    pause: Duration::from_millis(150),
};

/// A stream that is sent at most once.
pub const STREAM: RouteKind = RouteKind::Stream {
    resumable: false,
    pause: Duration::from_millis(300),
};

pub fn request(rows: &[(&'static str, &'static str)]) -> Request<Bytes> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri("/draft/7?x=1")
        .header("host", "a.example")
        .header("x-oatpier-request-id", REQUEST_ID);
    for (name, value) in rows {
        builder = builder.header(*name, *value);
    }
    builder.body(Bytes::from_static(b"hello")).unwrap()
}

pub fn route(kind: RouteKind, max_attempts: u32) -> RouteRule {
    RouteRule {
        name: ClassName::try_from("draft").unwrap(),
        host: Arc::from("a.example"),
        prefix: Arc::from("/draft/"),
        kind,
        timeout: Duration::from_secs(20),
        target: Duration::from_secs(5),
        priority: 0,
        targets: smallvec![WeightedService {
            service: service(),
            weight: 1,
        }],
        max_attempts,
        is_public: false,
    }
}

pub fn config(routes: Vec<RouteRule>) -> SiteConfig {
    SiteConfig {
        version: 1,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: vec![ServiceRule {
            health_path: Arc::from("/health"),
            name: service(),
            max_connections: 100,
            engine: Some(EngineRule {
                weights_mb: 200.0,
                memory_tokens: 100_000,
                adapter_slots: 4,
                loads_per_s: 4.0,
                models: vec![ModelRule {
                    name: ModelName::try_from("m1").unwrap(),
                    size_mb: 90.0,
                    load: Duration::from_secs(2),
                    load_from_disk: Duration::from_millis(500),
                    load_from_memory: Duration::from_millis(400),
                    adapter_mb: 1.0,
                }],
            }),
        }],
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1_000,
            head_wait: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        },
        workspaces: None,
    }
}

pub fn service() -> PoolName {
    PoolName::try_from("llm").unwrap()
}

/// Returns what another gateway's message has shown just now, with the endpoints if they have changed.
pub fn told(endpoints: Option<Vec<EndpointRecord>>) -> StoreKnowledge {
    StoreKnowledge {
        source: KnowledgeSource::OtherGateway,
        age: Duration::ZERO,
        confirms_config: true,
        endpoints: endpoints.map(RegisteredEndpoints::from),
        newly_kept: Vec::new(),
        era: 1,
        internal: None,
        delta: None,
    }
}

/// Returns a version of endpoints' software.
pub fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::try_from(text).unwrap()
}

/// Returns the registry entry of an endpoint with a version of its software.
pub fn versioned(number: u8, endpoint: &ScriptedEndpoint, text: &str) -> EndpointRecord {
    EndpointRecord {
        version: Some(version(text)),
        ..record(number, endpoint.address)
    }
}

fn peer_report() -> PeerReport {
    PeerReport {
        number: MessageNumber { boot: 1, number: 1 },
        name: DaemonName::try_from("other").unwrap(),
        zone: ZoneName::try_from("near").unwrap(),
        every_ms: 60_000,
        processor: 500,
        is_behind: false,
        leaving: false,
        engines_heard: 0,
        config: ConfigStatus::default(),
        is_partial: false,
        demand: Vec::new(),
        uses: Vec::new(),
    }
}

pub fn record(number: u8, address: SocketAddr) -> EndpointRecord {
    EndpointRecord {
        name: EndpointName::try_from(format!("i-{number}").as_str()).unwrap(),
        start: None,
        version: Some(version("v1")),
        service: service(),
        address,
        zone: ZoneName::try_from("near").unwrap(),
        slots: 10,
        draining: false,
        cold: Duration::ZERO,
        models: Vec::new(),
        copies: LocalCopies::default(),
    }
}

pub fn status(number: u64, engine: SocketAddr, models: Vec<HeldModel>) -> EngineStatus {
    EngineStatus {
        number: MessageNumber { boot: 1, number },
        engine,
        service: Some(service()),
        instance: None,
        start: None,
        answers: true,
        load: EndpointLoad::default(),
        memory_used: 0,
        memory_total: 100_000,
        models,
        retiring: Vec::new(),
        loading: None,
        coming: Vec::new(),
        adapter_room: 2,
        copies: LocalCopies::default(),
        draining: false,
        load_wait_ms: 0,
        permit_wait_ms: 0,
        permits_waiting: 0,
        failing_percent: 0,
        gateways: Vec::new(),
    }
}

pub fn settings() -> NodeSettings {
    NodeSettings {
        name: DaemonName::try_from("gateway").unwrap(),
        ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        zone: ZoneName::try_from("near").unwrap(),
        processor: 200,
        memory_bytes: 4 << 20,
        descriptors: 4_096,
        inner_port: 7380,
        metrics: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        callers: None,
        readiness: None,
        engine: None,
        is_first_start: true,
        heartbeat: Duration::from_millis(1_200),
        store: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        bounds: NodeBounds {
            config: Duration::from_secs(2),
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            retry_ratio: 0.2,
            retry_slack: 56.0,
            retry_window: Duration::from_secs(10),
            reuse_after: Duration::from_secs(2),
            load_window: Duration::from_secs(5),
            load_margin: 1.1,
            quota: QuotaBounds {
                window: Duration::from_secs(8),
                overage: 0.1,
                slack: 7_500.0,
            },
        },
    }
}
