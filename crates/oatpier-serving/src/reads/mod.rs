//! How a gateway follows the store: when it reads, and what it learns from the reads of other gateways.
//!
//! With 68 gateways that each read the configuration and the registry every 1.8 s, the store received
//! nearly 40 calls per second that all returned the same data, and the smallest gateways spent a twentieth
//! of their CPU time on decoding it. Therefore, a gateway that has read the store sends the gateways of its
//! availability zone what has changed. There is no election: the gateway that is due first reads, and if it
//! fails the next one is due shortly after. A gateway that finds that a message does not contain everything asks
//! its sender for the rest. Each gateway ensures by itself that it sees a change in time, whatever messages it
//! receives.
//!
//! Contents are ordered by [`StorePosition`], the store's era and revision, not by the order in which they
//! arrive. A message states the position that its changes start from. It applies to each view at that
//! position or a later one, whatever else differs, so a lost or doubled message does no harm.
//!
//! - [`StoreFollower`]: what a gateway does and learns.
//! - [`StoreView`]: the registry as known here, with the history of its changes.
//! - [`StoreDelta`]: the changes that one gateway sends to another.
//! - [`ContentsDigest`]: whether two gateways know the same contents.
//! - [`ReadSchedule`]: when the next read is due.

mod delta;
mod digest;
mod fetch;
mod follower;
mod rows;
mod schedule;
mod view;

pub use delta::{RemovedEndpoint, StoreDelta, StorePosition};
pub use digest::{
    ContentsDigest, InternalContents, InternalDigest, config_digest, endpoint_digest,
};
pub use fetch::{ExcerptFetch, ExcerptQuery, StoreExcerpt};
pub use follower::{FollowerTimes, KnowledgeSource, ReadPlan, StoreFollower, StoreKnowledge};
pub use schedule::{ReadSchedule, ZonePlace};
pub use view::{DeltaOutcome, NO_CONFIG, RegisteredEndpoints, StoreContents, StoreView};
