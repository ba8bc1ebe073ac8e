//! Shares with other gateways what this one knows of the store.
//!
//! The store may be unavailable to some gateways for many seconds while it serves the others. At those gateways a key
//! that was revoked meanwhile would still work, a new key would be unknown, and an endpoint that has left would still be
//! used. Reports state which version of the configuration each gateway has. A gateway that can't read the store fetches
//! a newer version, as a whole, from the gateway that reported it (keys are transferred as digests), and asks any
//! gateway for what it knows of the registry.

mod config;
mod excerpts;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Request, StatusCode};
use oatpier_duty::duty::{RingReceiver, RingSender, StopPhase, StopSignal};
use oatpier_serving::site::SiteConfig;
use oatpier_types::errors::error_chain;
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::{self, RequestHandler, ServerLimits};
use tokio::sync::watch;

pub use excerpts::{ExcerptError, ExcerptRequest, fetch_excerpt};

/// Path at which a gateway serves its configuration to others.
const CONFIG_PATH: &str = "/configuration";

/// Path at which a gateway serves what it knows of the registry to others.
const REGISTRY_PATH: &str = "/registry";

/// Maximum number of connections. Only gateways that can't read the store connect.
const MAX_SHARE_CONNECTIONS: usize = 64;

/// Maximum size of a question about the registry, in bytes. It is a position and two digests.
const MAX_QUESTION_BYTES: usize = 4 << 10;

/// Content type of the responses.
const MESSAGE_PACK: &str = "application/msgpack";

/// Provides the configuration in force.
pub type ConfigFeed = watch::Receiver<Option<Arc<SiteConfig>>>;

/// Inputs of the thread.
pub struct ShareInputs {
    /// Accepts the connections of other gateways.
    pub listener: TcpListener,
    /// The configuration in force.
    pub config: ConfigFeed,
    /// Gateways that have a newer configuration.
    pub sources: RingReceiver<SocketAddr>,
    /// Receives the fetched configurations.
    pub fetched: RingSender<Arc<SiteConfig>>,
    /// Receives the questions of other gateways about the registry, read by the thread that reads the store.
    pub excerpts: RingSender<ExcerptRequest>,
    /// Stop signal of the process.
    pub stop: StopSignal,
}

/// Serves other gateways, and fetches configurations from them, until the process ends.
pub async fn share(inputs: ShareInputs) {
    let ShareInputs {
        listener,
        config,
        sources,
        fetched,
        excerpts,
        stop,
    } = inputs;
    let handler = ShareHandler { config, excerpts };
    tokio::select! {
        () = serve(listener, handler) => {}
        () = config::fetch_in_loop(&sources, &fetched) => {}
        () = stop.reached(StopPhase::Ended) => {}
    }
}

struct ShareHandler {
    config: ConfigFeed,
    excerpts: RingSender<ExcerptRequest>,
}

impl RequestHandler for ShareHandler {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        async move {
            match request.uri().path() {
                CONFIG_PATH => self.config_reply(),
                REGISTRY_PATH => excerpts::answer(&self.excerpts, request.body()).await,
                _ => reply::text(StatusCode::NOT_FOUND, "no such path\n"),
            }
        }
        .boxed()
    }
}

impl ShareHandler {
    fn config_reply(&self) -> Reply {
        match self.config.borrow().clone() {
            Some(config) => encoded(&*config),
            None => reply::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n"),
        }
    }
}

/// Returns a response with an encoded value.
fn encoded(value: &impl serde::Serialize) -> Reply {
    match rmp_serde::to_vec(value) {
        Ok(bytes) => reply::whole(StatusCode::OK, MESSAGE_PACK, bytes),
        Err(error) => {
            spdlog::error!("failed to encode a response to another gateway", kv: { reason: = error_chain(&error) });
            reply::text(StatusCode::INTERNAL_SERVER_ERROR, "can't be encoded\n")
        }
    }
}

async fn serve(listener: TcpListener, handler: ShareHandler) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            spdlog::error!("failed to serve other gateways", kv: { error: = error.to_string() });
            return std::future::pending().await;
        }
    };
    let limits = ServerLimits {
        connections: MAX_SHARE_CONNECTIONS,
        body_bytes: MAX_QUESTION_BYTES,
        ..ServerLimits::default()
    };
    let never = std::future::pending();
    server::serve(listener, Arc::new(handler), limits, Arc::default(), never).await;
}
