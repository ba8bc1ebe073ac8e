//! The key-value service over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::{Method, Response, StatusCode};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::future::BoxFuture;
use oatpier_types::ids::Revision;
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::percent;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{ExternalService, FetchError, status_cause};
use crate::store::{ExpectedValue, KeyChange, KeyStore, LeaseId, StoreError, StoredValue};

/// Header with the revision of a value.
const REVISION_HEADER: &str = "x-revision";

/// A client of the key-value service at an address.
pub struct HttpStore {
    service: ExternalService,
}

impl HttpStore {
    /// Creates a client of the service at `address`. `timeout` bounds each call; a watch may take
    /// the time that it waits in addition.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            service: ExternalService::new(address, timeout),
        }
    }

    async fn read(
        &self,
        path: &str,
        extra_timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        self.service
            .fetch(Method::GET, path, Bytes::new(), extra_timeout)
            .await
            .map_err(|error| unavailable(error.cause()))
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        value: Bytes,
    ) -> Result<Response<Bytes>, StoreError> {
        self.service
            .fetch(method, path, value, Duration::ZERO)
            .await
            .map_err(|error| write_error(&error))
    }

    async fn put_value(
        &self,
        key: &str,
        value: Bytes,
        expected: ExpectedValue,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        let lease = lease.map_or(String::new(), |lease| format!("&lease={}", lease.0));
        let path = format!(
            "/kv/{}?{}{lease}",
            percent::encode(key),
            precondition_query(expected)
        );
        let bytes = value.len();
        let response = self.write(Method::PUT, &path, value).await?;
        match response.status() {
            // The write took effect even if the revision is missing.
            StatusCode::OK => {
                revision_of(&response).ok_or_else(|| answer_lost("the response has no x-revision"))
            }
            StatusCode::CONFLICT => Err(conflict_error(&response)),
            StatusCode::GONE => Err(StoreError::LeaseLapsed),
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge { bytes }),
            _ => Err(write_status_error(&response)),
        }
    }

    async fn lease_call(&self, method: Method, path: String) -> Result<(), StoreError> {
        let response = self.write(method, &path, Bytes::new()).await?;
        match response.status() {
            StatusCode::NO_CONTENT => Ok(()),
            StatusCode::GONE => Err(StoreError::LeaseLapsed),
            _ => Err(write_status_error(&response)),
        }
    }
}

impl KeyStore for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>> {
        Box::pin(async move {
            let path = format!("/kv/{}", percent::encode(key));
            let response = self.read(&path, Duration::ZERO).await?;
            match response.status() {
                StatusCode::OK => stored_value(key, response).map(Some),
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(unavailable(status_cause(&response))),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<StoredValue>, StoreError>> {
        Box::pin(async move {
            let path = format!("/list/{}", percent::encode(prefix));
            let response = self.read(&path, Duration::ZERO).await?;
            decode_rows(&response)?
                .into_iter()
                .map(ListedRow::into_stored)
                .collect()
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expected: ExpectedValue,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'a, Result<Revision, StoreError>> {
        Box::pin(self.put_value(key, value, expected, lease))
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        expected: ExpectedValue,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            let path = format!(
                "/kv/{}?{}",
                percent::encode(key),
                precondition_query(expected)
            );
            let response = self.write(Method::DELETE, &path, Bytes::new()).await?;
            match response.status() {
                StatusCode::NO_CONTENT => Ok(()),
                StatusCode::CONFLICT => Err(conflict_error(&response)),
                _ => Err(write_status_error(&response)),
            }
        })
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>> {
        Box::pin(async move {
            let path = format!("/lease?ttl_ms={}", ttl.as_millis());
            let response = self.write(Method::POST, &path, Bytes::new()).await?;
            match response.status() {
                StatusCode::OK => serde_json::from_slice::<GrantedLease>(response.body())
                    .map(|granted| granted.lease)
                    .map_err(|error| answer_lost(&error.to_string())),
                _ => Err(write_status_error(&response)),
            }
        })
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        let path = format!("/lease/{}/renew", lease.0);
        Box::pin(self.lease_call(Method::POST, path))
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>> {
        let path = format!("/lease/{}", lease.0);
        Box::pin(self.lease_call(Method::DELETE, path))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Vec<KeyChange>, StoreError>> {
        Box::pin(async move {
            let prefix = percent::encode(prefix);
            let wait_ms = wait.as_millis();
            let path = format!("/watch/{prefix}?after={after}&wait_ms={wait_ms}");
            let response = self.read(&path, wait).await?;
            decode_rows(&response)?
                .into_iter()
                .map(ListedRow::into_change)
                .collect()
        })
    }
}

#[derive(Deserialize)]
struct GrantedLease {
    lease: LeaseId,
}

#[derive(Deserialize)]
struct ListedRow {
    key: String,
    revision: Revision,
    value: Option<String>,
}

impl ListedRow {
    fn into_stored(self) -> Result<StoredValue, StoreError> {
        let change = self.into_change()?;
        let value = change
            .value
            .ok_or_else(|| unavailable(format!("`{}` is listed without a value", change.key)))?;
        Ok(StoredValue {
            key: change.key,
            value,
            revision: change.revision,
        })
    }

    fn into_change(self) -> Result<KeyChange, StoreError> {
        let value = self
            .value
            .map(|encoded| STANDARD.decode(encoded).map(Bytes::from))
            .transpose()
            .map_err(|error| unavailable(format!("the value of `{}`: {error}", self.key)))?;
        Ok(KeyChange {
            key: self.key,
            value,
            revision: self.revision,
        })
    }
}

fn decode_rows(response: &Response<Bytes>) -> Result<Vec<ListedRow>, StoreError> {
    if response.status() != StatusCode::OK {
        return Err(unavailable(status_cause(response)));
    }
    decode(response.body())
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| unavailable(error.to_string()))
}

fn stored_value(key: &str, response: Response<Bytes>) -> Result<StoredValue, StoreError> {
    let revision = revision_of(&response)
        .ok_or_else(|| unavailable("the response has no x-revision".to_owned()))?;
    Ok(StoredValue {
        key: key.to_owned(),
        value: response.into_body(),
        revision,
    })
}

fn revision_of(response: &Response<Bytes>) -> Option<Revision> {
    let value = response.headers().get(REVISION_HEADER)?;
    value.to_str().ok()?.parse().ok().map(Revision)
}

fn precondition_query(expected: ExpectedValue) -> String {
    match expected {
        ExpectedValue::Absent => "expect=absent".to_owned(),
        ExpectedValue::At(revision) => format!("expect={revision}"),
        ExpectedValue::Any => "expect=any".to_owned(),
    }
}

fn conflict_error(response: &Response<Bytes>) -> StoreError {
    match revision_of(response) {
        Some(current) => StoreError::Conflict { current },
        // Nothing was written. A conflict without a revision is reported as unavailable, since a
        // caller must not use an invented revision as that of the key.
        None => unavailable("the conflict response has no x-revision".to_owned()),
    }
}

/// Converts a failed write. A write that may have been sent may have taken effect. If it were
/// reported as failed, the caller could write twice or report a change as refused that is active.
fn write_error(error: &FetchError) -> StoreError {
    match error {
        FetchError::Send(sent) if sent.verdict != RunVerdict::NotRun => {
            answer_lost(&sent.to_string())
        }
        _ => unavailable(error.cause()),
    }
}

fn write_status_error(response: &Response<Bytes>) -> StoreError {
    let cause = status_cause(response);
    if had_no_effect(response.status()) {
        unavailable(cause)
    } else {
        answer_lost(&cause)
    }
}

/// Returns whether a status states that a write had no effect. Any other may come from a proxy, after the write.
fn had_no_effect(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn unavailable(cause: String) -> StoreError {
    StoreError::Unavailable { cause }
}

fn answer_lost(cause: &str) -> StoreError {
    StoreError::AnswerLost {
        cause: cause.to_owned(),
    }
}
