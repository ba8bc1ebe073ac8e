//! Which gateways there are, and which of them plans.
//!
//! A gateway counts as there while it was heard of within [`PEER_LIFE`]. The one with the lowest
//! address plans. While gateways disagree, two may plan: sidecars keep every promise by
//! themselves, so this costs a few loads at most.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::ModelName;

use crate::message::{ModelDemand, ModelUse, PeerReport};

/// A gateway that was not heard of for this long is gone, stopped or cut off: three of the rarer
/// reports.
pub const PEER_LIFE: Duration = Duration::from_millis(2_400);

/// Gateways that are told the demand: the one that plans, and those that follow if it is gone. The
/// others are only told that this one is there; telling all of them everything would cost bytes and
/// processor time with the square of their number.
const DEMAND_READERS: usize = 2;

/// A gateway plans only if it misses no more than one in this many of the engines that others hear: a few
/// lost datagrams must not move the planning about.
const MISSED_PART: u32 = 4;

/// An address that greeted a sidecar is told reports for this long after it was last named.
const ADDRESS_LIFE: Duration = Duration::from_secs(5);

#[derive(Debug, Clone)]
struct KeptReport {
    report: PeerReport,
    at: ClockTime,
}

/// The other gateways.
#[derive(Debug)]
pub struct PeerBook {
    own: SocketAddr,
    named: HashMap<SocketAddr, ClockTime>,
    reports: HashMap<SocketAddr, KeptReport>,
}

/// Where reports go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportAddresses {
    /// Gateways that plan, or follow the one that does.
    pub readers: Vec<SocketAddr>,
    /// The others.
    pub others: Vec<SocketAddr>,
}

/// The demand of all gateways for one model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TotalDemand {
    /// Requests at engines, on average.
    pub running: f64,
    /// Requests sent to engines, a second, averaged like `running`.
    pub sent: f64,
    /// Requests that can't be served, a second.
    pub unserved: f64,
    /// Requests that came in, a second, over the last second or so.
    pub asked_fast: f64,
    /// The same over the last few seconds.
    pub asked_slow: f64,
    /// Adapters that were asked for lately, at the gateway that saw most of them: gateways see much
    /// the same ones.
    pub adapters: f64,
    /// The time since it was asked for last; none if never.
    pub idle: Option<Duration>,
}

/// The requests of all gateways at engines.
#[derive(Debug, Clone, Default)]
pub struct FleetUses {
    engines: HashMap<SocketAddr, HashMap<ModelName, u32>>,
}

impl FleetUses {
    /// Counts one gateway's requests in.
    pub fn add(&mut self, used: &ModelUse) {
        let models = self.engines.entry(used.engine).or_default();
        *models.entry(used.model.clone()).or_default() += used.requests;
    }

    /// Requests that use a model at an engine.
    #[must_use]
    pub fn requests(&self, engine: SocketAddr, model: &ModelName) -> u32 {
        let models = self.engines.get(&engine);
        models
            .and_then(|models| models.get(model))
            .copied()
            .unwrap_or(0)
    }
}

impl PeerBook {
    /// No peers yet.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            named: HashMap::new(),
            reports: HashMap::new(),
        }
    }

    /// A sidecar named gateways that greet it.
    pub fn note_named(&mut self, gateways: &[SocketAddr], now: ClockTime) {
        for address in gateways.iter().filter(|address| **address != self.own) {
            self.named.insert(*address, now);
        }
    }

    /// A peer reported. An older report than the one that is kept changes nothing.
    pub fn take_report(&mut self, from: SocketAddr, report: PeerReport, now: ClockTime) {
        let kept = self.reports.get(&from).map(|kept| kept.report.number);
        if kept.is_none_or(|kept| report.number.supersedes(kept)) {
            self.reports.insert(from, KeptReport { report, at: now });
            self.named.insert(from, now);
        }
    }

    /// Where reports go: the gateways that need the demand, and the others.
    pub fn addresses(&mut self, now: ClockTime) -> ReportAddresses {
        self.named
            .retain(|_, named_at| now.since(*named_at) < ADDRESS_LIFE);
        self.reports
            .retain(|_, kept| now.since(kept.at) < ADDRESS_LIFE);
        let mut all: Vec<SocketAddr> = self.named.keys().copied().collect();
        all.sort_unstable();
        let heard = |address: &SocketAddr| {
            let kept = self.reports.get(address);
            kept.is_none_or(|kept| now.since(kept.at) < PEER_LIFE)
        };
        let readers: Vec<SocketAddr> = all
            .iter()
            .copied()
            .filter(heard)
            .take(DEMAND_READERS)
            .collect();
        all.retain(|address| !readers.contains(address));
        ReportAddresses {
            readers,
            others: all,
        }
    }

    /// How many gateways there are, this one included.
    #[must_use]
    pub fn count(&self, now: ClockTime) -> usize {
        1 + self.live(now).count()
    }

    /// The gateway that plans: the one with the lowest address among those that hear most of the engines
    /// that anybody hears. One that has just started, or is cut off from sidecars, takes engines for busy
    /// that wait for advice; for as long as it planned, nothing would be loaded.
    #[must_use]
    pub fn planner(&self, own_heard: u32, now: ClockTime) -> SocketAddr {
        let peers = self.live(now).filter(|(_, kept)| !kept.report.leaving);
        let peers = peers.map(|(address, kept)| (*address, kept.report.engines_heard));
        let all: Vec<(SocketAddr, u32)> = peers.chain([(self.own, own_heard)]).collect();
        let most = all.iter().map(|(_, heard)| *heard).max().unwrap_or(0);
        let least = most - most / MISSED_PART;
        let able = all.iter().filter(|(_, heard)| *heard >= least);
        able.map(|(address, _)| *address).min().unwrap_or(self.own)
    }

    /// Whether this gateway plans, which hears so many engines.
    #[must_use]
    pub fn is_planner(&self, own_heard: u32, now: ClockTime) -> bool {
        self.planner(own_heard, now) == self.own
    }

    /// The demand of all gateways, this one's own included.
    #[must_use]
    pub fn total(&self, own: &[ModelDemand], now: ClockTime) -> HashMap<ModelName, TotalDemand> {
        let mut total: HashMap<ModelName, TotalDemand> = HashMap::new();
        let reported = self.live(now).flat_map(|(_, kept)| &kept.report.demand);
        for demand in own.iter().chain(reported) {
            let sum = total.entry(demand.model.clone()).or_default();
            let idle = Duration::from_millis(u64::from(demand.idle_ms));
            sum.running += f64::from(demand.running);
            sum.sent += f64::from(demand.sent);
            sum.unserved += f64::from(demand.unserved);
            sum.asked_fast += f64::from(demand.asked_fast);
            sum.asked_slow += f64::from(demand.asked_slow);
            sum.adapters = sum.adapters.max(f64::from(demand.adapters));
            sum.idle = Some(sum.idle.map_or(idle, |known| known.min(idle)));
        }
        total
    }

    /// The requests of all gateways at engines, this one's own included.
    #[must_use]
    pub fn uses(&self, own: &[ModelUse], now: ClockTime) -> FleetUses {
        let mut uses = FleetUses::default();
        let reported = self.live(now).flat_map(|(_, kept)| &kept.report.uses);
        own.iter().chain(reported).for_each(|used| uses.add(used));
        uses
    }

    fn live(&self, now: ClockTime) -> impl Iterator<Item = (&SocketAddr, &KeptReport)> {
        self.reports
            .iter()
            .filter(move |(_, kept)| now.since(kept.at) < PEER_LIFE)
    }
}
