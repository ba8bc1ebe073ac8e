//! Fetches newer configurations from other gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, Uri};
use oatpier_duty::duty::{RingReceiver, RingSender};
use oatpier_serving::site::SiteConfig;
use oatpier_types::errors::error_chain;
use oatpier_wire::client::{ClientLimits, HttpClient};

use super::CONFIG_PATH;

/// Timeout of a fetch. Configurations have some hundred kilobytes, and gateways transfer some megabytes a second.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a configuration, in bytes: several times the store's own limit for a value.
const MAX_CONFIG_BYTES: usize = 8 << 20;

/// Fetches configurations from the gateways that have newer ones until the process ends.
pub(super) async fn fetch_in_loop(
    sources: &RingReceiver<SocketAddr>,
    fetched: &RingSender<Arc<SiteConfig>>,
) {
    let client = HttpClient::new(ClientLimits::default());
    while let Some(from) = sources.receive().await {
        if let Some(config) = fetch(&client, from).await {
            fetched.send(Arc::new(config)).await;
        }
    }
    std::future::pending::<()>().await;
}

async fn fetch(client: &HttpClient, from: SocketAddr) -> Option<SiteConfig> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = Uri::from_static(CONFIG_PATH);
    let answer = match client
        .fetch(from, request, FETCH_TIMEOUT, MAX_CONFIG_BYTES)
        .await
    {
        Ok(answer) if answer.status() == StatusCode::OK => answer,
        Ok(answer) => {
            let status = answer.status().as_u16();
            spdlog::warn!("a gateway did not return its configuration", kv: { from:, status: });
            return None;
        }
        Err(error) => {
            spdlog::warn!("failed to fetch the configuration from another gateway", kv: { reason: = error_chain(&error) });
            return None;
        }
    };
    match rmp_serde::from_slice(answer.body()) {
        Ok(config) => Some(config),
        Err(error) => {
            spdlog::error!("failed to decode a fetched configuration", kv: { from:, reason: = error_chain(&error) });
            None
        }
    }
}
