//! Tests of the plain service.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use oatpier_ports::endpoint::EndpointClient;
use oatpier_ports::http::{EndpointKind, HttpEndpoint};
use oatpier_standin::clock::StandinClock;
use oatpier_standin::endpoint::LocalEndpoint;
use oatpier_standin::service::{LocalService, ServiceCall, ServiceFaults, start_service};
use oatpier_types::ids::AttemptId;
use oatpier_types::verdict::RunVerdict;

use crate::support::{ANY_PORT, call, endpoint, read_body};

/// The service executes a call and its answer is lost. The sender learns only that the call may have
/// run, and the record shows that it did.
async fn check_calls(work: &dyn EndpointClient, service: &LocalService) {
    let seats = || call(7, "/seats/1?day=2", "{}".to_owned());
    let answer = work.run(seats()).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    let (body, _) = read_body(answer).await;
    let recorded: ServiceCall = serde_json::from_str(&body).unwrap();
    assert_eq!(recorded.path, "/seats/1?day=2");
    assert_eq!(
        (recorded.method.as_str(), recorded.body.as_str()),
        ("POST", "{}")
    );
    assert_eq!(recorded.attempt, AttemptId(7).to_string());
    assert_eq!(recorded.key.as_deref(), Some("key-1"));

    service.set_faults(ServiceFaults {
        lose_answers: 1,
        ..ServiceFaults::default()
    });
    let Err(lost) = work.run(seats()).await else {
        panic!("the answer must be lost");
    };
    assert_eq!(lost.verdict, RunVerdict::MayHaveRun);
    work.cancel(AttemptId(7)).await;
    assert_eq!(service.calls().len(), 2);
    assert_eq!(service.events().len(), 2);
}

#[tokio::test]
async fn a_served_service_records_each_call() {
    let clock = StandinClock::start();
    let running = start_service(ANY_PORT, endpoint(), clock).await.unwrap();
    let timeout = Duration::from_mins(1);
    let work = HttpEndpoint::new(running.address, EndpointKind::Service, timeout);
    check_calls(&work, &running.handle).await;
}

#[tokio::test(start_paused = true)]
async fn a_local_service_records_each_call() {
    let service = Arc::new(LocalService::new(endpoint(), StandinClock::start()));
    let work = LocalEndpoint::service(Arc::clone(&service));
    check_calls(&work, &service).await;
}
