//! Calls to the engine on the sidecar's VM.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use oatpier_platform::{engine, headers};
use oatpier_serving::engine::{EngineReport, OrderAnswer};
use oatpier_serving::residency::SequencedOrder;
use oatpier_types::names::{DaemonName, EndpointName};
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::client::{ClientLimits, HttpClient};

/// Timeout for a report: the engine is on the same VM and, if alive, answers at once.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for the answer to an order. The answer says that the order was accepted, not carried out, and comes within
/// a few milliseconds from the same VM.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum size of a report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Maximum size of an answer to an order, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// HTTP connection to the engine on the sidecar's VM.
pub struct EngineLink {
    client: HttpClient,
    address: SocketAddr,
    holder: DaemonName,
    instance: Option<EndpointName>,
}

impl EngineLink {
    /// Creates a link to the engine at an address, for the sidecar `holder`.
    #[must_use]
    pub fn new(address: SocketAddr, holder: DaemonName) -> Self {
        let limits = ClientLimits {
            connect_timeout: REPORT_TIMEOUT,
            max_idle_per_address: 1,
            ..ClientLimits::default()
        };
        Self {
            client: HttpClient::new(limits),
            address,
            holder,
            instance: None,
        }
    }

    /// Returns the engine's instance, if it was identified.
    #[must_use]
    pub fn instance(&self) -> Option<&EndpointName> {
        self.instance.as_ref()
    }

    /// Reads the engine's report.
    ///
    /// # Errors
    ///
    /// Returns the reason if no report could be read.
    pub async fn report(&mut self) -> Result<EngineReport, String> {
        let request = engine::report_request();
        let answer = self
            .client
            .fetch(self.address, request, REPORT_TIMEOUT, MAX_REPORT_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(format!("the engine answered {}", answer.status()));
        }
        let report = engine::decode_report(answer.body()).map_err(|error| error.to_string())?;
        Ok(EngineReport {
            draining: report.draining || headers::announces_shutdown(answer.headers()),
            ..report
        })
    }

    /// Asks the engine for its instance. The engine states it in the answer to each health check, also while it is
    /// not healthy, and in no other answer that a sidecar can get.
    ///
    /// # Errors
    ///
    /// Returns the reason if the engine did not answer, or the answer names no instance.
    pub async fn identify(&mut self, health_path: &str) -> Result<(), String> {
        let request = engine::health_request(health_path).map_err(|error| error.to_string())?;
        let answer = self
            .client
            .fetch(self.address, request, REPORT_TIMEOUT, MAX_ANSWER_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        let instance = engine::response_instance(&answer);
        self.instance = Some(
            instance.ok_or_else(|| format!("the {} answer names no instance", answer.status()))?,
        );
        Ok(())
    }

    /// Forgets the instance, as the engine may have been restarted.
    pub fn forget_instance(&mut self) {
        self.instance = None;
    }

    /// Sends an order.
    pub async fn order(&mut self, order: &SequencedOrder) -> OrderAnswer {
        let request = engine::order_request(order, &self.holder, self.instance.as_ref());
        let answer = self
            .client
            .fetch(self.address, request, ORDER_TIMEOUT, MAX_ANSWER_BYTES)
            .await;
        match answer {
            Ok(answer) => engine::order_answer(answer.status()),
            Err(error) if error.verdict == RunVerdict::NotRun => OrderAnswer::Conflict,
            Err(_) => OrderAnswer::Unknown,
        }
    }
}
