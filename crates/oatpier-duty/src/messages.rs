//! The messages between daemons that more than one package needs to know.

use bytes::Bytes;
use oatpier_membership::messages::{PeerAnswer, PeerCall};
use oatpier_types::config::FleetConfig;
use oatpier_types::ids::{AttemptId, BootId};
use oatpier_types::names::ZoneName;
use oatpier_types::plan::PlacementPlan;
use oatpier_types::pulse::AdmissionTicket;
use oatpier_wire::attempt::{CancelAttempt, CancelReach, HeaderPair};
use serde::Deserialize;

/// Where an agent says what its endpoint is and holds.
pub const STATUS_PATH: &str = "/agent/status";

/// Where entries and agents take a [`FleetCall`]: heartbeats, gossip, summaries, pulls and pushes
/// of the configuration.
pub const PEER_PATH: &str = "/peer/call";

/// A call between daemons about membership and configuration.
pub type FleetCall = PeerCall<FleetConfig>;

/// The answer to a [`FleetCall`].
pub type FleetAnswer = PeerAnswer<FleetConfig>;

/// The prefix of the keys of plans in the store.
pub const PLAN_PREFIX: &str = "plan/";

/// The key of an availability zone's plan: the rows of its engine endpoints.
///
/// A value for each availability zone, since the plan of thousands of endpoints in one value
/// would be over the store's megabyte, and each agent would read all of it for one row.
#[must_use]
pub fn plan_key(zone: &ZoneName) -> String {
    format!("{PLAN_PREFIX}{zone}")
}

/// A plan as the store keeps it: JSON, which operators can read.
///
/// # Errors
///
/// Never in practice: a plan always has a form in JSON.
pub fn encode_plan(plan: &PlacementPlan) -> Result<Bytes, serde_json::Error> {
    serde_json::to_vec(plan).map(Bytes::from)
}

/// The plan that the store keeps.
///
/// # Errors
///
/// The bytes are not a plan.
pub fn decode_plan(bytes: &[u8]) -> Result<PlacementPlan, serde_json::Error> {
    serde_json::from_slice(bytes)
}

/// The header pair of an attempt that carries its ticket.
const TICKET_HEADER: &str = "oatpier-ticket";

/// A [`CancelAttempt`] with the names that agents used before the wire had the ticket.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "CancelAttempt")]
pub struct CancelCall {
    attempt: AttemptId,
    /// The ticket that the attempt was sent with.
    pub ticket: AdmissionTicket,
    /// Whether an attempt that runs already is left running.
    pub seal_only: bool,
}

impl From<CancelAttempt> for CancelCall {
    fn from(cancel: CancelAttempt) -> Self {
        Self {
            attempt: cancel.attempt,
            ticket: cancel.ticket,
            seal_only: cancel.reach == CancelReach::SealOnly,
        }
    }
}

impl CancelCall {
    /// The attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }
}

/// The pair that carries a ticket with an attempt.
#[must_use]
pub fn ticket_pair(ticket: AdmissionTicket) -> HeaderPair {
    HeaderPair {
        name: TICKET_HEADER.to_owned(),
        value: format!("{}.{}", ticket.boot, ticket.sequence).into(),
    }
}

/// Takes the ticket out of an attempt's pairs; the head's own `ticket` says the same. Without one the attempt is of no agent's start,
/// and the policy refuses it.
#[must_use]
pub fn take_ticket(pairs: &mut Vec<HeaderPair>) -> AdmissionTicket {
    let place = pairs.iter().position(|pair| pair.name == TICKET_HEADER);
    place
        .map(|place| pairs.swap_remove(place))
        .and_then(|pair| parse_ticket(&pair.value))
        .unwrap_or(AdmissionTicket {
            boot: BootId(0),
            sequence: 0,
        })
}

fn parse_ticket(value: &[u8]) -> Option<AdmissionTicket> {
    let (boot, sequence) = std::str::from_utf8(value).ok()?.split_once('.')?;
    Some(AdmissionTicket {
        boot: BootId(u128::from_str_radix(boot, 16).ok()?),
        sequence: sequence.parse().ok()?,
    })
}
