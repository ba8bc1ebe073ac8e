//! Requests that end the endpoints that run them.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use http::{Request, StatusCode};
use oatpier_serving::crashes::CrashRecord;
use oatpier_serving::crashes::changes::CrashChange;
use oatpier_serving::directory::EndpointRecord;
use oatpier_serving::fingerprint::{RequestContent, RequestFingerprint};
use oatpier_serving::message::EnginePulse;
use oatpier_serving::site::RouteKind;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, own_answer, pulse, read_request, record, request,
};

/// The body that ends whoever runs it.
const CRASHING: &str = "crash";

/// Ends that are allowed before the request must be known, and sends that are allowed after.
const ENDS_ALLOWED: u32 = 3;
const SENDS_AFTER: u32 = 3;

/// An endpoint that ends with the first request of a certain body, and answers all others.
struct FragileEndpoint {
    address: std::net::SocketAddr,
    crashing: Arc<AtomicU32>,
}

impl FragileEndpoint {
    async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let crashing = Arc::new(AtomicU32::new(0));
        tokio::spawn(serve_until_crash(listener, Arc::clone(&crashing)));
        Self { address, crashing }
    }

    /// Requests with the body that ends it that have reached it.
    fn crashing(&self) -> u32 {
        self.crashing.load(Ordering::Relaxed)
    }
}

/// Serves one connection after the other; the listener goes with the first request that ends it.
async fn serve_until_crash(listener: TcpListener, crashing: Arc<AtomicU32>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        while let Some(request) = read_request(&mut stream).await {
            if request.ends_with(CRASHING) {
                crashing.fetch_add(1, Ordering::Relaxed);
                return;
            }
            answer(&mut stream).await;
        }
    }
}

async fn answer(stream: &mut TcpStream) {
    let bytes = own_answer("200 OK", "world");
    stream.write_all(bytes.as_bytes()).await.unwrap();
}

/// A gateway before one endpoint at a time: when it ends, the platform lists another one.
struct FragileFleet {
    gateway: TestGateway,
    endpoint: FragileEndpoint,
    started: u8,
    reached: u32,
}

impl FragileFleet {
    async fn start() -> Self {
        let endpoint = FragileEndpoint::start().await;
        let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[]);
        let fleet = Self {
            gateway,
            endpoint,
            started: 1,
            reached: 0,
        };
        fleet.list();
        fleet
    }

    fn list(&self) {
        let listed = record(self.started, self.endpoint.address);
        self.gateway.core.take_records(None, vec![listed]);
    }

    /// Sends a request, and replaces the endpoint if that ended it.
    async fn send(&mut self, request: Request<Bytes>) -> http::Response<Bytes> {
        let answer = self.gateway.send(request).await;
        let reached = self.endpoint.crashing();
        self.reached += reached;
        if reached > 0 {
            self.endpoint = FragileEndpoint::start().await;
            self.started += 1;
            self.list();
        }
        answer
    }
}

fn crashing_request(id: &'static str) -> Request<Bytes> {
    let mut request = request(&[]);
    request
        .headers_mut()
        .insert("x-oatpier-request-id", http::HeaderValue::from_static(id));
    *request.body_mut() = Bytes::from_static(CRASHING.as_bytes());
    request
}

/// Callers see their streams cut and models vanish, again and again: one request ends each endpoint that runs
/// it, and its caller sends it again under a new id. The gateway held each end against the endpoint and kept
/// nothing of the request, so each return went to the endpoint that was still sound. What proved it: of twelve returns
/// under twelve ids, all reached an endpoint, and each of these ended.
#[tokio::test]
async fn a_request_that_ended_three_endpoints_reaches_few_more() {
    let mut fleet = FragileFleet::start().await;
    let ids = [
        "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9", "b1", "b2", "b3",
    ];
    for id in ids {
        fleet.send(crashing_request(id)).await;
    }
    assert!(
        fleet.reached <= ENDS_ALLOWED + SENDS_AFTER,
        "{} sends reached endpoints",
        fleet.reached
    );
}

fn told_crashes(gateway: &TestGateway) -> Vec<CrashRecord> {
    std::iter::from_fn(|| gateway.written.poll())
        .filter_map(|change| match change {
            CrashChange::Put(record) => Some(record),
            CrashChange::Remove(_) => None,
        })
        .collect()
}

/// A fleet whose gateway has seen one request end three endpoints.
async fn barring_fleet() -> FragileFleet {
    let mut fleet = FragileFleet::start().await;
    for id in ["a1", "a2", "a3"] {
        fleet.send(crashing_request(id)).await;
    }
    fleet
}

/// The caller of a request that ended three endpoints must not be asked to come back, as 503 would. It is told at
/// once, and the endpoint that is there goes on serving others.
#[tokio::test]
async fn a_barred_request_gets_a_final_answer_at_once() {
    let mut fleet = barring_fleet().await;
    let answer = fleet.send(crashing_request("a4")).await;
    assert_eq!(answer.status(), StatusCode::INTERNAL_SERVER_ERROR);
    assert!(!answer.headers().contains_key("retry-after"));
    assert_eq!(fleet.reached, ENDS_ALLOWED);
    assert_eq!(fleet.send(request(&[])).await.status(), StatusCode::OK);
}

/// The request comes back at a gateway that never saw it: one that was told by the others, and one that has just
/// started and knows only what lies in the store. Neither sends it on.
#[tokio::test]
async fn a_request_is_barred_at_gateways_that_never_saw_it() {
    let fleet = barring_fleet().await;
    let crashes = told_crashes(&fleet.gateway);
    assert_eq!(crashes.len(), 3);
    let told = FragileFleet::start().await;
    told.gateway.core.take_crashes(&crashes);
    let started = FragileFleet::start().await;
    started.gateway.core.take_stored_crashes(&crashes, false);
    for mut fleet in [told, started] {
        let answer = fleet.send(crashing_request("b1")).await;
        assert_eq!(answer.status(), StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(fleet.reached, 0);
    }
}

/// An operator lifts the bar, or the planner drops an old suspicion: the store no longer lists the crashes. The
/// request is sent again.
#[tokio::test]
async fn a_request_that_the_store_no_longer_lists_is_sent_again() {
    let mut fleet = barring_fleet().await;
    let crashes = told_crashes(&fleet.gateway);
    fleet.gateway.core.take_stored_crashes(&crashes, false);
    fleet.gateway.core.take_stored_crashes(&[], false);
    fleet.send(crashing_request("a4")).await;
    assert_eq!(fleet.reached, ENDS_ALLOWED + 1);
}

/// A caller's request was at two endpoints that ended for another reason, and its caller sends it again. It is
/// served, and nothing is held against it any more, here or in the store.
#[tokio::test]
async fn a_request_that_runs_whole_is_cleared() {
    let mut fleet = barring_fleet().await;
    let mut crashes = told_crashes(&fleet.gateway);
    crashes.truncate(2);
    let bystander = RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: "a.example",
        path: "/draft/7?x=1",
        body: b"hello",
    });
    for crash in &mut crashes {
        crash.fingerprint = bystander;
    }
    fleet.gateway.core.take_stored_crashes(&crashes, false);
    assert_eq!(fleet.send(request(&[])).await.status(), StatusCode::OK);
    let removed: Vec<CrashChange> = std::iter::from_fn(|| fleet.gateway.written.poll()).collect();
    let expected: Vec<CrashChange> = crashes.into_iter().map(CrashChange::Remove).collect();
    assert_eq!(removed, expected);
}

/// An endpoint spoils answers, or a link resets connections: requests are cut off, and their endpoint goes on. That
/// is not held against them, however often it happens.
#[tokio::test]
async fn a_request_that_is_cut_at_a_living_endpoint_is_not_suspect() {
    let whole = || EndpointStep::Answer(own_answer("200 OK", "world"));
    let steps = (0..8).flat_map(|_| [EndpointStep::Close, whole()]);
    let endpoint = ScriptedEndpoint::start(steps.collect()).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]);
    for _ in 0..8 {
        let cut = gateway.send(crashing_request("a1")).await;
        assert_eq!(cut.status(), StatusCode::BAD_GATEWAY);
        let other = gateway.send(request(&[])).await;
        assert_eq!(other.status(), StatusCode::OK);
    }
    assert!(told_crashes(&gateway).is_empty());
}

/// An engine's sidecar says that the engine is lost, three seconds before the registry drops it. The end counts at
/// once: a request that comes back within these seconds would take two or three engines more.
#[tokio::test]
async fn an_end_counts_as_soon_as_the_sidecar_tells() {
    let fleet = FragileFleet::start().await;
    let core = &fleet.gateway.core;
    let engine = fleet.endpoint.address;
    core.take_pulse(pulse(1, engine, Vec::new()));
    fleet.gateway.send(crashing_request("a1")).await;
    assert!(told_crashes(&fleet.gateway).is_empty());
    core.take_pulse(EnginePulse {
        answers: false,
        ..pulse(2, engine, Vec::new())
    });
    assert_eq!(told_crashes(&fleet.gateway).len(), 1);
}

/// An endpoint that is taken away at short notice ends under its requests. They did not end it.
#[tokio::test]
async fn the_end_of_a_leaving_endpoint_counts_against_nobody() {
    let silent = ScriptedEndpoint::start(vec![EndpointStep::Silence]).await;
    let gateway = TestGateway::before(RouteKind::Unsafe, 1, &[&silent]);
    let leaving = EndpointRecord {
        draining: true,
        ..record(1, silent.address)
    };
    let reply = gateway.send(crashing_request("a1"));
    let leave = async {
        while silent.requests().is_empty() {
            tokio::task::yield_now().await;
        }
        gateway.core.take_records(None, vec![leaving]);
        silent.end();
    };
    let (answer, ()) = tokio::join!(reply, leave);
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    gateway.core.take_records(None, Vec::new());
    assert!(told_crashes(&gateway).is_empty());
}
