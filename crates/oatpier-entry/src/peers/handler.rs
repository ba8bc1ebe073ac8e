//! Peer listener for agents, other entries and operators.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Method, Request, StatusCode};
use oatpier_duty::duty::RingSender;
use oatpier_duty::messages::{FleetCall, PEER_PATH};
use oatpier_duty::placement::PLACEMENT_PATH;
use oatpier_wire::peer::decode_message;
use oatpier_wire::reply::{self, Reply};
use oatpier_wire::server::RequestHandler;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

use super::driver::MemberDriver;
use super::{operator, placement};
use crate::claims::ClaimCommand;
use crate::links::{CLAIM_TIMEOUT, SETTLE_TIMEOUT};
use crate::messages::{
    CLAIM_PATH, ClaimCall, ClaimReply, DEMAND_PATH, DemandReport, GENERATIONS_PATH,
};
use crate::planner::{PlanCache, PlannerUpdate};
use crate::store::StoreClient;
use crate::updates::CallersUpdate;

/// Handles requests to the peer listener.
pub(super) struct PeerHandler {
    pub(super) driver: Arc<MemberDriver>,
    pub(super) updates: RingSender<CallersUpdate>,
    pub(super) planner: RingSender<PlannerUpdate>,
    pub(super) claims: RingSender<ClaimCommand>,
    pub(super) client: Arc<StoreClient>,
    pub(super) cache: Arc<PlanCache>,
}

impl RequestHandler for PeerHandler {
    fn handle(&self, request: Request<Bytes>, _: SocketAddr) -> BoxFuture<'_, Reply> {
        self.answer(request).boxed()
    }
}

impl PeerHandler {
    async fn answer(&self, request: Request<Bytes>) -> Reply {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        match (head.method, path) {
            (Method::POST, PEER_PATH) => respond(&body, |call: FleetCall| self.driver.answer(call)),
            (Method::POST, PLACEMENT_PATH) => respond(&body, |query| {
                placement::view(&self.driver, &self.cache, &query)
            }),
            (Method::POST, CLAIM_PATH) => self.claim(&body).await,
            (Method::POST, DEMAND_PATH) => respond(&body, |report| self.forward_demand(report)),
            (Method::POST, GENERATIONS_PATH) => {
                reply::message(&operator::own_generations(&self.driver))
            }
            (Method::GET, path) => operator::answer(self, path).await,
            _ => reply::text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    /// Passes a demand report to the planner. Overflow is dropped: the next report follows within
    /// seconds.
    fn forward_demand(&self, report: DemandReport) {
        let _ = self.planner.try_send(PlannerUpdate::PeerDemand(report));
    }

    async fn claim(&self, body: &[u8]) -> Reply {
        let call: ClaimCall = match decode_message(body) {
            Ok(call) => call,
            Err(error) => return reply::text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let is_query = matches!(call, ClaimCall::Query(_));
        let (sender, receiver) = oneshot::channel();
        let command = ClaimCommand::Remote {
            call,
            reply: sender,
        };
        if self.claims.try_send(command).is_err() {
            return reply::text(StatusCode::SERVICE_UNAVAILABLE, "too many claims\n");
        }
        let timeout = if is_query {
            CLAIM_TIMEOUT
        } else {
            SETTLE_TIMEOUT
        };
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(answer)) => reply::message(&answer),
            Ok(Err(_)) | Err(_) => reply::message(&ClaimReply::Pending),
        }
    }
}

fn respond<Q: DeserializeOwned, A: Serialize>(body: &[u8], answer: impl FnOnce(Q) -> A) -> Reply {
    match decode_message(body) {
        Ok(query) => reply::message(&answer(query)),
        Err(error) => reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    }
}
