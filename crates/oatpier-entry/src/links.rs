//! Calls of an entry to other entries and to agents, attempts aside.

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
    CLAIM_PATH, ClaimCall, ClaimReply, DEMAND_PATH, DemandWord, GENERATIONS_PATH, GenerationRows,
};

/// How long a claimer in another entry may take over an ask: longer than it holds one itself.
pub const CLAIM_WAIT: Duration = Duration::from_millis(800);
/// How long it may take over a settlement, which waits for a write of other claims.
pub const SETTLE_WAIT: Duration = Duration::from_millis(1600);
/// How long a demand word may take.
const DEMAND_WAIT: Duration = Duration::from_millis(500);
/// How long an entry may take to say who is on which generation.
const GENERATIONS_WAIT: Duration = Duration::from_millis(500);
/// How long one agent may take to say its status.
const STATUS_WAIT: Duration = Duration::from_millis(400);

/// A call that may go to another task; none: no answer came.
pub type LinkFuture<T> = BoxFuture<'static, Option<T>>;

/// Calls to other processes. All may be repeated.
pub trait EntryLinks: Send + Sync {
    /// Calls about membership or configuration.
    fn call(&self, to: SocketAddr, call: FleetCall) -> LinkFuture<FleetAnswer>;

    /// Turns to the claimer in another entry.
    fn claim(&self, to: SocketAddr, call: ClaimCall) -> LinkFuture<ClaimReply>;

    /// Tells an entry that may plan what is asked for here.
    fn tell_demand(&self, to: SocketAddr, word: DemandWord) -> LinkFuture<()>;

    /// Asks an entry who is on which generation.
    fn ask_generations(&self, to: SocketAddr) -> LinkFuture<GenerationRows>;

    /// Asks an agent for its status.
    fn ask_status(&self, to: SocketAddr) -> LinkFuture<EndpointStatus>;
}

/// The calls over HTTP. Belongs to one duty's runtime, as its connections do.
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
    fn ask<Q, A>(
        &self,
        to: SocketAddr,
        path: &'static str,
        question: Q,
        within: Duration,
    ) -> LinkFuture<A>
    where
        Q: Serialize + Send + Sync + 'static,
        A: DeserializeOwned + Send + 'static,
    {
        let client = self.client.clone();
        async move { client.call(to, path, &question, within).await.ok() }.boxed()
    }
}

impl EntryLinks for HttpLinks {
    fn call(&self, to: SocketAddr, call: FleetCall) -> LinkFuture<FleetAnswer> {
        self.ask(to, PEER_PATH, call, CALL_TIMEOUT)
    }

    fn claim(&self, to: SocketAddr, call: ClaimCall) -> LinkFuture<ClaimReply> {
        let within = match call {
            ClaimCall::Ask(_) => CLAIM_WAIT,
            ClaimCall::Release(_) | ClaimCall::Finish(_) => SETTLE_WAIT,
        };
        self.ask(to, CLAIM_PATH, call, within)
    }

    fn tell_demand(&self, to: SocketAddr, word: DemandWord) -> LinkFuture<()> {
        self.ask(to, DEMAND_PATH, word, DEMAND_WAIT)
    }

    fn ask_generations(&self, to: SocketAddr) -> LinkFuture<GenerationRows> {
        self.ask(to, GENERATIONS_PATH, (), GENERATIONS_WAIT)
    }

    fn ask_status(&self, to: SocketAddr) -> LinkFuture<EndpointStatus> {
        self.ask(to, STATUS_PATH, (), STATUS_WAIT)
    }
}
