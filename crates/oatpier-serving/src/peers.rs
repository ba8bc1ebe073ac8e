//! Which gateways there are, and which of them plans.
//!
//! A gateway counts as there until three of its reports in a row are missing. Of those that keep up with
//! their work, the one with the largest processor plans. While gateways disagree, two may plan: sidecars
//! keep every promise by themselves, so this costs a few loads at most.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::{ModelName, ZoneName};

use crate::message::{ModelDemand, ModelUse, PeerReport};

/// Reports of a gateway that may be lost in a row before it counts as gone, stopped or cut off.
const LOST_REPORTS: u32 = 3;

/// How much later than due a report may come: a round of the sender's timers on a busy VM.
const REPORT_SLACK: Duration = Duration::from_millis(150);

/// Gateways that are told the demand: the one that plans, and the one that follows if it is gone. The
/// others are only told that this one is there; telling all of them everything would cost bytes and
/// processor time with the square of their number.
const DEMAND_READERS: usize = 2;

/// A gateway plans only if it misses no more than one in this many of the engines that others hear: a few
/// lost datagrams must not move the planning about.
const MISSED_PART: u32 = 4;

/// An address that greeted a sidecar is told reports for this long after it was last named.
const ADDRESS_LIFE: Duration = Duration::from_secs(5);

/// A model that was asked for this long ago is as good as never asked for.
const ASKED_LIFE: Duration = Duration::from_mins(2);

#[derive(Debug, Clone)]
struct KeptReport {
    report: PeerReport,
    at: ClockTime,
}

impl KeptReport {
    /// Whether its sender still counts as there.
    fn is_live(&self, now: ClockTime) -> bool {
        let every = Duration::from_millis(u64::from(self.report.every_ms));
        now.since(self.at) < every * LOST_REPORTS + REPORT_SLACK
    }

    /// A partial report renews the models that it names, and its sender's word on itself.
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

/// The other gateways.
#[derive(Debug)]
pub struct PeerBook {
    own: PeerStanding,
    named: HashMap<SocketAddr, ClockTime>,
    reports: HashMap<SocketAddr, KeptReport>,
    /// When each model was asked for last, by any gateway that reported it.
    asked: HashMap<ModelName, ClockTime>,
}

/// How fit a gateway is for planning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStanding {
    /// Where it hears.
    pub address: SocketAddr,
    /// Its processor, in thousandths of a core.
    pub processor: u32,
    /// Whether it has more to do than its processor does.
    pub is_behind: bool,
    /// Engines that it hears of.
    pub engines_heard: u32,
}

impl PeerStanding {
    fn of(address: SocketAddr, report: &PeerReport) -> Self {
        Self {
            address,
            processor: report.processor,
            is_behind: report.is_behind,
            engines_heard: report.engines_heard,
        }
    }

    /// The least plans. A round of planning takes a fifth of a second on the thinnest VMs and a few
    /// milliseconds on the others, and every gateway's demand arrives there.
    fn order(&self) -> (bool, Reverse<u32>, SocketAddr) {
        (self.is_behind, Reverse(self.processor), self.address)
    }
}

/// Where reports go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportAddresses {
    /// Gateways that plan, or follow the one that does.
    pub readers: Vec<SocketAddr>,
    /// The others of the same availability zone, and those that were not heard of yet.
    pub near: Vec<SocketAddr>,
    /// The others.
    pub far: Vec<SocketAddr>,
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
    /// The same over the last ten seconds or so.
    pub asked_long: f64,
    /// Adapters that were asked for lately, at the gateway that saw most of them: gateways see much
    /// the same ones.
    pub adapters: f64,
    /// The time since it was asked for last; none if never.
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
    pub fn new(own: SocketAddr, processor: u32) -> Self {
        Self {
            own: PeerStanding {
                address: own,
                processor,
                is_behind: false,
                engines_heard: 0,
            },
            named: HashMap::new(),
            reports: HashMap::new(),
            asked: HashMap::new(),
        }
    }

    /// How this gateway stands itself.
    pub fn note_own(&mut self, engines_heard: u32, is_behind: bool) {
        self.own.engines_heard = engines_heard;
        self.own.is_behind = is_behind;
    }

    /// How this gateway stands itself, as it was noted last.
    #[must_use]
    pub fn own(&self) -> PeerStanding {
        self.own
    }

    /// A sidecar named gateways that greet it.
    pub fn note_named(&mut self, gateways: &[SocketAddr], now: ClockTime) {
        let own = self.own.address;
        for address in gateways.iter().filter(|address| **address != own) {
            self.named.insert(*address, now);
        }
    }

    /// A peer reported. An older report than the one that is kept changes nothing.
    pub fn take_report(&mut self, from: SocketAddr, report: PeerReport, now: ClockTime) {
        let kept = self.reports.get(&from).map(|kept| kept.report.number);
        if !kept.is_none_or(|kept| report.number.supersedes(kept)) {
            return;
        }
        self.named.insert(from, now);
        self.note_asked(&report.demand, now);
        match self.reports.get_mut(&from) {
            Some(kept) if report.is_partial && kept.report.number.boot == report.number.boot => {
                kept.merge(report, now);
            }
            _ => {
                self.reports.insert(from, KeptReport { report, at: now });
            }
        }
    }

    /// Remembers when models were asked for: gateways report them only while they are.
    fn note_asked(&mut self, demand: &[ModelDemand], now: ClockTime) {
        self.asked.retain(|_, asked| now.since(*asked) < ASKED_LIFE);
        for row in demand {
            let at = now - Duration::from_millis(u64::from(row.idle_ms));
            let asked = self.asked.entry(row.model.clone()).or_insert(at);
            *asked = at.max(*asked);
        }
    }

    /// All other gateways that were heard or named lately.
    pub fn known(&self, now: ClockTime) -> impl Iterator<Item = SocketAddr> + '_ {
        let named = self.named.iter();
        let known = named.filter(move |(_, named_at)| now.since(**named_at) < ADDRESS_LIFE);
        known.map(|(address, _)| *address)
    }

    /// Where reports go: the gateways that need the demand, and the others.
    pub fn addresses(&mut self, zone: &ZoneName, now: ClockTime) -> ReportAddresses {
        self.named
            .retain(|_, named_at| now.since(*named_at) < ADDRESS_LIFE);
        self.reports
            .retain(|_, kept| kept.is_live(now) || now.since(kept.at) < ADDRESS_LIFE);
        let readers = self.readers(now);
        let others = self.named.keys().copied();
        let others = others.filter(|address| !readers.contains(address));
        let is_far = |address: &SocketAddr| {
            let kept = self.reports.get(address);
            kept.is_some_and(|kept| kept.report.zone != *zone)
        };
        let (mut far, mut near): (Vec<SocketAddr>, Vec<SocketAddr>) = others.partition(is_far);
        near.sort_unstable();
        far.sort_unstable();
        ReportAddresses { readers, near, far }
    }

    /// The gateways that are told the demand, this one left out.
    fn readers(&self, now: ClockTime) -> Vec<SocketAddr> {
        let mut heard: Vec<PeerStanding> = self
            .live(now)
            .filter(|(_, kept)| !kept.report.leaving)
            .map(|(address, kept)| PeerStanding::of(*address, &kept.report))
            .collect();
        heard.sort_by_key(PeerStanding::order);
        let heard = heard.iter().map(|standing| standing.address);
        heard.take(DEMAND_READERS).collect()
    }

    /// Whether this gateway plans, or follows the one that does, so that the others must know soon when it is
    /// gone.
    #[must_use]
    pub fn is_reader(&self, now: ClockTime) -> bool {
        let before = self.live(now).filter(|(address, kept)| {
            let peer = PeerStanding::of(**address, &kept.report);
            !kept.report.leaving && peer.order() < self.own.order()
        });
        before.count() < DEMAND_READERS
    }

    /// How many gateways that are to stay are fitter than this one.
    #[must_use]
    pub fn rank(&self, now: ClockTime) -> usize {
        let live = self.live(now).filter(|(_, kept)| !kept.report.leaving);
        let peers = live.map(|(address, kept)| PeerStanding::of(*address, &kept.report));
        peers.filter(|peer| peer.order() < self.own.order()).count()
    }

    /// The live gateways of an availability zone, this one left out.
    pub fn in_zone<'a>(
        &'a self,
        zone: &'a ZoneName,
        now: ClockTime,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let live = self.live(now).filter(|(_, kept)| kept.report.zone == *zone);
        live.map(|(address, _)| *address)
    }

    /// How many gateways there are, this one included. Those that a sidecar named count before they are
    /// heard of: what is shared by their number must not be taken twice by those that have just started.
    #[must_use]
    pub fn count(&self, now: ClockTime) -> usize {
        let is_named = |named_at: &&ClockTime| now.since(**named_at) < ADDRESS_LIFE;
        let named = self.named.values().filter(is_named).count();
        1 + named.max(self.live(now).count())
    }

    /// The gateway that plans: the fittest of those that hear most of the engines that anybody hears. One
    /// that has just started, or is cut off from sidecars, takes engines for busy that wait for advice; for
    /// as long as it planned, nothing would be loaded.
    #[must_use]
    pub fn planner(&self, now: ClockTime) -> SocketAddr {
        let peers = self.live(now).filter(|(_, kept)| !kept.report.leaving);
        let peers = peers.map(|(address, kept)| PeerStanding::of(*address, &kept.report));
        let all: Vec<PeerStanding> = peers.chain([self.own]).collect();
        let heard = all.iter().map(|standing| standing.engines_heard);
        let most = heard.max().unwrap_or(0);
        let least = most - most / MISSED_PART;
        let able = all.iter().filter(|peer| peer.engines_heard >= least);
        let fittest = able.min_by_key(|standing| standing.order());
        fittest.map_or(self.own.address, |standing| standing.address)
    }

    /// Whether this gateway plans.
    #[must_use]
    pub fn is_planner(&self, now: ClockTime) -> bool {
        self.planner(now) == self.own.address
    }

    /// The demand of all gateways, this one's own included.
    #[must_use]
    pub fn total(&self, own: &[ModelDemand], now: ClockTime) -> HashMap<ModelName, TotalDemand> {
        let mut total: HashMap<ModelName, TotalDemand> = HashMap::new();
        let reported = self.live(now).flat_map(|(_, kept)| &kept.report.demand);
        for demand in own.iter().chain(reported) {
            let sum = total.entry(demand.model.clone()).or_default();
            sum.add(demand);
        }
        for (model, asked) in &self.asked {
            let sum = total.entry(model.clone()).or_default();
            sum.note_idle(now.since(*asked));
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
            .filter(move |(_, kept)| kept.is_live(now))
    }
}
