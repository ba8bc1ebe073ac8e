//! Shares the configuration between gateways.
//!
//! The store may be unavailable to some gateways for many seconds while it serves the others. At those gateways a key
//! that was revoked meanwhile would still work, and a new key would be unknown. Reports state which version each
//! gateway has. A gateway that can't read the store fetches a newer version, as a whole, from the gateway that
//! reported it. Keys are transferred as digests.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Request, StatusCode, Uri};
use oatpier_duty::duty::{RingReceiver, RingSender, StopPhase, StopSignal};
use oatpier_serving::site::SiteConfig;
use oatpier_types::errors::error_chain;
use oatpier_wire::client::{ClientLimits, HttpClient};
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::{self, RequestHandler, ServerLimits};
use tokio::sync::watch;

/// Path at which a gateway serves its configuration to others.
const CONFIG_PATH: &str = "/configuration";

/// Timeout of a fetch. Configurations have some hundred kilobytes, and gateways transfer some megabytes a second.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a configuration, in bytes: several times the store's own limit for a value.
const MAX_CONFIG_BYTES: usize = 8 << 20;

/// Maximum number of connections. Only gateways that can't read the store connect, with one fetch per version each.
const MAX_SHARE_CONNECTIONS: usize = 64;

/// Provides the configuration in force.
pub type ConfigFeed = watch::Receiver<Option<Arc<SiteConfig>>>;

/// Inputs of the thread.
pub struct ConfigShareInputs {
    /// Accepts the connections of other gateways.
    pub listener: TcpListener,
    /// The configuration in force.
    pub config: ConfigFeed,
    /// Gateways that have a newer configuration.
    pub sources: RingReceiver<SocketAddr>,
    /// Receives the fetched configurations.
    pub fetched: RingSender<Arc<SiteConfig>>,
    /// Stop signal of the process.
    pub stop: StopSignal,
}

/// Serves and fetches configurations until the process ends.
pub async fn share_config(inputs: ConfigShareInputs) {
    let ConfigShareInputs {
        listener,
        config,
        sources,
        fetched,
        stop,
    } = inputs;
    tokio::select! {
        () = serve_config(listener, config) => {}
        () = fetch_in_loop(&sources, &fetched) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

struct ShareHandler {
    config: ConfigFeed,
}

impl RequestHandler for ShareHandler {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        async move { self.answer(&request) }.boxed()
    }
}

impl ShareHandler {
    fn answer(&self, request: &Request<Bytes>) -> Reply {
        if request.uri().path() != CONFIG_PATH {
            return reply::text(StatusCode::NOT_FOUND, "no such path\n");
        }
        let Some(config) = self.config.borrow().clone() else {
            return reply::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
        };
        match rmp_serde::to_vec(&*config) {
            Ok(bytes) => reply::whole(StatusCode::OK, "application/msgpack", bytes),
            Err(error) => {
                spdlog::error!("failed to encode the configuration", kv: { reason: = error_chain(&error) });
                reply::text(StatusCode::INTERNAL_SERVER_ERROR, "can't be encoded\n")
            }
        }
    }
}

async fn serve_config(listener: TcpListener, config: ConfigFeed) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            spdlog::error!("failed to serve the configuration to other gateways", kv: { error: = error.to_string() });
            return std::future::pending().await;
        }
    };
    let limits = ServerLimits {
        connections: MAX_SHARE_CONNECTIONS,
        ..ServerLimits::default()
    };
    let handler = Arc::new(ShareHandler { config });
    let never = std::future::pending();
    server::serve(listener, handler, limits, Arc::default(), never).await;
}

async fn fetch_in_loop(sources: &RingReceiver<SocketAddr>, fetched: &RingSender<Arc<SiteConfig>>) {
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
