//! Calls to the engine beside a sidecar.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use oatpier_platform::{engine, headers};
use oatpier_serving::engine::{EngineReport, OrderAnswer};
use oatpier_serving::residency::NumberedOrder;
use oatpier_types::names::{DaemonName, EndpointName};
use oatpier_types::verdict::RunVerdict;
use oatpier_wire::client::{ClientLimits, HttpClient};

/// How long a report may take: the engine is on the same VM and answers at once if it lives.
const REPORT_WAIT: Duration = Duration::from_millis(400);

/// How long the answer to an order may take; it says that the order was accepted, not done, and comes
/// within a few milliseconds from the same VM.
const ORDER_WAIT: Duration = Duration::from_millis(200);

/// The largest report, in bytes.
const REPORT_BYTES: usize = 1 << 20;

/// The largest answer to an order, in bytes.
const ANSWER_BYTES: usize = 64 << 10;

/// The engine beside a sidecar.
pub struct EngineLink {
    client: HttpClient,
    address: SocketAddr,
    holder: DaemonName,
    instance: Option<EndpointName>,
}

impl EngineLink {
    /// A link to the engine at an address, for the sidecar `holder`.
    #[must_use]
    pub fn new(address: SocketAddr, holder: DaemonName) -> Self {
        let limits = ClientLimits {
            connect: REPORT_WAIT,
            idle_per_address: 1,
            ..ClientLimits::default()
        };
        Self {
            client: HttpClient::new(limits),
            address,
            holder,
            instance: None,
        }
    }

    /// The engine's instance, if it was asked.
    #[must_use]
    pub fn instance(&self) -> Option<&EndpointName> {
        self.instance.as_ref()
    }

    /// Reads the engine's report.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub async fn report(&mut self) -> Result<EngineReport, String> {
        let request = engine::report_request();
        let answer = self
            .client
            .fetch(self.address, request, REPORT_WAIT, REPORT_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(format!("the engine answered {}", answer.status()));
        }
        let report = engine::decode_report(answer.body()).map_err(|error| error.to_string())?;
        Ok(EngineReport {
            draining: report.draining || headers::says_leaving(answer.headers()),
            ..report
        })
    }

    /// Asks the engine which instance it is. It tells with every health check, also where it is not
    /// healthy, and nowhere else that is open to a sidecar.
    ///
    /// # Errors
    ///
    /// It did not answer, or did not tell.
    pub async fn identify(&mut self, health_path: &str) -> Result<(), String> {
        let request = engine::health_request(health_path).map_err(|error| error.to_string())?;
        let answer = self
            .client
            .fetch(self.address, request, REPORT_WAIT, ANSWER_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        let instance = engine::instance_of(&answer);
        self.instance = Some(instance.ok_or_else(|| format!("{} named none", answer.status()))?);
        Ok(())
    }

    /// The engine may have been restarted.
    pub fn forget_instance(&mut self) {
        self.instance = None;
    }

    /// Gives an order.
    pub async fn order(&mut self, order: &NumberedOrder) -> OrderAnswer {
        let request = engine::order_request(order, &self.holder, self.instance.as_ref());
        let answer = self
            .client
            .fetch(self.address, request, ORDER_WAIT, ANSWER_BYTES)
            .await;
        match answer {
            Ok(answer) => engine::order_answer(answer.status()),
            Err(error) if error.verdict == RunVerdict::NotRun => OrderAnswer::Conflict,
            Err(_) => OrderAnswer::Unknown,
        }
    }
}
