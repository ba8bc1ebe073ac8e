//! Calls of an entry to other entries and to agents, except for attempts.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use oatpier_duty::messages::{FleetAnswer, FleetCall, PEER_PATH, STATUS_PATH};
use oatpier_membership::spread::CALL_TIMEOUT;
use oatpier_types::status::EndpointStatus;
use oatpier_wire::client::ClientLimits;
use oatpier_wire::peer::PeerClient;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::messages::{
    CLAIM_PATH, ClaimCall, ClaimReply, DEMAND_PATH, DemandReport, GENERATIONS_PATH, GenerationRows,
};

/// Timeout of a query to a claimer in another entry. Longer than a claimer itself holds a query.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a settlement, which waits for a write of other claims.
pub const SETTLE_TIMEOUT: Duration = Duration::from_millis(1600);
/// Timeout of a demand report.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a query for configuration generations.
const GENERATIONS_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a status query to an agent.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// A call that can be moved to another task; `None` if no answer was received.
pub type LinkFuture<T> = BoxFuture<'static, Option<T>>;

/// Calls to other processes. All of them may be repeated.
pub trait EntryLinks: Send + Sync {
    /// Makes a membership or configuration call.
    fn call(&self, to: SocketAddr, call: FleetCall) -> LinkFuture<FleetAnswer>;

    /// Calls the claimer in another entry.
    fn claim(&self, to: SocketAddr, call: ClaimCall) -> LinkFuture<ClaimReply>;

    /// Sends this entry's demand to a planner candidate.
    fn send_demand(&self, to: SocketAddr, report: DemandReport) -> LinkFuture<()>;

    /// Queries an entry for configuration generations.
    fn fetch_generations(&self, to: SocketAddr) -> LinkFuture<GenerationRows>;

    /// Queries an agent for its status.
    fn fetch_status(&self, to: SocketAddr) -> LinkFuture<EndpointStatus>;
}

/// Calls over HTTP. An instance belongs to one duty's runtime, because its connections do.
#[derive(Clone)]
pub struct HttpLinks {
    client: PeerClient,
}

impl Default for HttpLinks {
    fn default() -> Self {
        Self {
            client: PeerClient::new(ClientLimits::default()),
        }
    }
}

impl HttpLinks {
    fn call_path<Q, A>(
        &self,
        to: SocketAddr,
        path: &'static str,
        request: Q,
        timeout: Duration,
    ) -> LinkFuture<A>
    where
        Q: Serialize + Send + Sync + 'static,
        A: DeserializeOwned + Send + 'static,
    {
        let client = self.client.clone();
        async move { client.call(to, path, &request, timeout).await.ok() }.boxed()
    }
}

impl EntryLinks for HttpLinks {
    fn call(&self, to: SocketAddr, call: FleetCall) -> LinkFuture<FleetAnswer> {
        self.call_path(to, PEER_PATH, call, CALL_TIMEOUT)
    }

    fn claim(&self, to: SocketAddr, call: ClaimCall) -> LinkFuture<ClaimReply> {
        let timeout = match call {
            ClaimCall::Query(_) => CLAIM_TIMEOUT,
            ClaimCall::Release(_) | ClaimCall::Finish(_) => SETTLE_TIMEOUT,
        };
        self.call_path(to, CLAIM_PATH, call, timeout)
    }

    fn send_demand(&self, to: SocketAddr, report: DemandReport) -> LinkFuture<()> {
        self.call_path(to, DEMAND_PATH, report, DEMAND_TIMEOUT)
    }

    fn fetch_generations(&self, to: SocketAddr) -> LinkFuture<GenerationRows> {
        self.call_path(to, GENERATIONS_PATH, (), GENERATIONS_TIMEOUT)
    }

    fn fetch_status(&self, to: SocketAddr) -> LinkFuture<EndpointStatus> {
        self.call_path(to, STATUS_PATH, (), STATUS_TIMEOUT)
    }
}
