//! Which gateways of each availability zone hear a sidecar, and what they pass on.
//!
//! The load: with 68 gateways before 93 engines, sidecars that told every gateway sent 840 MB between
//! availability zones within a minute, and told their load only every 0.8 s to bear that. Requests went to
//! engines that were long full. So a sidecar tells two gateways of each zone, and each of these passes
//! on what it hears to the others of its zone, many words in one datagram. What a sidecar sends then
//! grows with the number of zones and not of gateways, and its load can be told as soon as it changes.
//!
//! Nobody elects relays: each sidecar draws its own from the gateways that greet it, by a hash that both
//! its address and theirs go into. When one is gone only the sidecars that drew it draw another one. The chance to
//! be drawn grows with the square of a gateway's processor: one that hears many sidecars passes on as much in a
//! datagram as ten that hear few pass on in ten, and thin VMs need their processor for requests.

use std::collections::HashMap;
use std::net::SocketAddr;

use oatpier_types::names::ZoneName;
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::message::{EngineWord, MessageNumber};

/// Relays that each sidecar has in a zone. One that was killed is greeted for by nobody and drops out after
/// seconds; until then the other one is heard.
const RELAYS_EACH: usize = 2;

/// Whole pulses in one datagram: each takes some 400 bytes, and a datagram of more than one packet is lost if
/// any of its packets is.
const PULSES_TOGETHER: usize = 3;

/// Load pulses in one datagram, of some 45 bytes.
const LOADS_TOGETHER: usize = 24;

/// A gateway that a sidecar may draw as a relay.
#[derive(Debug, Clone, Copy)]
pub struct RelayCandidate<'a> {
    /// Its availability zone.
    pub zone: &'a ZoneName,
    /// Where it hears.
    pub address: SocketAddr,
    /// Its processor, in thousandths of a core.
    pub processor: u32,
}

/// A candidate's rank in its zone: the lower the better.
type DrawnRelay = (f64, SocketAddr);

/// The relays of a sidecar in all zones.
#[must_use]
pub fn draw<'a>(
    sidecar: SocketAddr,
    candidates: impl Iterator<Item = RelayCandidate<'a>>,
) -> Vec<SocketAddr> {
    let mut zones: HashMap<&ZoneName, SmallVec<[DrawnRelay; 16]>> = HashMap::new();
    for candidate in candidates {
        let rank = rank(sidecar, &candidate);
        let drawn = zones.entry(candidate.zone).or_default();
        drawn.push((rank, candidate.address));
    }
    let mut relays = Vec::with_capacity(zones.len() * RELAYS_EACH);
    for drawn in zones.values_mut() {
        drawn.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
        relays.extend(drawn.iter().take(RELAYS_EACH).map(|(_, address)| *address));
    }
    relays
}

/// Weighted rendezvous hashing: the chance to come first is the candidate's share of all weights.
fn rank(sidecar: SocketAddr, candidate: &RelayCandidate<'_>) -> f64 {
    let mut hasher = Xxh3::new();
    for address in [sidecar, candidate.address] {
        match address {
            SocketAddr::V4(address) => hasher.update(&address.ip().octets()),
            SocketAddr::V6(address) => hasher.update(&address.ip().octets()),
        }
        hasher.update(&address.port().to_le_bytes());
    }
    // The upper 53 bits, so that every value has an exact fraction, which is never zero.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a number of 53 bits is exact in a float"
    )]
    let uniform = ((hasher.digest() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(candidate.processor.max(1)).powi(2)
}

/// What a relay has heard from sidecars and not passed on yet: the newest word of each kind and engine.
#[derive(Debug, Default)]
pub struct RelayQueue {
    pulses: HashMap<SocketAddr, EngineWord>,
    loads: HashMap<SocketAddr, EngineWord>,
}

impl RelayQueue {
    /// A sidecar told something.
    pub fn take(&mut self, word: EngineWord) {
        let kept = match &word {
            EngineWord::Pulse(_) => &mut self.pulses,
            EngineWord::Load(_) => &mut self.loads,
        };
        let known = kept.get(&word.engine()).map(EngineWord::number);
        if known.is_none_or(|known| word.number().supersedes(known)) {
            kept.insert(word.engine(), word);
        }
    }

    /// Another relay of the zone passed this on: who it told need not be told again.
    pub fn note_passed_on(&mut self, word: &EngineWord) {
        let kept = match word {
            EngineWord::Pulse(_) => &mut self.pulses,
            EngineWord::Load(_) => &mut self.loads,
        };
        let engine = word.engine();
        if kept
            .get(&engine)
            .is_some_and(|known| is_covered(known.number(), word.number()))
        {
            kept.remove(&engine);
        }
    }

    /// Everything that is to be passed on, in datagrams.
    pub fn drain(&mut self) -> Vec<Vec<EngineWord>> {
        let mut datagrams = Vec::new();
        for (kept, most) in [
            (&mut self.pulses, PULSES_TOGETHER),
            (&mut self.loads, LOADS_TOGETHER),
        ] {
            let words: Vec<EngineWord> = kept.drain().map(|(_, word)| word).collect();
            datagrams.extend(words.chunks(most).map(<[EngineWord]>::to_vec));
        }
        datagrams
    }
}

/// Whether a word says all that another one of the same sidecar's incarnation does.
fn is_covered(kept: MessageNumber, passed: MessageNumber) -> bool {
    kept.boot == passed.boot && kept.number <= passed.number
}
