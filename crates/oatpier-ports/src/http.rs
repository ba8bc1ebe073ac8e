//! The adapters that speak HTTP to the outside, as docs/design/platform-interfaces.md lays down.
//!
//! Each turns a failed call into its trait's own error, and never says "nothing happened" of a
//! call that may have been written: the wire's verdict decides that, and a status that no page
//! lays down is taken for the worse.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use oatpier_wire::client::{ClientLimits, HttpClient, SendError};

mod engine;
mod store;
mod vms;
mod work;

pub use engine::HttpEngine;
pub use store::HttpStore;
pub use vms::HttpVmList;
pub use work::{EndpointKind, HttpWork};

/// The longest JSON answer that is read, in bytes.
const JSON_LIMIT: usize = 32 << 20;

/// The most of an error's text that is kept, in characters.
const CAUSE_CHARACTERS: usize = 200;

/// One outside service: where it is, and how long a call to it may take.
pub(crate) struct OutsideService {
    address: SocketAddr,
    timeout: Duration,
    client: HttpClient,
}

impl OutsideService {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            client: HttpClient::new(ClientLimits::default()),
        }
    }

    /// Sends a call and reads the whole answer; `longer` is added to the usual timeout.
    pub(crate) async fn fetch(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        longer: Duration,
    ) -> Result<Response<Bytes>, FetchError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .body(body)
            .map_err(|error| FetchError::Invalid(error.to_string()))?;
        let timeout = self.timeout + longer;
        self.client
            .fetch(self.address, request, timeout, JSON_LIMIT)
            .await
            .map_err(FetchError::Send)
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Response<Bytes>, FetchError> {
        self.fetch(Method::GET, path, Bytes::new(), Duration::ZERO)
            .await
    }
}

/// A call got no answer.
pub(crate) enum FetchError {
    /// The request could not be made.
    Invalid(String),
    /// The call failed on its way.
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

/// What an answer with an unwanted status said.
pub(crate) fn status_cause(response: &Response<Bytes>) -> String {
    let status = response.status();
    let text = String::from_utf8_lossy(response.body());
    let text: String = text.trim().chars().take(CAUSE_CHARACTERS).collect();
    if text.is_empty() {
        format!("it answered {status}")
    } else {
        format!("it answered {status}: {text}")
    }
}

/// Whether a status says for certain that the call had no effect.
pub(crate) fn had_no_effect(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

/// A key as a part of a path: all but unreserved characters, `/` and `:` percent-encoded.
pub(crate) fn encode_key(key: &str) -> String {
    key.bytes().fold(String::new(), |mut path, byte| {
        if byte.is_ascii_alphanumeric() || b"-._~/:".contains(&byte) {
            path.push(char::from(byte));
        } else {
            path.push('%');
            path.push(hex_digit(byte >> 4));
            path.push(hex_digit(byte & 0xf));
        }
        path
    })
}

fn hex_digit(value: u8) -> char {
    char::from_digit(u32::from(value), 16).map_or('0', |digit| digit.to_ascii_uppercase())
}
