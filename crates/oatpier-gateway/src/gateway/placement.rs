//! A request on its way to an endpoint, and what is to be done with it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use oatpier_serving::admission;
use oatpier_serving::call::CallerRequest;
use oatpier_serving::choice::{EndpointChoice, HeldService};
use oatpier_serving::fingerprint::RequestFingerprint;
use oatpier_serving::quota::turns::{HeldTurn, MOST_AHEAD};
use oatpier_serving::site::{RouteKind, RouteRule};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::PoolName;
use oatpier_types::refusal::Refusal;

use super::identity::CallerIdentity;
use super::permits::HeldPermit;
use super::quota::ChargeCell;

/// A request waits for an adapter at most for this share of the time that it has left; beyond, the
/// caller does better to come back.
const ADAPTER_WAIT_SHARE: f64 = 0.4;

/// A request waits for a model at most for this share of its caller's patience: the rest is the way to the
/// engine and the reading of its prompt, behind others that waited for the same model.
const MODEL_WAIT_SHARE: f64 = 0.75;

/// Callers of streams leave when nothing came for the longest of: two seconds, four times the target
/// of the first piece, and eight times the longest pause that is in time.
const PATIENCE_LEAST: Duration = Duration::from_secs(2);
const PATIENCE_TARGETS: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;

/// A request on its way to an endpoint.
#[derive(Debug)]
pub struct RequestPlan {
    /// Its route.
    pub route: Arc<RouteRule>,
    /// Whose it is.
    pub identity: CallerIdentity,
    /// The service that it goes to.
    pub service: PoolName,
    /// What it asks for.
    pub request: CallerRequest,
    /// What tells it from other requests, whichever id it comes with.
    pub fingerprint: RequestFingerprint,
    /// When it came in.
    pub arrived: ClockTime,
    /// When it gets its final answer at the latest.
    pub deadline: ClockTime,
    /// What its workspace was charged for it.
    pub charge: ChargeCell,
    /// Whether it was counted as demand that could not be served at once.
    pub unserved: AtomicBool,
}

impl RequestPlan {
    /// Its rank, 0 first.
    pub(super) fn priority(&self) -> u8 {
        self.identity.priority(&self.route)
    }

    /// How long its caller waits for the first piece of the answer.
    pub(super) fn first_patience(&self) -> Duration {
        let whole = self.deadline.since(self.arrived);
        let RouteKind::Stream { pause, .. } = self.route.kind else {
            return whole;
        };
        let first = (pause * PATIENCE_PAUSES).max(self.route.target * PATIENCE_TARGETS);
        whole.min(first.max(PATIENCE_LEAST))
    }

    /// Whether it has waited as long as it may for an endpoint that can take it.
    pub(super) fn has_waited_out(&self, now: ClockTime) -> bool {
        let most = admission::longest_wait(&self.route, self.first_patience());
        now.since(self.arrived) > most
    }

    /// How much longer it can wait for its turn at an endpoint that names a limit.
    pub(super) fn turn_patience(&self, now: ClockTime) -> Duration {
        self.wait_left(now).min(MOST_AHEAD)
    }

    /// How much longer it may wait for an endpoint.
    pub(super) fn wait_left(&self, now: ClockTime) -> Duration {
        let most = admission::longest_wait(&self.route, self.first_patience());
        most.saturating_sub(now.since(self.arrived))
    }

    /// How long it waits for its model at the most.
    pub(super) fn model_patience(&self) -> Duration {
        self.first_patience().mul_f64(MODEL_WAIT_SHARE)
    }

    /// How long it waits for its adapter at the most.
    pub(super) fn adapter_patience(&self) -> Duration {
        self.first_patience().mul_f64(ADAPTER_WAIT_SHARE)
    }
}

/// What is to be done with a request now.
#[derive(Debug)]
pub enum Placement {
    /// Send it there.
    Send(PlacedSend),
    /// Ask again when something has changed, at the latest after this long.
    Wait(Duration),
    /// Ask again after this long: what it waits for changes with every request.
    Pause(Duration),
    /// Refuse it.
    Refuse(PlacementRefusal),
}

/// Why a request has no place.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementRefusal {
    /// The refusal.
    pub refusal: Refusal,
    /// The best endpoint for it, if there is one: it is too busy.
    pub best: Option<EndpointChoice>,
    /// What keeps it from its endpoints, if they asked to be left alone.
    pub held: Option<HeldService>,
}

impl PlacementRefusal {
    pub(super) fn without_endpoint(refusal: Refusal) -> Placement {
        Placement::Refuse(Self {
            refusal,
            best: None,
            held: None,
        })
    }

    pub(super) fn held(refusal: Refusal, held: HeldService) -> Placement {
        Placement::Refuse(Self {
            refusal,
            best: None,
            held: Some(held),
        })
    }
}

/// Where a request is sent.
#[derive(Debug)]
pub struct PlacedSend {
    /// The choice, with its prediction.
    pub choice: EndpointChoice,
    /// Where the endpoint listens.
    pub address: SocketAddr,
    /// Requests that the endpoint runs at the same time.
    pub slots: u32,
    /// How old the last word of the endpoint's sidecar was; none without one.
    pub load_age: Option<Duration>,
    /// Its turn, where the endpoint names a limit.
    pub turn: Option<HeldTurn>,
    /// The permit to send it its prompt, if one is needed.
    pub permit: Option<HeldPermit>,
}
