//! HTTP implementations of the interfaces, as specified in docs/design/platform-interfaces.md.
//!
//! Each implementation converts a failed call to the error type of its trait. A call that may have
//! been written to the connection is never reported as without effect: the verdict of the HTTP
//! client decides that, and an unspecified status counts as the worse case.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::{Method, Request, Response};
use bytes::Bytes;
use oatpier_wire::client::{ClientLimits, HttpClient, SendError};

mod endpoint;
mod engine;
mod store;
mod vms;

pub use endpoint::{EndpointKind, HttpEndpoint};
pub use engine::HttpEngine;
pub use store::HttpStore;
pub use vms::HttpVmList;

/// Maximum size of a JSON response, in bytes.
const MAX_JSON_BYTES: usize = 32 << 20;

/// Maximum length of an error text that is kept, in characters.
const MAX_CAUSE_CHARS: usize = 200;

/// An external service: its address and the timeout of its calls.
pub(crate) struct ExternalService {
    address: SocketAddr,
    timeout: Duration,
    client: HttpClient,
}

impl ExternalService {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            client: HttpClient::new(ClientLimits::default()),
        }
    }

    /// Sends a request and reads the whole response. `extra_timeout` is added to the service's
    /// timeout.
    pub(crate) async fn fetch(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        extra_timeout: Duration,
    ) -> Result<Response<Bytes>, FetchError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .body(body)
            .map_err(|error| FetchError::Invalid(error.to_string()))?;
        let timeout = self.timeout + extra_timeout;
        self.client
            .fetch(self.address, request, timeout, MAX_JSON_BYTES)
            .await
            .map_err(FetchError::Send)
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Response<Bytes>, FetchError> {
        self.fetch(Method::GET, path, Bytes::new(), Duration::ZERO)
            .await
    }
}

/// A request that got no response.
pub(crate) enum FetchError {
    /// The request could not be built.
    Invalid(String),
    /// The request could not be sent, or no response arrived.
    Send(SendError),
}

impl FetchError {
    pub(crate) fn cause(&self) -> String {
        match self {
            Self::Invalid(cause) => cause.clone(),
            Self::Send(error) => error.to_string(),
        }
    }
}

/// Returns an error text for a response with an unexpected status.
pub(crate) fn status_cause(response: &Response<Bytes>) -> String {
    let status = response.status();
    let text = String::from_utf8_lossy(response.body());
    let text: String = text.trim().chars().take(MAX_CAUSE_CHARS).collect();
    if text.is_empty() {
        format!("it answered {status}")
    } else {
        format!("it answered {status}: {text}")
    }
}
