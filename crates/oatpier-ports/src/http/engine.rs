//! Control interface of an engine over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::{Method, Response, StatusCode};
use bytes::Bytes;
use futures::future::BoxFuture;
use oatpier_types::engine::{CacheEvent, EngineOrder, EngineState, LoadReport};
use oatpier_types::ids::OrderNumber;
use oatpier_types::verdict::RunVerdict;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{ExternalService, FetchError, status_cause};
use crate::engine::{EngineControl, OrderError, ReportError};

/// Control interface of the engine at an address.
pub struct HttpEngine {
    service: ExternalService,
}

impl HttpEngine {
    /// Creates a client of the engine at `address`; `timeout` bounds each call.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            service: ExternalService::new(address, timeout),
        }
    }

    async fn send_order(&self, order: &EngineOrder) -> Result<(), OrderError> {
        let body = serde_json::to_vec(order).map_err(|error| OrderError::NotSent {
            cause: error.to_string(),
        })?;
        let response = self
            .service
            .fetch(Method::POST, "/orders", Bytes::from(body), Duration::ZERO)
            .await
            .map_err(|error| order_error(&error))?;
        match response.status() {
            StatusCode::ACCEPTED => Ok(()),
            StatusCode::CONFLICT => Err(stale_error(&response)),
            StatusCode::UNPROCESSABLE_ENTITY => Err(OrderError::Refused {
                cause: status_cause(&response),
            }),
            // No other status states that nothing changed, so the order's memory stays reserved.
            _ => Err(OrderError::Unknown {
                cause: status_cause(&response),
            }),
        }
    }

    async fn report<T: DeserializeOwned>(&self, path: &str) -> Result<T, ReportError> {
        let response = self.service.get(path).await.map_err(|error| ReportError {
            cause: error.cause(),
        })?;
        if response.status() != StatusCode::OK {
            let cause = status_cause(&response);
            return Err(ReportError { cause });
        }
        serde_json::from_slice(response.body()).map_err(|error| ReportError {
            cause: error.to_string(),
        })
    }
}

impl EngineControl for HttpEngine {
    fn order<'a>(&'a self, order: &'a EngineOrder) -> BoxFuture<'a, Result<(), OrderError>> {
        Box::pin(self.send_order(order))
    }

    fn state(&self) -> BoxFuture<'_, Result<EngineState, ReportError>> {
        Box::pin(self.report("/state"))
    }

    fn load(&self) -> BoxFuture<'_, Result<LoadReport, ReportError>> {
        Box::pin(self.report("/load"))
    }

    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, ReportError>> {
        Box::pin(async move { self.report(&format!("/cache-events?after={after}")).await })
    }
}

#[derive(Deserialize)]
struct StaleOrder {
    highest: OrderNumber,
}

fn stale_error(response: &Response<Bytes>) -> OrderError {
    match serde_json::from_slice::<StaleOrder>(response.body()) {
        Ok(stale) => OrderError::Stale {
            highest: stale.highest,
        },
        Err(_) => OrderError::Refused {
            cause: status_cause(response),
        },
    }
}

/// Converts a failed call. An order that may have been sent may still be executed, so its memory
/// stays reserved.
fn order_error(error: &FetchError) -> OrderError {
    let cause = error.cause();
    match error {
        FetchError::Send(sent) if sent.verdict != RunVerdict::NotRun => {
            OrderError::Unknown { cause }
        }
        _ => OrderError::NotSent { cause },
    }
}
