//! An engine or plain service as an [`EndpointClient`], without sockets.

use std::sync::Arc;

use futures::future::BoxFuture;
use futures::{FutureExt, StreamExt};
use http::{HeaderValue, StatusCode};
use http_body_util::BodyExt;
use oatpier_ports::endpoint::{CallError, EndpointAnswer, EndpointCall, EndpointClient};
use oatpier_types::ids::AttemptId;
use oatpier_types::verdict::RunVerdict;

use crate::engine::LocalEngine;
use crate::serve::{Answer, BufferedRequest, DropConnection, RequestHandler};
use crate::service::LocalService;

/// Calls a stand-in in process instead of through its HTTP server, so that a test with a paused
/// clock gets the same answers and faults. A dropped connection is reported as "may have run", also
/// if the stand-in did nothing.
pub struct LocalEndpoint<H> {
    handler: Arc<H>,
    /// Whether the endpoint supports cancels. A plain service would treat a cancel as a call.
    supports_cancel: bool,
}

impl LocalEndpoint<LocalEngine> {
    /// Creates an [`EndpointClient`] that calls an engine.
    #[must_use]
    pub fn engine(engine: Arc<LocalEngine>) -> Self {
        Self {
            handler: engine,
            supports_cancel: true,
        }
    }
}

impl LocalEndpoint<LocalService> {
    /// Creates an [`EndpointClient`] that calls a plain service.
    #[must_use]
    pub fn service(service: Arc<LocalService>) -> Self {
        Self {
            handler: service,
            supports_cancel: false,
        }
    }
}

impl<H: RequestHandler> LocalEndpoint<H> {
    fn send(&self, method: &str, path: &str) -> BoxFuture<'static, Answer> {
        let request = BufferedRequest {
            method: method.to_owned(),
            path: path.to_owned(),
            ..BufferedRequest::default()
        };
        Arc::clone(&self.handler).handle(request)
    }
}

fn to_request(call: EndpointCall) -> BufferedRequest {
    let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
    let mut headers = call.headers;
    headers.insert("x-priority", HeaderValue::from(call.priority));
    headers.insert("x-resume-after", HeaderValue::from(call.resume_after));
    if let Ok(attempt) = HeaderValue::try_from(call.attempt.to_string()) {
        headers.insert("x-request-id", attempt);
    }
    BufferedRequest {
        method: call.method.as_str().to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body: call.body,
    }
}

fn call_error(dropped: DropConnection) -> CallError {
    CallError {
        verdict: RunVerdict::MayHaveRun,
        cause: dropped.to_string(),
    }
}

impl<H: RequestHandler> EndpointClient for LocalEndpoint<H> {
    fn run(&self, call: EndpointCall) -> BoxFuture<'_, Result<EndpointAnswer, CallError>> {
        let answer = Arc::clone(&self.handler).handle(to_request(call));
        async move {
            let (parts, body) = answer.await.map_err(call_error)?.into_parts();
            let pieces = body.into_data_stream();
            Ok(EndpointAnswer {
                status: parts.status,
                headers: parts.headers,
                body: pieces.map(|piece| piece.map_err(call_error)).boxed(),
            })
        }
        .boxed()
    }

    fn cancel(&self, attempt: AttemptId) -> BoxFuture<'_, ()> {
        if !self.supports_cancel {
            return futures::future::ready(()).boxed();
        }
        let answer = self.send("DELETE", &format!("/v1/requests/{attempt}"));
        answer.map(drop).boxed()
    }

    fn probe(&self) -> BoxFuture<'_, bool> {
        let answer = self.send("GET", "/health");
        answer
            .map(|answer| answer.is_ok_and(|response| response.status() == StatusCode::OK))
            .boxed()
    }
}
