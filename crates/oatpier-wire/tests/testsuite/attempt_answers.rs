//! An attempt's answer reaches the entry whole and its own, or the entry knows that it is not.

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
    ATTEMPT_PATH, AttemptFault, AttemptFrame, AttemptStream, PIECE_LIMIT, TaggedFrame, answer,
    decode_request,
};
use oatpier_wire::client::ClientLimits;
use oatpier_wire::frame::encode_frame;
use oatpier_wire::peer::PeerClient;
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::{RequestHandler, ServerLimits};

use crate::support::{TestServer, closed_address, head, queue_report, until};

/// An agent that answers each attempt with the same frames.
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

async fn fault_of(mut answer: AttemptStream) -> AttemptFault {
    loop {
        match answer.next().await {
            Ok(frame) => assert!(!frame.is_last(), "the answer passed for whole"),
            Err(error) => {
                assert_eq!(error.verdict, RunVerdict::MayHaveRun);
                return error.fault;
            }
        }
    }
}

#[tokio::test]
async fn a_whole_answer_comes_and_its_connection_is_reused() {
    let handler = |request: Request<Bytes>, _| async move {
        let (head, body) = decode_request(request.into_body()).unwrap();
        let piece = AttemptFrame::Piece {
            bytes: body,
            tokens: 3,
        };
        answer(head.spec.attempt, stream::iter([started(), piece, ended()]))
    };
    let server = TestServer::start(ServerLimits::default(), handler).await;
    let peer = peer();
    let body = Bytes::from(vec![7; PIECE_LIMIT * 2 + 1]);
    for attempt in 0..3 {
        let mut answer = peer
            .open_attempt(server.address, &head(attempt), &body)
            .await
            .unwrap();
        assert_eq!(answer.next().await, Ok(started()));
        let mut received = BytesMut::new();
        let mut counted = 0;
        while let AttemptFrame::Piece { bytes, tokens } = answer.next().await.unwrap() {
            received.extend_from_slice(&bytes);
            counted += tokens;
        }
        assert_eq!(received, body);
        assert_eq!(counted, 3);
        // The connection goes back to the pool when its last chunk has been read.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(server.counters.accepted(), 1);
}

#[tokio::test]
async fn a_refusal_is_an_answer() {
    let refused = AttemptFrame::Refused {
        refusal: Refusal {
            cause: RefusalCause::Leaving,
            retry_after: None,
        },
        report: queue_report(3),
    };
    let mut answer = open(&peer(), vec![(9, refused.clone())]).await;
    assert_eq!(answer.next().await, Ok(refused));
}

/// The agent dies behind a clean end of the HTTP body, after the first token. Without a last
/// frame the entry must not take the answer for whole.
#[tokio::test]
async fn an_answer_without_its_last_frame_is_cut() {
    let answer = open(&peer(), vec![(9, started()), (9, piece(b"a"))]).await;
    assert_eq!(fault_of(answer).await, AttemptFault::Cut);
}

/// A frame of another caller's attempt turns up in this one's stream, and would be shown to the
/// wrong caller. It is dropped and counted, and the own frames go on.
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
    let mut answer = open(&peer, frames).await;
    assert_eq!(answer.next().await, Ok(started()));
    assert_eq!(answer.next().await, Ok(piece(b"own")));
    assert_eq!(answer.next().await, Ok(ended()));
    assert_eq!(peer.crossed_frames(), 2);
}

/// A wholly crossed answer carries the end of another attempt. The entry must neither relay it
/// nor believe that its own attempt ended.
#[tokio::test]
async fn a_crossed_answer_ends_as_cut() {
    let peer = peer();
    let answer = open(&peer, vec![(8, started()), (8, ended())]).await;
    assert_eq!(fault_of(answer).await, AttemptFault::Cut);
    assert_eq!(peer.crossed_frames(), 2);
}

#[tokio::test]
async fn frames_out_of_order_are_refused() {
    let scripts = [
        vec![(9, piece(b"a"))],
        vec![(9, ended())],
        vec![(9, started()), (9, started())],
    ];
    for script in scripts {
        let answer = open(&peer(), script).await;
        assert_eq!(fault_of(answer).await, AttemptFault::Disordered);
    }
}

#[tokio::test]
async fn an_agent_that_is_gone_did_not_run_it() {
    let address = closed_address().await;
    let opened = peer().open_attempt(address, &head(9), &Bytes::new()).await;
    assert_eq!(opened.err().unwrap().verdict, RunVerdict::NotRun);
}

/// A process restarts as something else and its address is reused: it knows no such path.
#[tokio::test]
async fn a_process_that_is_no_agent_did_not_run_it() {
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

/// The caller goes away in the middle of a stream, so the entry drops the answer. The agent's
/// source of frames is dropped, which cancels the work: nobody pays for an answer unread.
#[tokio::test]
async fn dropping_an_answer_reaches_the_agent() {
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
            answer(head.spec.attempt, frames)
        }
    };
    let server = TestServer::start(ServerLimits::default(), handler).await;
    let peer = peer();
    let mut answer = peer
        .open_attempt(server.address, &head(9), &Bytes::new())
        .await
        .unwrap();
    assert_eq!(answer.next().await, Ok(started()));
    assert!(!dropped.load(Ordering::SeqCst));
    drop(answer);
    until(|| dropped.load(Ordering::SeqCst)).await;
}
