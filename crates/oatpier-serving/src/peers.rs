//! Membership of the gateways, and the choice of the gateway that plans.
//!
//! A gateway counts as live until three of its reports in a row are missing. Among the gateways that keep
//! up with their work, the one with the largest CPU allotment is the planner. While the gateways' views
//! differ, two of them may plan. This costs a few loads at most, because each sidecar enforces all limits
//! by itself.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{ModelName, ZoneName};

use crate::message::{ModelDemand, ModelUse, PeerReport};
use crate::reads::ZonePlace;
use crate::relays::RelayCandidate;

/// Consecutive reports of a gateway that may be missing before it counts as gone, stopped or partitioned.
const MAX_MISSING_REPORTS: u32 = 3;

/// Tolerance for late reports: one round of the sender's timers on a busy VM.
const REPORT_SLACK: Duration = Duration::from_millis(150);

/// Number of gateways that receive the full demand: the planner and its successor.
///
/// The others only receive reports that show the sender is live. Sending the full demand to all of them
/// would cost bytes and CPU time that grow with the square of the number of gateways.
const DEMAND_READERS: usize = 2;

/// A gateway may plan only if it misses at most this fraction (one in four) of the engines that the
/// best-connected gateway receives updates from. A few lost datagrams must not move the planner.
const MISSED_ENGINES_DIVISOR: u32 = 4;

/// Time for which a gateway's address is sent reports after a sidecar last named it or its last report.
const ADDRESS_EXPIRY: Duration = Duration::from_secs(5);

/// Time after its last request from which a model counts as never requested.
const DEMAND_EXPIRY: Duration = Duration::from_mins(2);

#[derive(Debug, Clone)]
struct LatestReport {
    report: PeerReport,
    at: ClockTime,
}

impl LatestReport {
    /// Returns whether the sender counts as live.
    fn is_live(&self, now: ClockTime) -> bool {
        let every = Duration::from_millis(u64::from(self.report.every_ms));
        now.since(self.at) < every * MAX_MISSING_REPORTS + REPORT_SLACK
    }

    /// Merges a partial report, which replaces the demand for the models it lists and the sender's state.
    fn merge(&mut self, partial: PeerReport, now: ClockTime) {
        let known = std::mem::take(&mut self.report.demand);
        let is_renewed =
            |row: &ModelDemand| partial.demand.iter().any(|new| new.model == row.model);
        let mut demand: Vec<ModelDemand> =
            known.into_iter().filter(|row| !is_renewed(row)).collect();
        demand.extend(partial.demand);
        let uses = std::mem::take(&mut self.report.uses);
        self.report = PeerReport {
            demand,
            uses,
            every_ms: self.report.every_ms,
            ..partial
        };
        self.at = now;
    }
}

/// The other gateways as known to this one.
#[derive(Debug)]
pub struct PeerTable {
    own: PlannerCandidate,
    named_at: HashMap<SocketAddr, ClockTime>,
    reports: HashMap<SocketAddr, LatestReport>,
    /// When each model was last requested at any gateway that reported it.
    last_requested: HashMap<ModelName, ClockTime>,
}

/// The properties by which gateways are ranked for planning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerCandidate {
    /// The address that it listens on for gateways and sidecars.
    pub address: SocketAddr,
    /// Its CPU allotment in thousandths of a core.
    pub processor: u32,
    /// Whether it has more work than its CPU allotment allows.
    pub is_behind: bool,
    /// Number of engines that it receives updates from.
    pub engines_heard: u32,
}

impl PlannerCandidate {
    fn of(address: SocketAddr, report: &PeerReport) -> Self {
        Self {
            address,
            processor: report.processor,
            is_behind: report.is_behind,
            engines_heard: report.engines_heard,
        }
    }

    /// Sort key: the gateway with the lowest key plans. A planning round takes 200 ms on the smallest VMs
    /// and a few milliseconds on the others, and the demand of every gateway is sent to the planner.
    fn sort_key(&self) -> (bool, Reverse<u32>, SocketAddr) {
        (self.is_behind, Reverse(self.processor), self.address)
    }
}

/// Addresses that reports are sent to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportAddresses {
    /// The planner and its successor.
    pub readers: Vec<SocketAddr>,
    /// The gateways that have been named and have not reported yet.
    pub unreported: Vec<SocketAddr>,
    /// The other gateways in the same availability zone.
    pub near: Vec<SocketAddr>,
    /// The gateways in other availability zones.
    pub far: Vec<SocketAddr>,
}

/// The demand for one model, summed over all gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TotalDemand {
    /// Average number of requests at engines.
    pub running: f64,
    /// Requests sent to engines per second, averaged like `running`.
    pub sent: f64,
    /// Requests per second that cannot be served.
    pub unserved: f64,
    /// Requests received per second, averaged over about one second.
    pub asked_fast: f64,
    /// The same, averaged over a few seconds.
    pub asked_slow: f64,
    /// The same, averaged over about ten seconds.
    pub asked_long: f64,
    /// Recently requested adapters at the gateway that saw the most of them. They are not summed, because
    /// gateways see mostly the same adapters.
    pub adapters: f64,
    /// Time since the last request; `None` if there was none.
    pub idle: Option<Duration>,
}

impl TotalDemand {
    fn add(&mut self, demand: &ModelDemand) {
        self.running += f64::from(demand.running);
        self.sent += f64::from(demand.sent);
        self.unserved += f64::from(demand.unserved);
        self.asked_fast += f64::from(demand.asked_fast);
        self.asked_slow += f64::from(demand.asked_slow);
        self.asked_long += f64::from(demand.asked_long);
        self.adapters = self.adapters.max(f64::from(demand.adapters));
        self.note_idle(Duration::from_millis(u64::from(demand.idle_ms)));
    }

    fn note_idle(&mut self, idle: Duration) {
        self.idle = Some(self.idle.map_or(idle, |known| known.min(idle)));
    }
}

/// The requests of all gateways at each engine.
#[derive(Debug, Clone, Default)]
pub struct FleetUses {
    engines: HashMap<SocketAddr, HashMap<ModelName, u32>>,
}

impl FleetUses {
    /// Adds the requests of one gateway.
    pub fn add(&mut self, used: &ModelUse) {
        let models = self.engines.entry(used.engine).or_default();
        *models.entry(used.model.clone()).or_default() += used.requests;
    }

    /// Returns the number of requests that use a model at an engine.
    #[must_use]
    pub fn requests(&self, engine: SocketAddr, model: &ModelName) -> u32 {
        let models = self.engines.get(&engine);
        models
            .and_then(|models| models.get(model))
            .copied()
            .unwrap_or(0)
    }
}

impl PeerTable {
    /// Creates a table without peers.
    #[must_use]
    pub fn new(own: SocketAddr, processor: u32) -> Self {
        Self {
            own: PlannerCandidate {
                address: own,
                processor,
                is_behind: false,
                engines_heard: 0,
            },
            named_at: HashMap::new(),
            reports: HashMap::new(),
            last_requested: HashMap::new(),
        }
    }

    /// Updates the properties of this gateway.
    pub fn set_own(&mut self, engines_heard: u32, is_behind: bool) {
        self.own.engines_heard = engines_heard;
        self.own.is_behind = is_behind;
    }

    /// Returns the properties of this gateway as last updated.
    #[must_use]
    pub fn own(&self) -> PlannerCandidate {
        self.own
    }

    /// Records the gateways that a sidecar has received subscriptions from.
    pub fn note_named(&mut self, gateways: &[SocketAddr], now: ClockTime) {
        let own = self.own.address;
        for address in gateways.iter().filter(|address| **address != own) {
            self.named_at.insert(*address, now);
        }
    }

    /// Applies a report of a peer, unless a newer one has been applied.
    pub fn apply_report(&mut self, from: SocketAddr, report: PeerReport, now: ClockTime) {
        let kept = self.reports.get(&from).map(|kept| kept.report.number);
        if !kept.is_none_or(|kept| report.number.supersedes(kept)) {
            return;
        }
        self.named_at.insert(from, now);
        self.note_requested(&report.demand, now);
        match self.reports.get_mut(&from) {
            Some(kept) if report.is_partial && kept.report.number.boot == report.number.boot => {
                kept.merge(report, now);
            }
            _ => {
                self.reports.insert(from, LatestReport { report, at: now });
            }
        }
    }

    /// Records when models were requested, because gateways report a model only while it is in demand.
    fn note_requested(&mut self, demand: &[ModelDemand], now: ClockTime) {
        self.last_requested
            .retain(|_, requested_at| now.since(*requested_at) < DEMAND_EXPIRY);
        for row in demand {
            let at = now - Duration::from_millis(u64::from(row.idle_ms));
            let requested_at = self.last_requested.entry(row.model.clone()).or_insert(at);
            *requested_at = at.max(*requested_at);
        }
    }

    /// Returns all other gateways that are live or have recently been named by a sidecar.
    pub fn known(&self, now: ClockTime) -> impl Iterator<Item = SocketAddr> + '_ {
        let addresses = self.named_at.keys().copied();
        addresses.filter(move |address| self.is_known(*address, now))
    }

    fn is_known(&self, address: SocketAddr, now: ClockTime) -> bool {
        let named_at = self.named_at.get(&address);
        let is_named = named_at.is_some_and(|at| now.since(*at) < ADDRESS_EXPIRY);
        let report = self.reports.get(&address);
        is_named || report.is_some_and(|kept| kept.is_live(now))
    }

    /// Returns the addresses of the live gateways that are not shutting down.
    #[must_use]
    pub fn live_addresses(&self, now: ClockTime) -> Vec<SocketAddr> {
        let live = self.live(now).filter(|(_, kept)| !kept.report.leaving);
        let mut addresses: Vec<SocketAddr> = live.map(|(address, _)| *address).collect();
        addresses.sort_unstable();
        addresses
    }

    /// Returns the addresses that reports are sent to, and removes expired peers.
    pub fn addresses(&mut self, zone: &ZoneName, now: ClockTime) -> ReportAddresses {
        let named = self.named_at.keys().copied();
        let expired: Vec<SocketAddr> = named
            .filter(|address| !self.is_known(*address, now))
            .collect();
        for address in expired {
            self.named_at.remove(&address);
        }
        self.reports
            .retain(|_, kept| kept.is_live(now) || now.since(kept.at) < ADDRESS_EXPIRY);
        let mut addresses = ReportAddresses {
            readers: self.readers(now),
            ..ReportAddresses::default()
        };
        for address in self.named_at.keys() {
            if addresses.readers.contains(address) {
                continue;
            }
            let group = match self.reports.get(address) {
                None => &mut addresses.unreported,
                Some(kept) if kept.report.zone == *zone => &mut addresses.near,
                Some(_) => &mut addresses.far,
            };
            group.push(*address);
        }
        addresses.unreported.sort_unstable();
        addresses.near.sort_unstable();
        addresses.far.sort_unstable();
        addresses
    }

    /// Returns the other gateways that receive the full demand.
    fn readers(&self, now: ClockTime) -> Vec<SocketAddr> {
        let mut candidates: Vec<PlannerCandidate> = self
            .live(now)
            .filter(|(_, kept)| !kept.report.leaving)
            .map(|(address, kept)| PlannerCandidate::of(*address, &kept.report))
            .collect();
        candidates.sort_by_key(PlannerCandidate::sort_key);
        let addresses = candidates.iter().map(|candidate| candidate.address);
        addresses.take(DEMAND_READERS).collect()
    }

    /// Returns whether this gateway is the planner or its successor, in which case the others must detect
    /// its failure quickly.
    #[must_use]
    pub fn receives_demand(&self, now: ClockTime) -> bool {
        let before = self.live(now).filter(|(address, kept)| {
            let peer = PlannerCandidate::of(**address, &kept.report);
            !kept.report.leaving && peer.sort_key() < self.own.sort_key()
        });
        before.count() < DEMAND_READERS
    }

    /// Returns the number of gateways, excluding those that are leaving, that rank before this one.
    #[must_use]
    pub fn rank(&self, now: ClockTime) -> usize {
        let live = self.live(now).filter(|(_, kept)| !kept.report.leaving);
        let peers = live.map(|(address, kept)| PlannerCandidate::of(*address, &kept.report));
        peers
            .filter(|peer| peer.sort_key() < self.own.sort_key())
            .count()
    }

    /// Returns the other live gateways of an availability zone.
    pub fn in_zone<'a>(
        &'a self,
        zone: &'a ZoneName,
        now: ClockTime,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let live = self.live(now).filter(|(_, kept)| kept.report.zone == *zone);
        live.map(|(address, _)| *address)
    }

    /// Returns the other live gateways of an availability zone as candidates for relays.
    #[must_use]
    pub fn zone_candidates<'a>(
        &'a self,
        zone: &'a ZoneName,
        now: ClockTime,
    ) -> Vec<RelayCandidate<'a>> {
        let live = self.live(now).filter(|(_, kept)| kept.report.zone == *zone);
        let candidates = live.map(|(address, kept)| RelayCandidate {
            zone,
            address: *address,
            processor: kept.report.processor,
        });
        candidates.collect()
    }

    /// Returns the place of this gateway among the live ones of its availability zone, or `None` if it knows no other. Those with larger CPU
    /// allotments come first.
    #[must_use]
    pub fn zone_place(&self, zone: &ZoneName, now: ClockTime) -> Option<ZonePlace> {
        let sort_key = |processor: u32, address| (Reverse(processor), address);
        let own = sort_key(self.own.processor, self.own.address);
        let others = self.live(now);
        let others = others
            .filter(|(_, kept)| kept.report.zone == *zone && !kept.report.leaving)
            .map(|(address, kept)| sort_key(kept.report.processor, *address));
        let mut place = ZonePlace {
            rank: 0,
            gateways: 1,
        };
        for other in others {
            place.gateways += 1;
            place.rank += u32::from(other < own);
        }
        (place.gateways > 1).then_some(place)
    }

    /// Returns the number of gateways, including this one.
    ///
    /// Gateways that a sidecar has named count before their first report. Otherwise, gateways that have
    /// just started would take too large a part of what is divided by this number.
    #[must_use]
    pub fn count(&self, now: ClockTime) -> usize {
        1 + self.known(now).count()
    }

    /// Returns the gateway that plans: the highest-ranked one among those that receive updates from most of
    /// the engines.
    ///
    /// A gateway that has just started, or is partitioned from the sidecars, regards engines that wait
    /// for advice as busy. No model would be loaded while it planned.
    #[must_use]
    pub fn planner(&self, now: ClockTime) -> SocketAddr {
        let peers = self.live(now).filter(|(_, kept)| !kept.report.leaving);
        let peers = peers.map(|(address, kept)| PlannerCandidate::of(*address, &kept.report));
        let all: Vec<PlannerCandidate> = peers.chain([self.own]).collect();
        let counts = all.iter().map(|candidate| candidate.engines_heard);
        let most = counts.max().unwrap_or(0);
        let least = most - most / MISSED_ENGINES_DIVISOR;
        let eligible = all.iter().filter(|peer| peer.engines_heard >= least);
        let best = eligible.min_by_key(|candidate| candidate.sort_key());
        best.map_or(self.own.address, |candidate| candidate.address)
    }

    /// Returns whether this gateway plans.
    #[must_use]
    pub fn is_planner(&self, now: ClockTime) -> bool {
        self.planner(now) == self.own.address
    }

    /// Returns the demand of all gateways, including this one, by model.
    #[must_use]
    pub fn total_demand(
        &self,
        own: &[ModelDemand],
        now: ClockTime,
    ) -> HashMap<ModelName, TotalDemand> {
        let mut total: HashMap<ModelName, TotalDemand> = HashMap::new();
        let reported = self.live(now).flat_map(|(_, kept)| &kept.report.demand);
        for demand in own.iter().chain(reported) {
            let sum = total.entry(demand.model.clone()).or_default();
            sum.add(demand);
        }
        for (model, requested_at) in &self.last_requested {
            let sum = total.entry(model.clone()).or_default();
            sum.note_idle(now.since(*requested_at));
        }
        total
    }

    /// Returns the requests of all gateways, including this one, at each engine.
    #[must_use]
    pub fn fleet_uses(&self, own: &[ModelUse], now: ClockTime) -> FleetUses {
        let mut uses = FleetUses::default();
        let reported = self.live(now).flat_map(|(_, kept)| &kept.report.uses);
        own.iter().chain(reported).for_each(|used| uses.add(used));
        uses
    }

    fn live(&self, now: ClockTime) -> impl Iterator<Item = (&SocketAddr, &LatestReport)> {
        self.reports
            .iter()
            .filter(move |(_, kept)| kept.is_live(now))
    }
}
