//! Reports that gateways send to each other.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_duty::duty::{StopPhase, StopSignal};
use oatpier_serving::message::{InnerMessage, MessageNumber, PeerReport};
use oatpier_serving::pacing::{self, StatusLifetime};
use oatpier_serving::peers::{PlannerCandidate, ReportAddresses};
use oatpier_types::clock::ClockTime;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::core::{CoreState, GatewayCore};
use super::subscriptions::engine_services;

/// Interval at which it is checked which reports are due. Intervals between reports are multiples of it.
const REPORT_TICK: Duration = Duration::from_millis(250);

/// Number of ticks between two reports to the same receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReportTicks(u32);

impl ReportTicks {
    /// Returns the ticks that make up at least an interval.
    fn of(interval: Duration) -> Self {
        let ticks = interval.as_millis().div_ceil(REPORT_TICK.as_millis());
        Self(u32::try_from(ticks).unwrap_or(u32::MAX).max(1))
    }

    /// Returns whether a report is due at the tick `number`.
    fn is_due(self, number: u32) -> bool {
        number.is_multiple_of(self.0)
    }

    fn interval_ms(self) -> u32 {
        let tick_ms = u32::try_from(REPORT_TICK.as_millis()).unwrap_or(u32::MAX);
        tick_ms.saturating_mul(self.0)
    }
}

/// When the reports to each group of receivers are due, by the size of the fleet.
#[derive(Debug, Clone, Copy)]
struct ReportPlan {
    /// Demand, to the gateways that plan.
    demand: ReportTicks,
    /// To gateways of the same availability zone.
    near: ReportTicks,
    /// To gateways of other availability zones. If this gateway plans or is next in line, they must soon notice when it
    /// fails.
    far: ReportTicks,
}

impl ReportPlan {
    fn new(addresses: &ReportAddresses, receives_demand: bool) -> Self {
        let ReportAddresses {
            readers, near, far, ..
        } = addresses;
        let gateways = 1 + readers.len() + near.len() + far.len();
        let far_interval = if receives_demand {
            pacing::planner_report_interval(far.len())
        } else {
            pacing::far_report_interval(far.len())
        };
        Self {
            demand: ReportTicks::of(pacing::demand_report_interval(gateways)),
            near: ReportTicks::of(pacing::near_report_interval(near.len())),
            far: ReportTicks::of(far_interval),
        }
    }
}

/// Reports demand to peers.
pub(super) struct PeerReporter<'a> {
    core: &'a GatewayCore,
    stop: &'a StopSignal,
    /// Number of the last report.
    number: MessageNumber,
}

impl<'a> PeerReporter<'a> {
    /// Creates a reporter for this incarnation of the process.
    pub(super) fn new(core: &'a GatewayCore, stop: &'a StopSignal) -> Self {
        Self {
            core,
            stop,
            number: MessageNumber {
                boot: rand::random(),
                number: 0,
            },
        }
    }

    /// Sends the reports that are due at the tick `number`: with demand to the gateways that plan, without to the others.
    fn send_due(&mut self, number: u32) {
        self.core.check_store_age();
        self.core.update_gateways();
        self.core.repeat_origin_records();
        let now = self.core.clock.now();
        let mut state = self.core.lock();
        let peers = state.peers.addresses(&self.core.zone, now);
        let plan = ReportPlan::new(&peers, state.peers.receives_demand(now));
        self.update_own(&mut state, now);
        let own = state.peers.own();
        drop(state);
        if plan.demand.is_due(number) {
            self.send_demand(&peers.readers, own, plan.demand);
        }
        if plan.near.is_due(number) {
            let report = self.report(own, plan.near);
            self.send(&peers.near, report);
            // The next report to a gateway that turns out to be in another zone comes later.
            let report = self.report(own, plan.near.max(plan.far));
            self.send(&peers.unreported, report);
        }
        if plan.far.is_due(number) {
            let report = self.report(own, plan.far);
            self.send(&peers.far, report);
        }
    }

    fn send_demand(&mut self, readers: &[SocketAddr], own: PlannerCandidate, ticks: ReportTicks) {
        let now = self.core.clock.now();
        let mut state = self.core.lock();
        let demand = state.demand.summary(now);
        state.has_unserved_demand = false;
        let uses = state.directory.model_uses();
        drop(state);
        let full = PeerReport {
            demand,
            uses,
            ..self.report(own, ticks)
        };
        self.send(readers, full);
    }

    /// Reports the demand that can't be served to the gateways that plan.
    fn send_unserved(&mut self) {
        let now = self.core.clock.now();
        let mut state = self.core.lock();
        state.has_unserved_demand = false;
        let demand = state.demand.unserved_summary(now);
        let peers = state.peers.addresses(&self.core.zone, now);
        let plan = ReportPlan::new(&peers, false);
        let own = state.peers.own();
        drop(state);
        let partial = PeerReport {
            is_partial: true,
            demand,
            ..self.report(own, plan.demand)
        };
        self.send(&peers.readers, partial);
    }

    /// Updates what depends on the fleet's size: how long status updates count, and this gateway's share of the retry
    /// budget. Updates this gateway's fitness to plan.
    fn update_own(&self, state: &mut CoreState, now: ClockTime) {
        let engines_heard = state.directory.reporting_engines(now);
        let zone_gateways = 1 + state.peers.in_zone(&self.core.zone, now).count();
        let lifetime = StatusLifetime::new(registered_engines(state), zone_gateways);
        state.directory.set_status_lifetime(lifetime);
        state.peers.set_own(engines_heard, self.core.is_behind());
        let count = state.peers.count(now);
        let bounds = self.core.settings.borrow().bounds;
        state
            .allowance
            .set_bounds(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window);
        state.allowance.set_gateways(count);
        self.core.update_notice_metrics(state);
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.core.metrics.gateways.set(count);
    }

    /// Builds a report without demand, for receivers that get one every `ticks`.
    fn report(&mut self, own: PlannerCandidate, ticks: ReportTicks) -> PeerReport {
        self.number.number += 1;
        PeerReport {
            number: self.number,
            name: self.core.name.clone(),
            zone: self.core.zone.clone(),
            every_ms: ticks.interval_ms(),
            processor: own.processor,
            is_behind: own.is_behind,
            leaving: self.stop.phase() != StopPhase::Serving,
            engines_heard: own.engines_heard,
            config: self.core.config_status(self.core.clock.now()),
            is_partial: false,
            demand: Vec::new(),
            uses: Vec::new(),
        }
    }

    fn send(&self, peers: &[SocketAddr], report: PeerReport) {
        let report = InnerMessage::Peer(Box::new(report));
        for peer in peers {
            self.core.outlet.send(*peer, &report);
        }
    }
}

/// Returns the number of engines of the largest service, which its sidecars pace their updates by.
fn registered_engines(state: &CoreState) -> usize {
    let Some(config) = &state.config else {
        return 0;
    };
    let services = engine_services(config);
    let sizes = services.map(|(service, _)| state.directory.service_size(service));
    sizes.max().unwrap_or(0)
}

impl GatewayCore {
    /// Applies the report of another gateway.
    pub fn apply_peer_report(&self, from: SocketAddr, report: PeerReport) {
        self.apply_config_status(from, report.config);
        let now = self.clock.now();
        self.lock().peers.apply_report(from, report, now);
    }

    /// Returns the number of gateways, including this one.
    fn gateways(&self) -> usize {
        let now = self.clock.now();
        self.lock().peers.count(now)
    }
}

/// Sends reports until the process ends.
pub(super) async fn report(mut reporter: PeerReporter<'_>) {
    let mut ticks = interval(REPORT_TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut number: u32 = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                number = number.wrapping_add(1);
                reporter.send_due(number);
            }
            () = reporter.core.demand_unserved.notified() => {
                let gateways = reporter.core.gateways();
                sleep(pacing::unserved_report_delay(gateways)).await;
                reporter.send_unserved();
            }
        }
    }
}
