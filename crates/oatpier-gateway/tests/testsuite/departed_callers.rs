//! Tests of callers that disconnect before their responses are complete.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use oatpier_gateway::gateway::handler::GatewayHandler;
use oatpier_serving::site::RouteKind;
use oatpier_wire::server::{self, ServerLimits};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::support::{REQUEST_ID, STREAM, TestGateway, chunk, read_request, record, stream_start};

/// Time after which an endpoint that still processes the request of a caller that has left is taken to go on for good.
const MAX_RELEASE_TIME: Duration = Duration::from_secs(5);

const CALLERS: u32 = 8;

/// An endpoint that begins streams and never ends them. It counts the requests whose connections are open.
struct OpenEndpoint {
    address: SocketAddr,
    begun: Arc<AtomicU32>,
    running: Arc<AtomicU32>,
}

impl OpenEndpoint {
    /// Starts an endpoint that answers each request with these bytes.
    async fn start(answer: String) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (begun, running) = (Arc::<AtomicU32>::default(), Arc::<AtomicU32>::default());
        let (begun_here, running_here) = (Arc::clone(&begun), Arc::clone(&running));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (begun, running) = (Arc::clone(&begun_here), Arc::clone(&running_here));
                tokio::spawn(run_request(stream, answer.clone(), begun, running));
            }
        });
        Self {
            address,
            begun,
            running,
        }
    }

    fn begun(&self) -> u32 {
        self.begun.load(Ordering::SeqCst)
    }

    fn running(&self) -> u32 {
        self.running.load(Ordering::SeqCst)
    }

    /// Waits until this many requests have begun.
    async fn await_begun(&self, count: u32) {
        while self.begun() < count {
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until no request is running, and returns how many still are.
    async fn await_release(&self) -> u32 {
        let released = async {
            while self.running() > 0 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        // A timeout is reported by the count.
        let _ = timeout(MAX_RELEASE_TIME, released).await;
        self.running()
    }
}

async fn run_request(
    mut stream: TcpStream,
    answer: String,
    begun: Arc<AtomicU32>,
    running: Arc<AtomicU32>,
) {
    if read_request(&mut stream).await.is_none() {
        return;
    }
    begun.fetch_add(1, Ordering::SeqCst);
    running.fetch_add(1, Ordering::SeqCst);
    let mut rest = [0; 64];
    if stream.write_all(answer.as_bytes()).await.is_ok() {
        while matches!(stream.read(&mut rest).await, Ok(read) if read > 0) {}
    }
    running.fetch_sub(1, Ordering::SeqCst);
}

fn gateway_for(kind: RouteKind, endpoint: &OpenEndpoint) -> TestGateway {
    let gateway = TestGateway::with_endpoints(kind, 1, &[]);
    let listed = record(1, endpoint.address);
    gateway.core.apply_records(None, vec![listed]);
    gateway
}

fn serve(gateway: &TestGateway, listener: TcpListener) {
    let handler = Arc::new(GatewayHandler::new(Arc::clone(&gateway.core)));
    let never = std::future::pending();
    let limits = ServerLimits::default();
    tokio::spawn(server::serve(
        listener,
        handler,
        limits,
        Arc::default(),
        never,
    ));
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Connects and sends a request with a body.
async fn send_request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request_bytes().as_bytes()).await.unwrap();
    stream
}

fn request_bytes() -> String {
    format!(
        "POST /draft/7 HTTP/1.1\r\nhost: a.example\r\nx-oatpier-request-id: {REQUEST_ID}\r\n\
         content-length: 4\r\n\r\ntext"
    )
}

/// Returns a response without a length, which ends with its connection.
fn unframed_start() -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-oatpier-request-id: {REQUEST_ID}\r\nx-oatpier-response-stamp: s1\r\n\
         content-type: text/event-stream\r\n\r\ndata: a\n\n"
    )
}

fn chunked_start() -> String {
    format!("{}{}", stream_start(&[]), chunk("data: a\n\n"))
}

/// Guards against endpoints that process requests whose callers left before the gateway read them.
#[tokio::test]
async fn a_request_whose_caller_left_before_it_was_read_is_not_sent() {
    let endpoint = OpenEndpoint::start(chunked_start()).await;
    let gateway = gateway_for(STREAM, &endpoint);
    let (listener, address) = listen().await;
    for _ in 0..CALLERS {
        drop(send_request(address).await);
    }
    let present = send_request(address).await;
    serve(&gateway, listener);
    endpoint.await_begun(1).await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(endpoint.begun(), 1, "only the present caller's request");
    drop(present);
}

/// Guards against endpoints that process a request to its end although its caller left.
#[tokio::test]
async fn an_endpoint_stops_when_the_caller_leaves() {
    for (name, start) in [
        ("chunked", chunked_start()),
        ("unframed", unframed_start()),
        ("silent", String::new()),
    ] {
        let endpoint = OpenEndpoint::start(start).await;
        let gateway = gateway_for(STREAM, &endpoint);
        let (listener, address) = listen().await;
        serve(&gateway, listener);
        let caller = send_request(address).await;
        endpoint.await_begun(1).await;
        drop(caller);
        assert_eq!(endpoint.await_release().await, 0, "{name}");
    }
}

/// Guards against endpoints that process a request to its end because bytes of the caller's next request hide that the
/// caller left.
#[tokio::test]
async fn an_endpoint_stops_when_a_caller_leaves_that_has_sent_its_next_request() {
    let endpoint = OpenEndpoint::start(chunked_start()).await;
    let gateway = gateway_for(STREAM, &endpoint);
    let (listener, address) = listen().await;
    serve(&gateway, listener);
    let mut caller = send_request(address).await;
    endpoint.await_begun(1).await;
    caller.write_all(request_bytes().as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    drop(caller);
    assert_eq!(endpoint.await_release().await, 0);
}
