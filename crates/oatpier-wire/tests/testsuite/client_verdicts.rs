//! Tests of the verdicts of failed calls: "not run" only if no byte was written.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::client::{ClientLimits, ConnectionChoice, HttpClient, SendStage};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::support::{closed_address, get, listen, read_head};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn client() -> HttpClient {
    HttpClient::new(ClientLimits::default())
}

/// Starts a server that runs `handle` for each connection, and returns its address.
async fn serve_connections<F, R>(handle: F) -> SocketAddr
where
    F: Fn(TcpStream) -> R + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(handle(stream));
        }
    });
    address
}

#[tokio::test]
async fn refused_connection_is_not_run() {
    let address = closed_address().await;
    let error = client().send(address, get("/")).await.err().unwrap();
    assert_eq!(error.verdict, RunVerdict::NotRun);
    assert_eq!(error.stage, SendStage::Connect);
}

/// The peer's VM is gone and does not respond to the connection attempt. No byte of the request was written, so the
/// caller may retry elsewhere at once.
#[tokio::test]
async fn connect_timeout_is_not_run() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener: TcpListener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let short = ClientLimits {
        connect_timeout: Duration::from_millis(30),
        ..ClientLimits::default()
    };
    // Connections that are not accepted fill the backlog; after that the system drops connection attempts.
    let mut filling = Vec::new();
    loop {
        let connecting = TcpStream::connect(address);
        match tokio::time::timeout(Duration::from_secs(1), connecting).await {
            Ok(stream) => filling.push(stream),
            Err(_) => break,
        }
    }
    let error = HttpClient::new(short).send(address, get("/")).await;
    let error = error.err().unwrap();
    assert_eq!(error.verdict, RunVerdict::NotRun);
    assert!(error.timed_out);
}

/// The peer reads the request and is killed before it responds. It may have executed the request, so a retry could
/// execute it twice.
#[tokio::test]
async fn close_after_the_request_may_have_run() {
    let address = serve_connections(|mut stream| async move {
        read_head(&mut stream).await;
    })
    .await;
    let error = client().send(address, get("/")).await.err().unwrap();
    assert_eq!(error.verdict, RunVerdict::MayHaveRun);
    assert_eq!(error.stage, SendStage::Response);
}

/// The peer is frozen: it receives the request and does not respond. After the timeout it may still resume and
/// execute the request.
#[tokio::test]
async fn response_timeout_may_have_run() {
    let address = serve_connections(|mut stream| async move {
        read_head(&mut stream).await;
        std::future::pending::<()>().await;
    })
    .await;
    let timeout = Duration::from_millis(300);
    let error = client().send_within(address, get("/"), timeout).await;
    let error = error.err().unwrap();
    assert_eq!(error.verdict, RunVerdict::MayHaveRun);
    assert!(error.timed_out);
}

/// The connection breaks before the whole content length was received. The truncated body must not count as
/// complete.
#[tokio::test]
async fn truncated_response_is_an_error() {
    let address = serve_connections(|mut stream| async move {
        read_head(&mut stream).await;
        let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf";
        stream.write_all(cut).await.unwrap();
    })
    .await;
    let timeout = Duration::from_secs(10);
    // Over the reader's limit, or shorter than the content length.
    for limit in [1, 100] {
        let fetched = client().fetch(address, get("/"), timeout, limit).await;
        assert_eq!(fetched.err().unwrap().verdict, RunVerdict::MayHaveRun);
    }
    let response = client().send(address, get("/")).await.unwrap();
    assert!(response.into_body().collect().await.is_err());
}

/// The peer closes each connection right after its first response, without announcing it, while the client reuses
/// connections: each second request races with the close. In every outcome the peer must not have seen a request
/// reported as "not run", must have seen a successful one once, and one that "may have run" at most once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn close_of_an_idle_connection_gives_a_correct_verdict() {
    const ROUNDS: u32 = 2_000;
    let seen = Arc::new(AtomicU32::new(0));
    let seen_by_peer = Arc::clone(&seen);
    let address = serve_connections(move |mut stream| {
        let seen = Arc::clone(&seen_by_peer);
        async move {
            if read_head(&mut stream).await {
                seen.fetch_add(1, Ordering::SeqCst);
                stream.write_all(RESPONSE).await.unwrap();
            }
        }
    })
    .await;
    let client = client();
    let mut answered = 0;
    let mut unknown = 0;
    for _ in 0..ROUNDS {
        match client.send(address, get("/")).await {
            Ok(response) => {
                answered += 1;
                let _ = response.into_body().collect().await;
            }
            Err(error) if error.verdict == RunVerdict::MayHaveRun => unknown += 1,
            Err(error) => panic!("the peer was there all the time: {error}"),
        }
    }
    let seen = seen.load(Ordering::SeqCst);
    assert!(answered <= seen && seen <= answered + unknown);
}

#[tokio::test]
async fn connection_is_reused_after_its_response() {
    let connections = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&connections);
    let address = serve_connections(move |mut stream| {
        counted.fetch_add(1, Ordering::SeqCst);
        async move {
            while read_head(&mut stream).await {
                stream.write_all(RESPONSE).await.unwrap();
            }
        }
    })
    .await;
    let client = client();
    for _ in 0..5 {
        let response = client.send(address, get("/")).await.unwrap();
        let body = response.into_body().collect().await.unwrap();
        assert_eq!(body.to_bytes(), "ok");
    }
    assert_eq!(connections.load(Ordering::SeqCst), 1);
    assert_eq!(client.traffic().received(), 5 * RESPONSE.len() as u64);
}

/// A response without a body is complete with its head. Its connection is reused, unless the caller closes it.
#[tokio::test]
async fn connection_of_an_empty_response_is_reused_until_it_is_closed() {
    const EMPTY_RESPONSE: &[u8] = b"HTTP/1.1 503 Unavailable\r\ncontent-length: 0\r\n\r\n";
    let connections = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&connections);
    let address = serve_connections(move |mut stream| {
        counted.fetch_add(1, Ordering::SeqCst);
        async move {
            while read_head(&mut stream).await {
                stream.write_all(EMPTY_RESPONSE).await.unwrap();
            }
        }
    })
    .await;
    let client = client();
    for _ in 0..3 {
        drop(client.send(address, get("/")).await.unwrap());
    }
    assert_eq!(connections.load(Ordering::SeqCst), 1);
    let response = client.send(address, get("/")).await.unwrap();
    response.into_body().close_connection();
    client.send(address, get("/")).await.unwrap();
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

/// A caller disconnects while its request is in transit to a frozen peer. The peer must not receive the request when
/// it resumes: an orderly close would still deliver it, seconds late. The connection must be reset, which discards
/// data that was not received.
#[tokio::test]
async fn abandoned_request_is_discarded() {
    let (seen, mut resets) = tokio::sync::mpsc::unbounded_channel();
    let address = serve_connections(move |mut stream| {
        let seen = seen.clone();
        async move {
            read_head(&mut stream).await;
            loop {
                if let Some(error) = stream.take_error().unwrap() {
                    let _ = seen.send(error);
                    return;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    })
    .await;
    let client = HttpClient::new(ClientLimits {
        discard_on_close: true,
        ..ClientLimits::default()
    });
    let abandoned = client.send_within(address, get("/"), Duration::from_millis(100));
    assert!(abandoned.await.is_err());
    let reset = tokio::time::timeout(Duration::from_secs(20), resets.recv()).await;
    assert!(reset.expect("the connection is reset").is_some());
}

/// Guards against a response that is taken for the one to a later send of its request: an idle connection may bring it
/// once more. A new connection is kept for later calls.
#[tokio::test]
async fn a_call_that_asks_for_a_new_connection_reuses_none() {
    let connections = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&connections);
    let address = serve_connections(move |mut stream| {
        counted.fetch_add(1, Ordering::SeqCst);
        async move {
            while read_head(&mut stream).await {
                stream.write_all(RESPONSE).await.unwrap();
            }
        }
    })
    .await;
    let client = client();
    let mut reused = Vec::new();
    for choice in [
        ConnectionChoice::Any,
        ConnectionChoice::New,
        ConnectionChoice::Any,
    ] {
        let response = client.send_on(address, get("/"), choice).await.unwrap();
        reused.push(response.body().is_reused());
        response.into_body().collect().await.unwrap();
    }
    assert_eq!(reused, [false, false, true]);
    assert_eq!(connections.load(Ordering::SeqCst), 2);
}

/// Guards against a response with a status that HTTP does not have, or that switches to a protocol that nobody asked for, and
/// that counts as the response of the peer.
#[tokio::test]
async fn a_response_without_a_final_status_is_malformed() {
    for status in ["000", "001", "101", "600", "999"] {
        let head = format!("HTTP/1.1 {status} Unknown\r\ncontent-length: 2\r\n\r\nok");
        let address = serve_connections(move |mut stream| {
            let head = head.clone();
            async move {
                read_head(&mut stream).await;
                let _ = stream.write_all(head.as_bytes()).await;
            }
        });
        let error = client().send(address.await, get("/")).await.err().unwrap();
        assert_eq!(error.verdict, RunVerdict::MayHaveRun, "{status}");
        assert!(error.is_malformed, "{status}");
    }
}
