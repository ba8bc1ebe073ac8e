//! Callers that do not read the responses that they asked for.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use oatpier_gateway::gateway::handler::GatewayHandler;
use oatpier_serving::site::RouteKind;
use oatpier_wire::server::{self, ServerCounters, ServerLimits};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::support::{
    EndpointStep, REQUEST_ID, ScriptedEndpoint, TestGateway, config, endpoint_response, record,
    request, route, stream_start,
};

const STREAM: RouteKind = RouteKind::Stream {
    resumable: false,
    pause: Duration::from_millis(300),
};

/// What a gateway may hold of one response that its caller does not read, in bytes.
const MAX_HELD_BYTES: u64 = 128 << 10;

/// More than the sockets on the way hold.
const RESPONSE_BYTES: usize = 48 << 20;

const CALLERS: usize = 3;

/// A little more than the memory that the test's gateway has for bodies.
const LARGE_BODY_BYTES: usize = (1 << 20) + (64 << 10);

async fn start_server(gateway: &TestGateway, counters: &Arc<ServerCounters>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let limits = ServerLimits {
        head_bytes: 16 << 10,
        write_timeout: Duration::from_secs(1),
        ..ServerLimits::default()
    };
    let handler = Arc::new(GatewayHandler::new(Arc::clone(&gateway.core)));
    let counters = Arc::clone(counters);
    tokio::spawn(server::serve(
        listener,
        handler,
        limits,
        counters,
        std::future::pending(),
    ));
    address
}

async fn send_request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /draft/7 HTTP/1.1\r\nhost: a.example\r\nx-oatpier-request-id: {REQUEST_ID}\r\n\
         content-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Guards against memory that grows with responses that callers leave unread, and against endpoints whose slots stay
/// taken by them: the caller's connection is closed.
#[tokio::test]
async fn an_unread_response_takes_bounded_memory_and_ends_with_its_callers_connection() {
    let event = format!("data: {}\n\n", "x".repeat(1 << 20));
    let events = vec![event.as_str(); RESPONSE_BYTES >> 20];
    let step = EndpointStep::Answer(stream_start(&events));
    let engine = ScriptedEndpoint::start(vec![step; CALLERS]).await;
    let gateway = TestGateway::with_endpoints(STREAM, 1, &[&engine]);
    let counters = Arc::new(ServerCounters::default());
    let address = start_server(&gateway, &counters).await;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        callers.push(send_request(address).await);
    }
    let callers_served = u64::try_from(CALLERS).unwrap();
    while counters.stalled() < callers_served {
        let received = gateway.core.client.traffic().received();
        let held = received.saturating_sub(counters.traffic.sent());
        assert!(held <= MAX_HELD_BYTES * callers_served, "{held} bytes held");
        sleep(Duration::from_millis(5)).await;
    }
    assert!(counters.traffic.sent() > 0);
    assert!(counters.traffic.sent() < u64::try_from(RESPONSE_BYTES).unwrap());
}

/// Guards against callers with large bodies whose requests take long, and that keep out ordinary callers meanwhile.
#[tokio::test]
async fn short_requests_are_served_while_large_bodies_are_held() {
    let answer = EndpointStep::Answer(endpoint_response("200 OK", "served"));
    let endpoint = ScriptedEndpoint::start(vec![EndpointStep::Silence, answer]).await;
    let gateway = TestGateway::unconfigured();
    let mut config = config(vec![route(RouteKind::Unsafe, 1)]);
    config.limits.body_bytes = LARGE_BODY_BYTES;
    let records = vec![record(1, endpoint.address)];
    gateway.core.apply_records(Some(Arc::new(config)), records);
    let large_request = || request(&[]).map(|_| Bytes::from(vec![b'x'; LARGE_BODY_BYTES]));
    let others = async {
        while endpoint.requests().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        let refused = gateway.send(large_request()).await;
        assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
        let served = gateway.send(request(&[])).await;
        assert_eq!(served.status(), StatusCode::OK);
    };
    tokio::select! {
        biased;
        response = gateway.send(large_request()) => panic!("{response:?}"),
        () = others => {}
    }
}

/// Guards against a gateway that is killed for its memory while callers leave whole responses unread: it refuses new
/// requests, which have not run, and serves again when the responses are gone.
#[tokio::test]
async fn requests_are_refused_while_unread_responses_take_too_much_memory() {
    let body = "x".repeat(700 << 10);
    let step = EndpointStep::Answer(endpoint_response("200 OK", &body));
    let endpoint = ScriptedEndpoint::start(vec![step; 4]).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Unsafe, 1, &[&endpoint]);
    let unread = [
        gateway.reply(request(&[])).await,
        gateway.reply(request(&[])).await,
    ];
    let refused = gateway.send(request(&[])).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(endpoint.requests().len(), 2);
    drop(unread);
    let served = gateway.send(request(&[])).await;
    assert_eq!(served.status(), StatusCode::OK);
    assert_eq!(served.body().len(), body.len());
}
