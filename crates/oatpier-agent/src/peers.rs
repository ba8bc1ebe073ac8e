//! Calls of an agent to entries and other agents.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use oatpier_duty::messages::{FleetAnswer, FleetCall, PEER_PATH};
use oatpier_placement::release::{ReleaseAnswer, ReleaseRequest};
use oatpier_wire::client::ClientLimits;
use oatpier_wire::peer::PeerClient;

use crate::messages::RELEASE_PATH;
use oatpier_duty::placement::{PLACEMENT_PATH, PlacementQuery, PlacementView};

/// How long an entry may take to answer. Shorter than the time after which a heartbeat counts as
/// lost.
const ENTRY_WAIT: Duration = Duration::from_millis(700);
/// How long another agent may take: it waits for a proof from its engine or the store. As long
/// as an ask stands.
const RELEASE_WAIT: Duration = Duration::from_secs(2);

/// A future that may go to another task.
pub type PeerFuture<T> = BoxFuture<'static, T>;

/// Calls to other processes. None says that no answer came; all calls may be repeated.
pub trait AgentPeers: Send + Sync {
    /// Calls an entry about membership or configuration.
    fn call(&self, entry: SocketAddr, call: FleetCall) -> PeerFuture<Option<FleetAnswer>>;

    /// Asks an entry about plan and replicas.
    fn ask_placement(
        &self,
        entry: SocketAddr,
        ask: PlacementQuery,
    ) -> PeerFuture<Option<PlacementView>>;

    /// Asks another agent for a release.
    fn ask_release(
        &self,
        agent: SocketAddr,
        ask: ReleaseRequest,
    ) -> PeerFuture<Option<ReleaseAnswer>>;
}

/// The calls over HTTP. Belongs to one duty's runtime, as its connections do.
#[derive(Clone)]
pub struct HttpPeers {
    client: PeerClient,
}

impl Default for HttpPeers {
    fn default() -> Self {
        Self {
            client: PeerClient::new(ClientLimits::default()),
        }
    }
}

impl AgentPeers for HttpPeers {
    fn call(&self, entry: SocketAddr, call: FleetCall) -> PeerFuture<Option<FleetAnswer>> {
        let client = self.client.clone();
        async move {
            let answer = client.call(entry, PEER_PATH, &call, ENTRY_WAIT);
            answer.await.ok()
        }
        .boxed()
    }

    fn ask_placement(
        &self,
        entry: SocketAddr,
        ask: PlacementQuery,
    ) -> PeerFuture<Option<PlacementView>> {
        let client = self.client.clone();
        async move {
            let answer = client.call(entry, PLACEMENT_PATH, &ask, ENTRY_WAIT);
            answer.await.ok()
        }
        .boxed()
    }

    fn ask_release(
        &self,
        agent: SocketAddr,
        ask: ReleaseRequest,
    ) -> PeerFuture<Option<ReleaseAnswer>> {
        let client = self.client.clone();
        async move {
            let answer = client.call(agent, RELEASE_PATH, &ask, RELEASE_WAIT);
            answer.await.ok()
        }
        .boxed()
    }
}
