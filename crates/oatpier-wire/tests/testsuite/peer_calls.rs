//! Tests of calls between processes: messages, errors and traffic counters.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::attempt::{CancelAttempt, CancelResponse, CancelScope};
use oatpier_wire::client::ClientLimits;
use oatpier_wire::peer::{PeerClient, decode_message};
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::ServerLimits;

use crate::support::{TestServer, closed_address, head};

const TIMEOUT: Duration = Duration::from_secs(10);

fn respond(request: &Request<Bytes>) -> Reply {
    match request.uri().path() {
        "/agent/cancel" => match decode_message::<CancelAttempt>(request.body()) {
            Ok(_) => reply::message(&CancelResponse {
                verdict: RunVerdict::NotRun,
            }),
            Err(error) => reply::text(StatusCode::BAD_REQUEST, error.to_string()),
        },
        "/garbled" => reply::text(StatusCode::OK, "\u{7f}"),
        "/broken" => reply::text(StatusCode::INTERNAL_SERVER_ERROR, "it broke"),
        _ => reply::text(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn server() -> TestServer {
    let handler = |request: Request<Bytes>, _| async move { respond(&request) };
    TestServer::start(ServerLimits::default(), handler).await
}

#[tokio::test]
async fn cancellation_succeeds_and_its_bytes_are_counted() {
    let server = server().await;
    let peer = PeerClient::new(ClientLimits::default());
    let cancel = CancelAttempt {
        attempt: AttemptId(1),
        request: RequestId(2),
        ticket: head(1).ticket,
        scope: CancelScope::SealOnly,
    };
    let response = peer.cancel_attempt(server.address, &cancel, TIMEOUT).await;
    assert_eq!(response.unwrap().verdict, RunVerdict::NotRun);
    let traffic = peer.control_traffic();
    assert_eq!(traffic.sent(), server.counters.traffic.received());
    assert_eq!(traffic.received(), server.counters.traffic.sent());
    assert!(traffic.sent() > 0);
    assert_eq!(peer.attempt_traffic().sent(), 0);
}

#[tokio::test]
async fn errors_tell_whether_the_call_may_have_been_executed() {
    let server = server().await;
    let peer = PeerClient::new(ClientLimits::default());
    let closed = closed_address().await;
    let cases = [
        (closed, "/agent/cancel", RunVerdict::NotRun),
        (server.address, "/agent/cancel", RunVerdict::NotRun),
        (server.address, "/nowhere", RunVerdict::NotRun),
        (server.address, "/no path", RunVerdict::NotRun),
        (server.address, "/broken", RunVerdict::MayHaveRun),
        (server.address, "/garbled", RunVerdict::MayHaveRun),
    ];
    for (address, path, verdict) in cases {
        let error = peer
            .call::<_, CancelResponse>(address, path, "no such message", TIMEOUT)
            .await
            .unwrap_err();
        assert_eq!(error.verdict(), verdict, "{path}: {error}");
        assert_eq!(error.to_string().ends_with(": it broke"), path == "/broken");
    }
}
