//! A request that is being placed, and the possible placement decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use oatpier_serving::admission;
use oatpier_serving::call::CallerRequest;
use oatpier_serving::choice::{EndpointChoice, ThrottledService, VersionPin};
use oatpier_serving::crashes::prompt_parts::trials::PartTrial;
use oatpier_serving::fingerprint::RequestFingerprint;
use oatpier_serving::quota::turns::{HeldTurn, MAX_TURN_ADVANCE};
use oatpier_serving::site::{RouteKind, RouteRule};
use oatpier_types::clock::ClockTime;
use oatpier_types::names::PoolName;
use oatpier_types::refusal::Refusal;
use oatpier_types::software::SoftwareVersion;
use oatpier_wire::client::ConnectionChoice;

use super::arrivals::ArrivalForecast;
use super::identity::CallerIdentity;
use super::origins::OriginFinding;
use super::permits::HeldPermit;
use super::quota::ChargeCell;
use super::received::ReceivedHead;

/// The maximum wait for an adapter, as a share of the time that the caller waits for the first chunk. After that a
/// retry by the caller is more likely to succeed.
const ADAPTER_WAIT_SHARE: f64 = 0.4;

/// The maximum wait for a model, as a share of the time that the caller waits for the first chunk. The rest is
/// needed for sending the request and for processing its prompt (prefill), queued behind other requests that waited
/// for the same model.
const MODEL_WAIT_SHARE: f64 = 0.75;

/// Callers of streams give up when nothing arrived for the longest of: two seconds, four times the latency target
/// of the first chunk, and eight times the longest allowed pause between chunks.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
const CALLER_TIMEOUT_TARGETS: u32 = 4;
const CALLER_TIMEOUT_PAUSES: u32 = 8;

/// A request with the properties that its placement depends on.
#[derive(Debug)]
pub struct RequestContext {
    /// The route that matched.
    pub route: Arc<RouteRule>,
    /// The identity of the caller.
    pub identity: CallerIdentity,
    /// The service that the request is sent to.
    pub service: PoolName,
    /// What the caller asked for, decoded from the headers.
    pub request: CallerRequest,
    /// Identifies the request by its content, regardless of the request id.
    pub fingerprint: RequestFingerprint,
    /// The time of arrival.
    pub arrived: ClockTime,
    /// The time at which the caller gets a final response at the latest.
    pub deadline: ClockTime,
    /// What the workspace was charged for the request.
    pub charge: ChargeCell,
    /// Whether the request was already counted as demand that could not be served at once.
    pub is_counted_unserved: AtomicBool,
    /// The forecast of its wait.
    pub forecast: ArrivalForecast,
    /// The versions at which it may be served: any, unless it takes up a stream.
    pub pin: VersionPin,
    /// How the version of the stream was found that it takes up.
    pub finding: Option<OriginFinding>,
}

impl RequestContext {
    /// Returns the priority, 0 being the highest.
    pub(super) fn priority(&self) -> u8 {
        self.identity.priority(&self.route)
    }

    /// Returns how long the caller waits for the first chunk of the response.
    pub(super) fn first_chunk_timeout(&self) -> Duration {
        let max_timeout = self.deadline.since(self.arrived);
        let RouteKind::Stream { pause, .. } = self.route.kind else {
            return max_timeout;
        };
        let timeout =
            (pause * CALLER_TIMEOUT_PAUSES).max(self.route.target * CALLER_TIMEOUT_TARGETS);
        max_timeout.min(timeout.max(MIN_CALLER_TIMEOUT))
    }

    /// Returns whether the request has waited for an endpoint for the maximum time.
    pub(super) fn has_exceeded_wait(&self, now: ClockTime) -> bool {
        let max_wait = admission::max_wait(&self.route, self.first_chunk_timeout());
        now.since(self.arrived) > max_wait
    }

    /// Returns how much longer the request can wait for a turn at a rate-limited endpoint.
    pub(super) fn max_turn_wait(&self, now: ClockTime) -> Duration {
        self.remaining_wait(now).min(MAX_TURN_ADVANCE)
    }

    /// Returns how much longer the request may wait for an endpoint.
    pub(super) fn remaining_wait(&self, now: ClockTime) -> Duration {
        let max_wait = admission::max_wait(&self.route, self.first_chunk_timeout());
        max_wait.saturating_sub(now.since(self.arrived))
    }

    /// Returns the maximum wait for a model.
    pub(super) fn max_model_wait(&self) -> Duration {
        self.first_chunk_timeout().mul_f64(MODEL_WAIT_SHARE)
    }

    /// Returns the maximum wait for an adapter.
    pub(super) fn max_adapter_wait(&self) -> Duration {
        self.first_chunk_timeout().mul_f64(ADAPTER_WAIT_SHARE)
    }
}

/// What to do with a request now.
#[derive(Debug)]
pub enum Placement {
    /// Send the request to this endpoint.
    Send(PlacedSend),
    /// Place the request again when the state changes, or after this time at the latest.
    WaitForChange(Duration),
    /// Place the request again after this time. Used where no signal reports the change: the load of an endpoint
    /// changes with every request.
    Sleep(Duration),
    /// Refuse the request.
    Refuse(PlacementRefusal),
}

/// Why a request could not be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementRefusal {
    /// The refusal.
    pub refusal: Refusal,
    /// The best endpoint, if there is one; it is overloaded.
    pub best: Option<EndpointChoice>,
    /// Why no endpoint can be used, if all are throttled: they asked for a rest period or are over their rate limit.
    pub throttled: Option<ThrottledService>,
}

impl PlacementRefusal {
    pub(super) fn without_endpoint(refusal: Refusal) -> Placement {
        Placement::Refuse(Self {
            refusal,
            best: None,
            throttled: None,
        })
    }

    pub(super) fn overloaded(refusal: Refusal, best: EndpointChoice) -> Placement {
        Placement::Refuse(Self {
            refusal,
            best: Some(best),
            throttled: None,
        })
    }

    pub(super) fn throttled(refusal: Refusal, throttled: ThrottledService) -> Placement {
        Placement::Refuse(Self {
            refusal,
            best: None,
            throttled: Some(throttled),
        })
    }
}

/// The endpoint that a request is sent to.
#[derive(Debug)]
pub struct PlacedSend {
    /// The chosen endpoint, with its prediction.
    pub choice: EndpointChoice,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The version of the endpoint's software, if known.
    pub version: Option<SoftwareVersion>,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// The age of the last status update of the endpoint's sidecar, or `None` without one.
    pub load_age: Option<Duration>,
    /// The turn, if the endpoint has a rate limit.
    pub turn: Option<HeldTurn>,
    /// The permit to send the prompt, if one is needed.
    pub permit: Option<HeldPermit>,
    /// The trial that was granted, if the prompt contains parts that may crash endpoints.
    pub trial: Option<PartTrial>,
    /// The connections on which the request may be sent.
    pub connection: ConnectionChoice,
    /// The head of the response, once it has arrived.
    pub received: Option<ReceivedHead>,
}
