//! Calls from an agent to entries and other agents.

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

/// Timeout of a call to an entry. Shorter than the time after which a heartbeat counts as lost.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a call to another agent, which waits for a confirmation from its engine or the
/// store. As long as a release request is valid.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// A boxed future that can be moved to another task.
pub type PeerFuture<T> = BoxFuture<'static, T>;

/// Calls to other processes. `None` means that no answer arrived. All calls may be repeated.
pub trait AgentPeers: Send + Sync {
    /// Calls an entry about membership or configuration.
    fn call(&self, entry: SocketAddr, call: FleetCall) -> PeerFuture<Option<FleetAnswer>>;

    /// Queries an entry for the plan and replicas.
    fn query_placement(
        &self,
        entry: SocketAddr,
        request: PlacementQuery,
    ) -> PeerFuture<Option<PlacementView>>;

    /// Requests a release from another agent.
    fn request_release(
        &self,
        agent: SocketAddr,
        request: ReleaseRequest,
    ) -> PeerFuture<Option<ReleaseAnswer>>;
}

/// Implements the calls over HTTP. Its connections belong to the runtime of one duty, so an
/// instance must not be shared between duties.
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
            let answer = client.call(entry, PEER_PATH, &call, ENTRY_TIMEOUT);
            answer.await.ok()
        }
        .boxed()
    }

    fn query_placement(
        &self,
        entry: SocketAddr,
        request: PlacementQuery,
    ) -> PeerFuture<Option<PlacementView>> {
        let client = self.client.clone();
        async move {
            let answer = client.call(entry, PLACEMENT_PATH, &request, ENTRY_TIMEOUT);
            answer.await.ok()
        }
        .boxed()
    }

    fn request_release(
        &self,
        agent: SocketAddr,
        request: ReleaseRequest,
    ) -> PeerFuture<Option<ReleaseAnswer>> {
        let client = self.client.clone();
        async move {
            let answer = client.call(agent, RELEASE_PATH, &request, RELEASE_TIMEOUT);
            answer.await.ok()
        }
        .boxed()
    }
}
