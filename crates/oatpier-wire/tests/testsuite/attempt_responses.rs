//! Tests that the entry detects truncated, malformed and misrouted responses to attempts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::future::BoxFuture;
use futures::{StreamExt, stream};
use http::{Request, StatusCode};
use oatpier_types::ids::AttemptId;
use oatpier_types::refusal::{Refusal, RefusalCause};
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::attempt::{
    ATTEMPT_PATH, AttemptFault, AttemptFrame, AttemptStream, MAX_PIECE_BYTES, TaggedFrame,
    build_response, decode_request,
};
use oatpier_wire::client::ClientLimits;
use oatpier_wire::frame::encode_frame;
use oatpier_wire::peer::PeerClient;
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::{RequestHandler, ServerLimits};

use crate::support::{TestServer, closed_address, head, queue_report, wait_until};

/// An agent that responds to each attempt with the same frames.
struct ScriptedAgent {
    frames: Vec<TaggedFrame>,
}

impl RequestHandler for ScriptedAgent {
    fn handle(
        &self,
        request: Request<Bytes>,
        _caller: std::net::SocketAddr,
    ) -> BoxFuture<'_, Reply> {
        assert_eq!(request.uri().path(), ATTEMPT_PATH);
        assert!(decode_request(request.into_body()).is_ok());
        let mut bytes = BytesMut::new();
        for frame in &self.frames {
            encode_frame(frame, &mut bytes).unwrap();
        }
        let pieces = stream::iter([Ok(bytes.freeze())]);
        Box::pin(async move { reply::streamed(StatusCode::OK, "application/frames", pieces) })
    }
}

fn started() -> AttemptFrame {
    AttemptFrame::Started {
        status: 200,
        headers: Vec::new(),
        report: queue_report(1),
    }
}

fn piece(bytes: &'static [u8]) -> AttemptFrame {
    AttemptFrame::Piece {
        bytes: Bytes::from_static(bytes),
        tokens: 1,
    }
}

fn ended() -> AttemptFrame {
    AttemptFrame::Ended {
        report: queue_report(2),
    }
}

fn peer() -> PeerClient {
    PeerClient::new(ClientLimits::default())
}

async fn open(peer: &PeerClient, frames: Vec<(u128, AttemptFrame)>) -> AttemptStream {
    let frames = frames
        .into_iter()
        .map(|(attempt, frame)| TaggedFrame {
            attempt: AttemptId(attempt),
            frame,
        })
        .collect();
    let server = TestServer::start(ServerLimits::default(), ScriptedAgent { frames }).await;
    let body = Bytes::from_static(b"{}");
    peer.open_attempt(server.address, &head(9), &body)
        .await
        .unwrap()
}

async fn read_to_fault(mut response: AttemptStream) -> AttemptFault {
    loop {
        match response.next().await {
            Ok(frame) => assert!(!frame.is_last(), "the response was reported as complete"),
            Err(error) => {
                assert_eq!(error.verdict, RunVerdict::MayHaveRun);
                return error.fault;
            }
        }
    }
}

#[tokio::test]
async fn complete_response_is_received_and_its_connection_reused() {
    let handler = |request: Request<Bytes>, _| async move {
        let (head, body) = decode_request(request.into_body()).unwrap();
        let piece = AttemptFrame::Piece {
            bytes: body,
            tokens: 3,
        };
        build_response(head.spec.attempt, stream::iter([started(), piece, ended()]))
    };
    let server = TestServer::start(ServerLimits::default(), handler).await;
    let peer = peer();
    let body = Bytes::from(vec![7; MAX_PIECE_BYTES * 2 + 1]);
    for attempt in 0..3 {
        let mut response = peer
            .open_attempt(server.address, &head(attempt), &body)
            .await
            .unwrap();
        assert_eq!(response.next().await, Ok(started()));
        let mut received = BytesMut::new();
        let mut counted = 0;
        while let AttemptFrame::Piece { bytes, tokens } = response.next().await.unwrap() {
            received.extend_from_slice(&bytes);
            counted += tokens;
        }
        assert_eq!(received, body);
        assert_eq!(counted, 3);
        // The connection is returned to the pool when its last chunk has been read.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(server.counters.accepted(), 1);
}

#[tokio::test]
async fn refusal_is_a_valid_response() {
    let refused = AttemptFrame::Refused {
        refusal: Refusal {
            cause: RefusalCause::Leaving,
            retry_after: None,
        },
        report: queue_report(3),
    };
    let mut response = open(&peer(), vec![(9, refused.clone())]).await;
    assert_eq!(response.next().await, Ok(refused));
}

/// The agent crashes after the first token, but the HTTP body ends cleanly. Without a final frame the entry must not
/// treat the response as complete.
#[tokio::test]
async fn response_without_a_final_frame_is_truncated() {
    let response = open(&peer(), vec![(9, started()), (9, piece(b"a"))]).await;
    assert_eq!(read_to_fault(response).await, AttemptFault::Truncated);
}

/// A stream contains frames of another caller's attempt, which would be relayed to the wrong caller. They must be
/// dropped and counted, and the attempt's own frames must still be returned.
#[tokio::test]
async fn frames_of_another_attempt_are_dropped_and_counted() {
    let peer = peer();
    let frames = vec![
        (9, started()),
        (8, piece(b"for someone else")),
        (9, piece(b"own")),
        (8, ended()),
        (9, ended()),
    ];
    let mut response = open(&peer, frames).await;
    assert_eq!(response.next().await, Ok(started()));
    assert_eq!(response.next().await, Ok(piece(b"own")));
    assert_eq!(response.next().await, Ok(ended()));
    assert_eq!(peer.misrouted_frames(), 2);
}

/// A response consists of frames of another attempt only. The entry must neither relay it nor treat its own attempt
/// as ended.
#[tokio::test]
async fn misrouted_response_is_truncated() {
    let peer = peer();
    let response = open(&peer, vec![(8, started()), (8, ended())]).await;
    assert_eq!(read_to_fault(response).await, AttemptFault::Truncated);
    assert_eq!(peer.misrouted_frames(), 2);
}

#[tokio::test]
async fn rejects_frames_out_of_order() {
    let scripts = [
        vec![(9, piece(b"a"))],
        vec![(9, ended())],
        vec![(9, started()), (9, started())],
    ];
    for script in scripts {
        let response = open(&peer(), script).await;
        assert_eq!(read_to_fault(response).await, AttemptFault::OutOfOrder);
    }
}

#[tokio::test]
async fn attempt_on_an_unreachable_agent_is_not_run() {
    let address = closed_address().await;
    let opened = peer().open_attempt(address, &head(9), &Bytes::new()).await;
    assert_eq!(opened.err().unwrap().verdict, RunVerdict::NotRun);
}

/// The agent's address is reused by a process that is not an agent and does not know the path.
#[tokio::test]
async fn attempt_on_a_process_that_is_not_an_agent_is_not_run() {
    let handler = |_, _| async { reply::text(StatusCode::NOT_FOUND, "no such path") };
    let server = TestServer::start(ServerLimits::default(), handler).await;
    let opened = peer()
        .open_attempt(server.address, &head(9), &Bytes::new())
        .await;
    assert_eq!(opened.err().unwrap().verdict, RunVerdict::NotRun);
}

struct SetOnDrop(Arc<AtomicBool>);

impl Drop for SetOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// The caller disconnects in the middle of a stream, so the entry drops the response. The agent's source of frames
/// must be dropped too, which cancels work on a response that is no longer needed.
#[tokio::test]
async fn dropping_a_response_cancels_it_on_the_agent() {
    let dropped = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&dropped);
    let handler = move |request: Request<Bytes>, _| {
        let guard = SetOnDrop(Arc::clone(&flag));
        async move {
            let (head, _) = decode_request(request.into_body()).unwrap();
            let frames = stream::iter([started()]).chain(stream::pending());
            let frames = frames.inspect(move |_| {
                let _held = &guard;
            });
            build_response(head.spec.attempt, frames)
        }
    };
    let server = TestServer::start(ServerLimits::default(), handler).await;
    let peer = peer();
    let mut response = peer
        .open_attempt(server.address, &head(9), &Bytes::new())
        .await
        .unwrap();
    assert_eq!(response.next().await, Ok(started()));
    assert!(!dropped.load(Ordering::SeqCst));
    drop(response);
    wait_until(|| dropped.load(Ordering::SeqCst)).await;
}
