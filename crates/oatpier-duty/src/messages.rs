//! The messages between daemons that more than one package needs to know.

use bytes::Bytes;
use oatpier_membership::messages::{PeerAnswer, PeerCall};
use oatpier_types::config::FleetConfig;
use oatpier_types::names::ZoneName;
use oatpier_types::plan::PlacementPlan;

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
