//! What the status of a gateway's own response promises, over all ways in which attempts can end.

use http::StatusCode;
use oatpier_serving::site::RouteKind;

use crate::support::{
    EndpointStep, REQUEST_ID, STREAM, ScriptedEndpoint, TestGateway, endpoint_response,
    not_executed_response, other_instance_response, request,
};

/// Statuses that promise callers that a request has not run, of endpoints that do not state so.
const UNSTATED_FAILURES: [&str; 3] = [
    "408 Request Timeout",
    "429 Too Many Requests",
    "503 Service Unavailable",
];

/// How an attempt ends at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptEnding {
    NotExecuted,
    WeightsMissing,
    OtherInstance,
    ConnectionClosed,
    ResponseTruncated,
    ResponseUnstamped,
    ResponseOfAnother,
    RefusalOfAnother,
    MisdirectionOfAnother,
    RateLimitOfAnother,
    UnnamedRefusal,
    ServerError,
    UnstatedTimeout,
    UnstatedRateLimit,
    UnstatedOverload,
    Silence,
}

const ENDINGS: [AttemptEnding; 16] = [
    AttemptEnding::NotExecuted,
    AttemptEnding::WeightsMissing,
    AttemptEnding::OtherInstance,
    AttemptEnding::ConnectionClosed,
    AttemptEnding::ResponseTruncated,
    AttemptEnding::ResponseUnstamped,
    AttemptEnding::ResponseOfAnother,
    AttemptEnding::RefusalOfAnother,
    AttemptEnding::MisdirectionOfAnother,
    AttemptEnding::RateLimitOfAnother,
    AttemptEnding::UnnamedRefusal,
    AttemptEnding::ServerError,
    AttemptEnding::UnstatedTimeout,
    AttemptEnding::UnstatedRateLimit,
    AttemptEnding::UnstatedOverload,
    AttemptEnding::Silence,
];

impl AttemptEnding {
    /// Returns whether the endpoint may have run the request.
    fn may_have_run(self) -> bool {
        !matches!(
            self,
            Self::NotExecuted | Self::WeightsMissing | Self::OtherInstance
        )
    }

    fn step(self) -> EndpointStep {
        let complete = endpoint_response("200 OK", "world");
        match self {
            Self::NotExecuted => {
                EndpointStep::Answer(not_executed_response("503 Service Unavailable"))
            }
            Self::WeightsMissing => {
                EndpointStep::Answer(not_executed_response("421 Misdirected Request"))
            }
            Self::OtherInstance => EndpointStep::Answer(other_instance_response("i-new")),
            Self::ConnectionClosed => EndpointStep::Close,
            Self::ResponseTruncated => EndpointStep::AnswerAndClose(
                complete.replace("content-length: 5", "content-length: 50"),
            ),
            Self::ResponseUnstamped => {
                EndpointStep::Answer(complete.replace("x-oatpier-response-stamp", "x-other"))
            }
            Self::ResponseOfAnother => {
                EndpointStep::Answer(complete.replace(REQUEST_ID, "another"))
            }
            Self::RefusalOfAnother => EndpointStep::Answer(refusal_of_another("503 Unavailable")),
            Self::MisdirectionOfAnother => EndpointStep::Answer(
                other_instance_response("i-new").replace(REQUEST_ID, "another"),
            ),
            Self::RateLimitOfAnother => {
                EndpointStep::Answer(refusal_of_another("429 Too Many Requests"))
            }
            Self::UnnamedRefusal => EndpointStep::Answer(
                not_executed_response("503 Unavailable").replace("x-oatpier-request-id", "x-other"),
            ),
            Self::ServerError => {
                EndpointStep::Answer(endpoint_response("500 Internal Server Error", "failed"))
            }
            Self::UnstatedTimeout => unstated_failure(UNSTATED_FAILURES[0]),
            Self::UnstatedRateLimit => unstated_failure(UNSTATED_FAILURES[1]),
            Self::UnstatedOverload => unstated_failure(UNSTATED_FAILURES[2]),
            Self::Silence => EndpointStep::Silence,
        }
    }
}

fn unstated_failure(status: &str) -> EndpointStep {
    EndpointStep::Answer(endpoint_response(status, "failed"))
}

fn refusal_of_another(status: &str) -> String {
    not_executed_response(status).replace(REQUEST_ID, "another")
}

/// Returns whether a status promises that the request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Guards against a promise that the request has not run after an endpoint may have run it, which makes the caller send
/// it again.
#[tokio::test]
async fn no_response_promises_not_run_after_the_request_may_have_run() {
    let kinds = [
        RouteKind::Unsafe,
        RouteKind::Stream {
            resumable: false,
            pause: std::time::Duration::from_millis(150),
        },
    ];
    for kind in kinds {
        for first in ENDINGS {
            for second in ENDINGS {
                check_promise(kind, first, second).await;
            }
        }
    }
}

async fn check_promise(kind: RouteKind, first: AttemptEnding, second: AttemptEnding) {
    let endpoints = [
        ScriptedEndpoint::start(vec![first.step(); 3]).await,
        ScriptedEndpoint::start(vec![second.step(); 3]).await,
    ];
    let gateway = TestGateway::with_endpoints(kind, 2, &[&endpoints[0], &endpoints[1]]);
    let answer = gateway
        .reply(request(&[("x-oatpier-deadline-ms", "100")]))
        .await;
    let has_run = endpoints
        .iter()
        .zip([first, second])
        .any(|(endpoint, ending)| !endpoint.requests().is_empty() && ending.may_have_run());
    let status = answer.status();
    assert!(
        !(has_run && promises_not_run(status)),
        "{status} after {first:?} and {second:?}"
    );
}

/// Guards against a promise that the endpoint never gave: it ran the request and failed with a status that tells callers
/// that nothing ran.
#[tokio::test]
async fn a_failure_that_does_not_state_that_the_request_did_not_run_is_no_promise() {
    for kind in [RouteKind::Unsafe, STREAM] {
        for status in UNSTATED_FAILURES {
            let endpoint = ScriptedEndpoint::start(vec![unstated_failure(status)]).await;
            let gateway = TestGateway::with_endpoints(kind, 2, &[&endpoint]);
            let answer = gateway.send(request(&[])).await;
            assert_eq!(
                answer.status(),
                StatusCode::BAD_GATEWAY,
                "{kind:?}: {status}"
            );
            let headers = answer.headers();
            assert!(
                !headers.contains_key("x-oatpier-response-stamp"),
                "{status}"
            );
            assert!(!headers.contains_key("retry-after"), "{status}");
        }
    }
}

/// Guards against a request that may run twice being answered with such a failure while another endpoint can serve it.
#[tokio::test]
async fn an_idempotent_request_is_retried_after_a_failure_that_states_nothing() {
    for status in UNSTATED_FAILURES {
        let step = unstated_failure(status);
        let failing = ScriptedEndpoint::start(vec![step.clone(); 2]).await;
        let complete = EndpointStep::Answer(endpoint_response("200 OK", "world"));
        let other = ScriptedEndpoint::start(vec![complete.clone(), complete]).await;
        let gateway = TestGateway::with_endpoints(RouteKind::Safe, 2, &[&failing, &other]);
        for _ in 0..2 {
            let answer = gateway.send(request(&[])).await;
            assert_eq!(answer.status(), StatusCode::OK, "{status}");
        }
    }
}

/// Guards against a safe request whose caller is promised, after its last attempt, that it has not run.
#[tokio::test]
async fn an_idempotent_request_that_fails_everywhere_gets_no_promise() {
    for status in UNSTATED_FAILURES {
        let step = unstated_failure(status);
        let endpoint = ScriptedEndpoint::start(vec![step]).await;
        let gateway = TestGateway::with_endpoints(RouteKind::Safe, 1, &[&endpoint]);
        let answer = gateway.send(request(&[])).await;
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "{status}");
    }
}

/// Guards against an idempotent request that waits for the rest of such a failure until its deadline.
#[tokio::test]
async fn a_failure_that_states_nothing_is_not_read_to_its_end() {
    let stalled = endpoint_response("503 Service Unavailable", "failed")
        .replace("content-length: 6", "content-length: 600");
    let failing = ScriptedEndpoint::start(vec![EndpointStep::Answer(stalled); 2]).await;
    let complete = EndpointStep::Answer(endpoint_response("200 OK", "world"));
    let other = ScriptedEndpoint::start(vec![complete.clone(), complete]).await;
    let gateway = TestGateway::with_endpoints(RouteKind::Safe, 2, &[&failing, &other]);
    for _ in 0..2 {
        let answer = gateway
            .send(request(&[("x-oatpier-deadline-ms", "2000")]))
            .await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
}
