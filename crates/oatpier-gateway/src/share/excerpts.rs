//! Questions between gateways about what they know of the store.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Method, Request, StatusCode, Uri};
use oatpier_duty::duty::RingSender;
use oatpier_serving::reads::{ExcerptFetch, ExcerptQuery, StoreExcerpt};
use oatpier_types::errors::error_chain;
use oatpier_wire::client::{HttpClient, SendError};
use oatpier_wire::reply::{self, Reply};
use thiserror::Error;
use tokio::sync::oneshot;

use super::{REGISTRY_PATH, encoded};

/// Timeout of a question. Answers are small unless the whole registry is needed.
const EXCERPT_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum size of an answer, in bytes: the registry of ten thousand endpoints.
const MAX_EXCERPT_BYTES: usize = 8 << 20;

/// A question of another gateway, and where its answer goes.
#[derive(Debug)]
pub struct ExcerptRequest {
    /// What the other gateway knows already.
    pub query: ExcerptQuery,
    /// Takes the answer; `None` if nothing is known here.
    pub reply: oneshot::Sender<Option<StoreExcerpt>>,
}

/// An error while asking another gateway.
#[derive(Debug)]
#[derive(Error)]
pub enum ExcerptError {
    /// The question can't be encoded.
    #[error("the question can't be encoded")]
    Query(#[from] rmp_serde::encode::Error),
    /// The call failed.
    #[error("the gateway could not be reached")]
    Call(#[from] SendError),
    /// The gateway did not answer the question.
    #[error("the gateway responded with status {status}; it may know nothing of the store")]
    Refused {
        /// The status of the response.
        status: StatusCode,
    },
    /// The answer is malformed.
    #[error("the gateway's answer is malformed")]
    Malformed(#[from] rmp_serde::decode::Error),
}

/// Answers a question of another gateway.
pub(super) async fn answer(requests: &RingSender<ExcerptRequest>, body: &Bytes) -> Reply {
    let query = match rmp_serde::from_slice(body) {
        Ok(query) => query,
        Err(error) => {
            spdlog::warn!("failed to decode a question of another gateway", kv: { reason: = error_chain(&error) });
            return reply::text(StatusCode::BAD_REQUEST, "malformed question\n");
        }
    };
    let (reply, answered) = oneshot::channel();
    if requests.try_send(ExcerptRequest { query, reply }).is_err() {
        return reply::text(StatusCode::SERVICE_UNAVAILABLE, "too many questions\n");
    }
    match answered.await {
        Ok(Some(excerpt)) => encoded(&excerpt),
        Ok(None) | Err(_) => reply::text(StatusCode::SERVICE_UNAVAILABLE, "nothing is known yet\n"),
    }
}

/// Asks another gateway.
///
/// # Errors
///
/// Returns an error if the call fails, or the other gateway does not answer the question.
pub async fn fetch_excerpt(
    client: &HttpClient,
    fetch: &ExcerptFetch,
) -> Result<StoreExcerpt, ExcerptError> {
    let mut request = Request::new(Bytes::from(rmp_serde::to_vec(&fetch.query)?));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(REGISTRY_PATH);
    // All gateways of a zone ask the same one, and rarely. Open connections would keep others out.
    let close = HeaderValue::from_static("close");
    request.headers_mut().insert(CONNECTION, close);
    let response = client
        .fetch(fetch.peer, request, EXCERPT_TIMEOUT, MAX_EXCERPT_BYTES)
        .await?;
    match response.status() {
        StatusCode::OK => Ok(rmp_serde::from_slice(response.body())?),
        status => Err(ExcerptError::Refused { status }),
    }
}
