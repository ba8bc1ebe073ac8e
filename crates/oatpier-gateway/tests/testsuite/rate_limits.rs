//! Limits that endpoints put on the requests of all gateways.

use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::Request;
use oatpier_serving::site::RouteKind;
use tokio::time::Instant;

use crate::support::{
    EndpointStep, ScriptedEndpoint, TestGateway, own_answer, request, with_headers,
};

/// Requests a second that the endpoint takes.
const RATE: f64 = 2.5;

/// Requests that each gateway's callers send at once.
const CALLERS: usize = 30;

/// Answers that name the limit.
fn limited_answers(count: usize) -> Vec<EndpointStep> {
    let answer = own_answer("200 OK", "done");
    let answer = with_headers(&answer, &[("server-limit", &RATE.to_string())]);
    vec![EndpointStep::Answer(answer); count]
}

fn impatient() -> Request<Bytes> {
    request(&[("x-oatpier-deadline-ms", "600")])
}

/// What the platform allows an endpoint to get within a span.
fn allowed(span: Duration) -> f64 {
    1.5 * RATE * span.as_secs_f64() + 5.0
}

/// Gateways that were told a limit send as before: the endpoint gets what each of them would send alone.
#[tokio::test]
async fn gateways_together_keep_the_limit_that_an_endpoint_names() {
    let endpoint = ScriptedEndpoint::start(limited_answers(3 * CALLERS)).await;
    let gateways = [0, 1].map(|_| TestGateway::before(RouteKind::Unsafe, 1, &[&endpoint]));
    let begun = Instant::now();
    for gateway in &gateways {
        gateway.send(impatient()).await;
    }
    let told = endpoint.requests().len();
    let sending = gateways.iter().flat_map(|gateway| {
        let callers = 0..CALLERS;
        callers.map(|_| gateway.send(impatient()))
    });
    join_all(sending).await;
    let sent = endpoint.requests().len() - told;
    let sent = f64::from(u32::try_from(sent).unwrap());
    let allowed = allowed(begun.elapsed());
    assert!(sent <= allowed, "{sent} requests, allowed {allowed:.1}");
}
