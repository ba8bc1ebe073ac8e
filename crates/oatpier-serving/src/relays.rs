//! The gateways of each availability zone that receive a sidecar's updates directly, and forwarding to the
//! others.
//!
//! With 68 gateways and 93 engines, sidecars that sent their updates to every gateway caused 840 MB of
//! traffic between availability zones per minute, although they limited load updates to one every 0.8 s.
//! Requests then went to engines that had long been full. Therefore, a sidecar sends its updates to two
//! gateways of each zone, its relays. Each relay forwards what it receives to the other gateways of its
//! zone, with many updates in one datagram. The traffic of a sidecar grows with the number of zones instead
//! of gateways, and its load can be sent as soon as it changes.
//!
//! There is no election: each sidecar selects its relays from the gateways that subscribe to it, by a hash of its
//! address and theirs. If a relay fails, only the sidecars that had selected it select another one. The
//! probability of selection grows with the square of a gateway's CPU allotment. One gateway that receives
//! from many sidecars forwards as much in a datagram as ten that receive from few do in ten datagrams, and
//! the smallest VMs need their CPU time for requests.

use std::collections::HashMap;
use std::net::SocketAddr;

use oatpier_types::names::ZoneName;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::message::{EngineUpdate, MessageNumber};

/// Number of relays of a sidecar in each zone. A relay that was killed sends no more subscriptions and
/// expires after some seconds. Until then the updates arrive through the other one.
const RELAYS_PER_ZONE: usize = 2;

/// Number of gateways of a zone that subscribe to a sidecar so regularly that it can select them as relays: the relays
/// and one that can take over at once.
const RELAY_CANDIDATES: usize = RELAYS_PER_ZONE + 1;

/// Maximum number of full status updates per datagram. Each takes about 400 bytes, and a datagram of
/// several packets is lost if any one of them is lost.
const STATUSES_PER_DATAGRAM: usize = 3;

/// Maximum number of load updates, of about 45 bytes each, per datagram.
const LOADS_PER_DATAGRAM: usize = 24;

/// Maximum number of updates of the use by workspaces, of up to 250 bytes each, per datagram.
const SHARES_PER_DATAGRAM: usize = 5;

/// A gateway that a sidecar may select as a relay.
#[derive(Debug, Clone, Copy)]
pub struct RelayCandidate<'a> {
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// The address that it listens on for gateways and sidecars.
    pub address: SocketAddr,
    /// Its CPU allotment in thousandths of a core.
    pub processor: u32,
}

/// Rank and address of a candidate in its zone. The lowest ranks are selected.
type RankedRelay = (f64, SocketAddr);

/// Selects the relays of a sidecar in all zones.
#[must_use]
pub fn select_relays<'a>(
    sidecar: SocketAddr,
    candidates: impl Iterator<Item = RelayCandidate<'a>>,
) -> Vec<SocketAddr> {
    let mut zones: HashMap<&ZoneName, SmallVec<[RankedRelay; 16]>> = HashMap::new();
    for candidate in candidates {
        let rank = rank(sidecar, &candidate);
        let ranked = zones.entry(candidate.zone).or_default();
        ranked.push((rank, candidate.address));
    }
    let mut relays = Vec::with_capacity(zones.len() * RELAYS_PER_ZONE);
    for ranked in zones.values_mut() {
        ranked.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
        relays.extend(
            ranked
                .iter()
                .take(RELAYS_PER_ZONE)
                .map(|(_, address)| *address),
        );
    }
    relays
}

/// Returns whether a sidecar may select the gateway `own` as a relay, given the other gateways of its zone.
#[must_use]
pub fn is_candidate<'a>(
    sidecar: SocketAddr,
    own: &RelayCandidate<'_>,
    others: impl Iterator<Item = &'a RelayCandidate<'a>>,
) -> bool {
    let own_rank = rank(sidecar, own);
    let preferred = others.filter(|other| rank(sidecar, other) < own_rank);
    preferred.take(RELAY_CANDIDATES).count() < RELAY_CANDIDATES
}

/// Computes a rank by weighted rendezvous hashing: the probability of ranking first is the candidate's
/// share of the total weight.
fn rank(sidecar: SocketAddr, candidate: &RelayCandidate<'_>) -> f64 {
    let mut hasher = Xxh3::new();
    for address in [sidecar, candidate.address] {
        match address {
            SocketAddr::V4(address) => hasher.update(&address.ip().octets()),
            SocketAddr::V6(address) => hasher.update(&address.ip().octets()),
        }
        hasher.update(&address.port().to_le_bytes());
    }
    // Only the upper 53 bits are used, so that the conversion is exact. Adding 0.5 keeps the value above
    // zero.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a number of 53 bits is exact in a float"
    )]
    let uniform = ((hasher.digest() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(candidate.processor.max(1)).powi(2)
}

/// Updates that a relay has received from sidecars and not forwarded yet: the latest one of each kind and
/// engine.
#[derive(Debug, Default)]
pub struct RelayQueue {
    statuses: HashMap<SocketAddr, EngineUpdate>,
    loads: HashMap<SocketAddr, EngineUpdate>,
    paces: HashMap<SocketAddr, EngineUpdate>,
    shares: HashMap<SocketAddr, EngineUpdate>,
}

impl RelayQueue {
    /// Queues an update, unless a newer one is queued.
    pub fn push(&mut self, update: EngineUpdate) {
        let queue = self.queue_of(&update);
        let queued = queue.get(&update.engine()).map(EngineUpdate::number);
        if queued.is_none_or(|queued| update.number().supersedes(queued)) {
            queue.insert(update.engine(), update);
        }
    }

    /// Drops an update that another relay of the zone has already forwarded.
    pub fn note_forwarded(&mut self, update: &EngineUpdate) {
        let queue = self.queue_of(update);
        let engine = update.engine();
        if queue
            .get(&engine)
            .is_some_and(|queued| is_covered(queued.number(), update.number()))
        {
            queue.remove(&engine);
        }
    }

    fn queue_of(&mut self, update: &EngineUpdate) -> &mut HashMap<SocketAddr, EngineUpdate> {
        match update {
            EngineUpdate::Status(_) => &mut self.statuses,
            EngineUpdate::Load(_) => &mut self.loads,
            EngineUpdate::Pace(_) => &mut self.paces,
            EngineUpdate::Shares(_) => &mut self.shares,
        }
    }

    /// Removes all queued full status updates and returns them grouped by datagram.
    pub fn drain_statuses(&mut self) -> Vec<Vec<EngineUpdate>> {
        group_updates(&mut self.statuses, STATUSES_PER_DATAGRAM)
    }

    /// Removes all queued load updates and returns them grouped by datagram.
    pub fn drain_loads(&mut self) -> Vec<Vec<EngineUpdate>> {
        group_updates(&mut self.loads, LOADS_PER_DATAGRAM)
    }

    /// Removes all queued updates of capacity and its use, and returns them grouped by datagram. They travel apart
    /// from the others, since gateways of earlier versions cannot decode a datagram that contains one.
    pub fn drain_capacity(&mut self) -> Vec<Vec<EngineUpdate>> {
        let mut datagrams = group_updates(&mut self.paces, LOADS_PER_DATAGRAM);
        datagrams.extend(group_updates(&mut self.shares, SHARES_PER_DATAGRAM));
        datagrams
    }
}

fn group_updates(
    queue: &mut HashMap<SocketAddr, EngineUpdate>,
    max_updates: usize,
) -> Vec<Vec<EngineUpdate>> {
    let updates: Vec<EngineUpdate> = queue.drain().map(|(_, update)| update).collect();
    let datagrams = updates.chunks(max_updates);
    datagrams.map(<[EngineUpdate]>::to_vec).collect()
}

/// Returns whether a forwarded update is of the same sidecar incarnation as the queued one and at least as
/// new.
fn is_covered(queued: MessageNumber, forwarded: MessageNumber) -> bool {
    queued.boot == forwarded.boot && queued.number <= forwarded.number
}
