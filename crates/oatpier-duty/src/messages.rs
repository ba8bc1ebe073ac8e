//! The messages between daemons that more than one package uses.

use bytes::Bytes;
use oatpier_membership::messages::{PeerAnswer, PeerCall};
use oatpier_types::config::FleetConfig;
use oatpier_types::names::ZoneName;
use oatpier_types::plan::PlacementPlan;

/// The path at which an agent reports the status of its endpoint and the weights that it holds.
pub const STATUS_PATH: &str = "/agent/status";

/// The path at which entries and agents accept a [`FleetCall`]: heartbeats, gossip, summaries, pulls and pushes of the
/// configuration.
pub const PEER_PATH: &str = "/peer/call";

/// A call between daemons about membership and configuration.
pub type FleetCall = PeerCall<FleetConfig>;

/// The response to a [`FleetCall`].
pub type FleetAnswer = PeerAnswer<FleetConfig>;

/// The prefix of the store keys of plans.
pub const PLAN_PREFIX: &str = "plan/";

/// Returns the store key of an availability zone's plan, which has a row for each engine endpoint.
///
/// Each availability zone has a separate value, because a plan of thousands of endpoints would exceed the store's
/// limit of one megabyte per value, and each agent would read all of it for one row.
#[must_use]
pub fn plan_key(zone: &ZoneName) -> String {
    format!("{PLAN_PREFIX}{zone}")
}

/// Encodes a plan for the store, as JSON that operators can read.
///
/// # Errors
///
/// Never returned in practice: every plan can be encoded as JSON.
pub fn encode_plan(plan: &PlacementPlan) -> Result<Bytes, serde_json::Error> {
    serde_json::to_vec(plan).map(Bytes::from)
}

/// Decodes a plan from the store.
///
/// # Errors
///
/// Returns an error if the bytes are not a plan.
pub fn decode_plan(bytes: &[u8]) -> Result<PlacementPlan, serde_json::Error> {
    serde_json::from_slice(bytes)
}
