//! What the status of a gateway's own response promises, over all ways in which attempts can end.

use http::StatusCode;
use oatpier_serving::site::RouteKind;

use crate::support::{
    EndpointStep, REQUEST_ID, ScriptedEndpoint, TestGateway, endpoint_response,
    not_executed_response, other_instance_response, request,
};

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
    Silence,
}

const ENDINGS: [AttemptEnding; 13] = [
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
            Self::Silence => EndpointStep::Silence,
        }
    }
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
