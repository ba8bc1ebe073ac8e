//! When a gateway asks another one for what that one knows of the store, and which one: while it can't read the store,
//! and when a message says that the other one has read something that the message does not contain.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::delta::{StoreDelta, StorePosition};
use super::digest::{InternalContents, InternalDigest};
use crate::site::SiteConfig;

/// Number of gateways that are asked one after the other before a pause. Some of them may be turned away by
/// the store as well.
const ROUND_TRIES: usize = 3;

/// Pause between rounds, as a share of the time within which a change must be seen.
const ROUND_PAUSE_SHARE: f64 = 0.5;

/// What a gateway knows already when it asks another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ExcerptQuery {
    /// The position of its view; `None` if it has none.
    pub since: Option<StorePosition>,
    /// Digest of the entries that gateways wrote.
    pub internal: InternalDigest,
    /// Digest of the configuration, see [`config_digest`](super::config_digest).
    pub config: u64,
}

/// What another gateway knows beyond an [`ExcerptQuery`].
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoreExcerpt {
    /// The registry: what has changed, or all of it.
    pub delta: StoreDelta,
    /// Whether the delta contains the whole registry, because the changes are not known one by one.
    pub is_whole: bool,
    /// The entries that gateways wrote, if they differ.
    pub internal: Option<InternalContents>,
    /// The configuration, if it differs. Keys are transferred as digests.
    pub config: Option<Arc<SiteConfig>>,
}

/// A question to another gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExcerptFetch {
    /// The gateway to ask.
    pub peer: SocketAddr,
    /// What is known here.
    pub query: ExcerptQuery,
}

/// The schedule of questions to other gateways.
///
/// The gateways are drawn at random, so that a fleet that falls behind as a whole does not ask one of them.
#[derive(Debug)]
pub(super) struct FetchSchedule {
    generator: ChaCha8Rng,
    next_at: ClockTime,
    /// Gateways that were asked in this round and could not help.
    tried: SmallVec<[SocketAddr; ROUND_TRIES]>,
    /// A gateway that is known to know more.
    hint: Option<SocketAddr>,
}

impl FetchSchedule {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(seed),
            next_at: ClockTime::ZERO,
            tried: SmallVec::new(),
            hint: None,
        }
    }

    /// Returns when the next gateway may be asked.
    pub(super) fn next_at(&self) -> ClockTime {
        self.next_at
    }

    /// Records that a gateway knows more than this one, so that it is asked first and at once.
    pub(super) fn note_hint(&mut self, peer: SocketAddr, now: ClockTime) {
        if !self.tried.contains(&peer) {
            self.hint = Some(peer);
            self.next_at = self.next_at.min(now);
        }
    }

    /// Records that a gateway has read what a message of it did not contain, so that it is to be asked within `spread`.
    /// All gateways of a zone have received that message.
    pub(super) fn note_reader(&mut self, reader: SocketAddr, spread: Duration, now: ClockTime) {
        self.tried.clear();
        self.hint = Some(reader);
        self.next_at = now + spread.mul_f64(self.generator.random());
    }

    /// Returns the gateway to ask next. If there is none, the round is over.
    pub(super) fn pick(
        &mut self,
        peers: &[SocketAddr],
        period: Duration,
        now: ClockTime,
    ) -> Option<SocketAddr> {
        let hint = self.hint.take();
        let untried: SmallVec<[SocketAddr; 8]> = peers
            .iter()
            .filter(|peer| !self.tried.contains(peer))
            .copied()
            .collect();
        let drawn = || {
            let index = self.generator.random_range(0..untried.len().max(1));
            untried.get(index).copied()
        };
        let picked = hint.or_else(drawn);
        match picked {
            Some(peer) => self.tried.push(peer),
            None => self.end_round(period, now),
        }
        picked
    }

    /// Records that the gateway asked last could not help.
    pub(super) fn note_useless(&mut self, period: Duration, now: ClockTime) {
        if self.tried.len() >= ROUND_TRIES {
            self.end_round(period, now);
        }
    }

    /// Ends the round: what was learned is as new as it can be, or all gateways were asked in vain.
    pub(super) fn end_round(&mut self, period: Duration, now: ClockTime) {
        self.tried.clear();
        self.next_at = now + period.mul_f64(ROUND_PAUSE_SHARE);
    }
}
