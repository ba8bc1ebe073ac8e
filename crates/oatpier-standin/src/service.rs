//! A stand-in for a plain service, which records each call.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Response, StatusCode};
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::names::EndpointName;
use serde::{Deserialize, Serialize};

use crate::answer::key_hash;
use crate::clock::StandinClock;
use crate::serve::{
    Answer, AnswerBody, BufferedRequest, CallerIds, DropConnection, RequestHandler, RunningServer,
    empty, json, not_found, start,
};

/// A call that the service executed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceCall {
    /// Sequence number of the call, starting at 1.
    pub number: u64,
    /// The method, in upper case.
    pub method: String,
    /// The path, with the query.
    pub path: String,
    /// The body as text.
    pub body: String,
    /// The attempt (`x-request-id`), 32 hex digits.
    pub attempt: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
}

/// Faults that the service injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceFaults {
    /// Drops each connection, and executes no call.
    pub down: bool,
    /// Time between executing a call and answering it, in milliseconds.
    pub delay_ms: u64,
    /// Number of next calls that are executed and lose their answer.
    pub lose_answers: u32,
    /// Answers `500` after executing a call.
    pub fail: bool,
}

#[derive(Debug, Default)]
struct ServiceShared {
    faults: ServiceFaults,
    calls: Vec<ServiceCall>,
    events: Vec<LoggedEvent>,
}

/// A plain service. It answers each call with its [`ServiceCall`] as JSON.
#[derive(Debug)]
pub struct LocalService {
    endpoint: EndpointName,
    clock: StandinClock,
    shared: Mutex<ServiceShared>,
}

impl LocalService {
    /// Creates a service with this name.
    #[must_use]
    pub fn new(endpoint: EndpointName, clock: StandinClock) -> Self {
        Self {
            endpoint,
            clock,
            shared: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ServiceShared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().faults = faults;
    }

    /// Returns the calls that were executed.
    #[must_use]
    pub fn calls(&self) -> Vec<ServiceCall> {
        self.lock().calls.clone()
    }

    /// Returns the events recorded so far.
    #[must_use]
    pub fn events(&self) -> Vec<LoggedEvent> {
        self.lock().events.clone()
    }

    fn execute(&self, request: &BufferedRequest) -> ServiceCall {
        let ids = CallerIds::of(request);
        let key = request.header("idempotency-key");
        let event = FleetEvent::RunStarted {
            request: ids.request,
            attempt: ids.attempt,
            endpoint: self.endpoint.clone(),
            key: key.map(key_hash),
        };
        let at = self.clock.now();
        let mut shared = self.lock();
        let call = ServiceCall {
            number: shared.calls.len() as u64 + 1,
            method: request.method.clone(),
            path: request.path_and_query(),
            body: String::from_utf8_lossy(&request.body).into_owned(),
            attempt: ids.attempt.to_string(),
            key: key.map(str::to_owned),
        };
        shared.calls.push(call.clone());
        shared.events.push(LoggedEvent { at, event });
        call
    }

    async fn call(&self, request: &BufferedRequest) -> Answer {
        if self.lock().faults.down {
            return Err(DropConnection);
        }
        if request.path == "/health" {
            return Ok(empty(StatusCode::OK));
        }
        let call = self.execute(request);
        let (faults, is_answer_lost) = {
            let mut shared = self.lock();
            let is_answer_lost = shared.faults.lose_answers > 0;
            shared.faults.lose_answers = shared.faults.lose_answers.saturating_sub(1);
            (shared.faults, is_answer_lost)
        };
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if is_answer_lost {
            return Err(DropConnection);
        }
        let status = if faults.fail {
            StatusCode::INTERNAL_SERVER_ERROR
        } else {
            StatusCode::OK
        };
        Ok(json(status, &call))
    }

    fn control(&self, rest: &str, request: &BufferedRequest) -> Response<AnswerBody> {
        match (request.method.as_str(), rest) {
            ("GET", "calls") => json(StatusCode::OK, &self.calls()),
            ("GET", "events") => json(StatusCode::OK, &self.events()),
            ("POST", "faults") => match request.json() {
                Ok(faults) => {
                    self.set_faults(faults);
                    empty(StatusCode::NO_CONTENT)
                }
                Err(response) => *response,
            },
            _ => not_found(),
        }
    }
}

impl RequestHandler for LocalService {
    fn handle(self: Arc<Self>, request: BufferedRequest) -> BoxFuture<'static, Answer> {
        async move {
            match request.path.strip_prefix("/standin/") {
                Some(rest) => Ok(self.control(rest, &request)),
                None => self.call(&request).await,
            }
        }
        .boxed()
    }
}

/// Serves a plain service.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start_service(
    address: SocketAddr,
    endpoint: EndpointName,
    clock: StandinClock,
) -> std::io::Result<RunningServer<LocalService>> {
    start(address, Arc::new(LocalService::new(endpoint, clock))).await
}
