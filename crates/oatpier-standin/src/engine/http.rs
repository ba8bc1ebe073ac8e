//! The HTTP server around a [`LocalEngine`].

use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::{HeaderValue, Response, StatusCode};
use oatpier_ports::endpoint::NOT_EXECUTED_HEADER;
use oatpier_ports::engine::OrderError;
use oatpier_types::engine::EngineOrder;
use oatpier_types::ids::{AttemptId, OrderNumber};
use serde::Serialize;

use super::completion::{CompletionBody, full_answer, streamed_answer};
use super::{EngineOptions, LocalEngine, OutputKind, RunStream, SubmitError};
use crate::clock::StandinClock;
use crate::serve::{
    Answer, AnswerBody, BufferedRequest, CallerIds, DropConnection, RequestHandler, RunningServer,
    empty, json, not_found, plain, start,
};
use crate::weights::SharedWeights;

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelRow>,
}

#[derive(Serialize)]
struct ModelRow {
    id: String,
    object: &'static str,
}

#[derive(Serialize)]
struct StaleAnswer {
    highest: OrderNumber,
}

#[derive(Serialize)]
struct MemoryAnswer {
    used_mib: u64,
    memory_mib: u64,
    overcommits: u64,
}

/// Serves an engine.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start_engine(
    address: SocketAddr,
    options: EngineOptions,
    store: SharedWeights,
    clock: StandinClock,
) -> std::io::Result<RunningServer<LocalEngine>> {
    start(address, LocalEngine::start(options, store, clock)).await
}

impl RequestHandler for LocalEngine {
    fn handle(self: Arc<Self>, request: BufferedRequest) -> BoxFuture<'static, Answer> {
        async move { answer(&self, &request).await }.boxed()
    }
}

async fn answer(engine: &Arc<LocalEngine>, request: &BufferedRequest) -> Answer {
    if let Some(rest) = request.path.strip_prefix("/standin/") {
        return Ok(control(engine, rest, request));
    }
    engine.check_up().map_err(|_| DropConnection)?;
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/v1/chat/completions") => complete(engine, request, true).await,
        ("POST", "/v1/completions") => complete(engine, request, false).await,
        ("POST", "/orders") => order(engine, request),
        ("GET", _) => Ok(report(engine, request)),
        ("DELETE", path) => Ok(cancel(engine, path)),
        _ => Ok(not_found()),
    }
}

fn report(engine: &LocalEngine, request: &BufferedRequest) -> Response<AnswerBody> {
    engine.with_core(|core, now| match request.path.as_str() {
        "/health" => empty(StatusCode::OK),
        "/state" => json(StatusCode::OK, &core.state()),
        "/load" => json(StatusCode::OK, &core.load(now)),
        "/cache-events" => json(
            StatusCode::OK,
            &core.cache_events(now, request.number("after")),
        ),
        "/v1/models" => json(StatusCode::OK, &model_list(core.served_names())),
        _ => not_found(),
    })
}

fn model_list(names: Vec<String>) -> ModelList {
    let row = |id| ModelRow {
        id,
        object: "model",
    };
    ModelList {
        object: "list",
        data: names.into_iter().map(row).collect(),
    }
}

fn cancel(engine: &LocalEngine, path: &str) -> Response<AnswerBody> {
    let attempt = path
        .strip_prefix("/v1/requests/")
        .and_then(|id| u128::from_str_radix(id, 16).ok());
    match attempt {
        Some(attempt) => {
            engine.cancel_attempt(AttemptId(attempt));
            empty(StatusCode::NO_CONTENT)
        }
        None => not_found(),
    }
}

fn order(engine: &LocalEngine, request: &BufferedRequest) -> Answer {
    let order: EngineOrder = match request.json() {
        Ok(order) => order,
        Err(response) => return Ok(*response),
    };
    match engine.with_core(|core, now| core.order(now, &order)) {
        Ok(()) => Ok(empty(StatusCode::ACCEPTED)),
        Err(OrderError::Stale { highest }) => {
            Ok(json(StatusCode::CONFLICT, &StaleAnswer { highest }))
        }
        Err(OrderError::Refused { cause }) => Ok(plain(StatusCode::UNPROCESSABLE_ENTITY, cause)),
        Err(OrderError::NotSent { .. } | OrderError::Unknown { .. }) => Err(DropConnection),
    }
}

async fn complete(engine: &Arc<LocalEngine>, request: &BufferedRequest, chat: bool) -> Answer {
    let body: CompletionBody = match request.json() {
        Ok(body) => body,
        Err(response) => return Ok(*response),
    };
    let (engine_request, format) = body.into_request(request, chat);
    let streamed = format.stream;
    let failure = engine.with_core(|core, _| core.take_failure());
    match engine.submit(engine_request) {
        Ok(stream) if failure.is_some() => Ok(failed_answer(stream, failure).await),
        Ok(stream) if streamed => Ok(streamed_answer(format, stream)),
        Ok(stream) => full_answer(format, stream).await,
        Err(error) => Ok(refusal(error, request)),
    }
}

/// Lets a run end, and returns an error instead of its output.
async fn failed_answer(mut run: RunStream, status: Option<u16>) -> Response<AnswerBody> {
    while let Some(OutputKind::Token(_)) = run.next().await {}
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    plain(status, "the run failed")
}

/// Returns the answer to a request that the engine refuses, with the statement that it did not run.
fn refusal(error: SubmitError, request: &BufferedRequest) -> Response<AnswerBody> {
    let mut answer = match error {
        SubmitError::NotReady => plain(StatusCode::NOT_FOUND, "the model is not ready"),
        SubmitError::QueueFull => plain(StatusCode::TOO_MANY_REQUESTS, "too many wait"),
        SubmitError::PrefillOnly => plain(StatusCode::SERVICE_UNAVAILABLE, "wrong role"),
    };
    let attempt = CallerIds::of(request).attempt.to_string();
    if let Ok(attempt) = HeaderValue::try_from(attempt) {
        answer.headers_mut().insert(NOT_EXECUTED_HEADER, attempt);
    }
    answer
}

fn control(engine: &LocalEngine, rest: &str, request: &BufferedRequest) -> Response<AnswerBody> {
    match (request.method.as_str(), rest) {
        ("POST", "faults") => match request.json() {
            Ok(faults) => {
                engine.set_faults(faults);
                empty(StatusCode::NO_CONTENT)
            }
            Err(response) => *response,
        },
        ("GET", _) => engine.with_core(|core, _| match rest {
            "faults" => json(StatusCode::OK, &core.faults()),
            "runs" => json(StatusCode::OK, &core.runs()),
            "events" => json(StatusCode::OK, &core.events()),
            "memory" => json(
                StatusCode::OK,
                &MemoryAnswer {
                    used_mib: core.used_mib(),
                    memory_mib: core.options().memory_mib,
                    overcommits: core.overcommits(),
                },
            ),
            _ => not_found(),
        }),
        _ => not_found(),
    }
}
