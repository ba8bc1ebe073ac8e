//! The duty that passes the configuration on between gateways.
//!
//! The store may turn some gateways away for many seconds and serve the others. A key that was taken away meanwhile
//! would go on working at those, and one that was added would be unknown. Reports tell each gateway which version
//! the others have; one that can't read the store fetches a newer version from whoever told of it, whole. Keys
//! travel as digests.

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

/// Where a gateway gives the configuration to others.
const CONFIG_PATH: &str = "/configuration";

/// How long a fetch may take. Configurations have some hundred kilobytes, and gateways some megabytes a second.
const FETCH_WAIT: Duration = Duration::from_secs(2);

/// The largest configuration, in bytes: the store's own limit for a value, several times.
const CONFIG_BYTES: usize = 8 << 20;

/// Connections at once. Only gateways that the store turns away come, one fetch each for a version.
const SHARE_CONNECTIONS: usize = 64;

/// The configuration in force, for whoever asks.
pub type ConfigFeed = watch::Receiver<Option<Arc<SiteConfig>>>;

/// What the duty works on.
pub struct ConfigShareInputs {
    /// Where others ask.
    pub listener: TcpListener,
    /// The configuration in force.
    pub config: ConfigFeed,
    /// Gateways that have a newer one.
    pub wanted: RingReceiver<SocketAddr>,
    /// Where fetched configurations go.
    pub fetched: RingSender<Arc<SiteConfig>>,
    /// Tells to stop.
    pub stop: StopSignal,
}

/// Shares until the process ends.
pub async fn share_config(inputs: ConfigShareInputs) {
    let ConfigShareInputs {
        listener,
        config,
        wanted,
        fetched,
        stop,
    } = inputs;
    tokio::select! {
        () = give(listener, config) => {}
        () = fetch_for_ever(&wanted, &fetched) => {}
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
                spdlog::error!("the configuration can't be encoded", kv: { reason: = error_chain(&error) });
                reply::text(StatusCode::INTERNAL_SERVER_ERROR, "can't be encoded\n")
            }
        }
    }
}

async fn give(listener: TcpListener, config: ConfigFeed) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            spdlog::error!("the configuration is not passed on", kv: { error: = error.to_string() });
            return std::future::pending().await;
        }
    };
    let limits = ServerLimits {
        connections: SHARE_CONNECTIONS,
        ..ServerLimits::default()
    };
    let handler = Arc::new(ShareHandler { config });
    let never = std::future::pending();
    server::serve(listener, handler, limits, Arc::default(), never).await;
}

async fn fetch_for_ever(wanted: &RingReceiver<SocketAddr>, fetched: &RingSender<Arc<SiteConfig>>) {
    let client = HttpClient::new(ClientLimits::default());
    while let Some(from) = wanted.receive().await {
        if let Some(config) = fetch(&client, from).await {
            fetched.send(Arc::new(config)).await;
        }
    }
    std::future::pending::<()>().await;
}

async fn fetch(client: &HttpClient, from: SocketAddr) -> Option<SiteConfig> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = Uri::from_static(CONFIG_PATH);
    let answer = match client.fetch(from, request, FETCH_WAIT, CONFIG_BYTES).await {
        Ok(answer) if answer.status() == StatusCode::OK => answer,
        Ok(answer) => {
            let status = answer.status().as_u16();
            spdlog::warn!("a gateway did not pass its configuration on", kv: { from:, status: });
            return None;
        }
        Err(error) => {
            spdlog::warn!("a configuration was not fetched", kv: { reason: = error_chain(&error) });
            return None;
        }
    };
    match rmp_serde::from_slice(answer.body()) {
        Ok(config) => Some(config),
        Err(error) => {
            spdlog::error!("a fetched configuration can't be read", kv: { from:, reason: = error_chain(&error) });
            None
        }
    }
}
