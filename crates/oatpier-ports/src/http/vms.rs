//! The list of VMs over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::StatusCode;
use futures::future::BoxFuture;

use super::{ExternalService, status_cause};
use crate::vms::{VmList, VmListError, VmRow};

/// Reads the list of VMs from the service at an address.
pub struct HttpVmList {
    service: ExternalService,
}

impl HttpVmList {
    /// Creates a client of the list at `address`; `timeout` bounds each call.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            service: ExternalService::new(address, timeout),
        }
    }

    async fn read(&self) -> Result<Vec<VmRow>, VmListError> {
        let response = self
            .service
            .get("/vms")
            .await
            .map_err(|error| VmListError {
                cause: error.cause(),
            })?;
        if response.status() != StatusCode::OK {
            let cause = status_cause(&response);
            return Err(VmListError { cause });
        }
        serde_json::from_slice(response.body()).map_err(|error| VmListError {
            cause: error.to_string(),
        })
    }
}

impl VmList for HttpVmList {
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmRow>, VmListError>> {
        Box::pin(self.read())
    }
}
