//! What gateways report to each other.

use std::net::SocketAddr;
use std::time::Duration;

use oatpier_duty::duty::{StopPhase, StopSignal};
use oatpier_serving::message::{InnerMessage, MessageNumber, PeerReport};
use oatpier_serving::peers::PeerStanding;
use oatpier_types::clock::ClockTime;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::core::{CoreState, GatewayCore};

/// From one report to peers to the next.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// Reports of demand for each report to the gateways that do not need it: 0.75 s. They need it to pass on
/// what sidecars tell, and to see when the one that plans is gone.
const RARE_REPORTS: u32 = 3;

/// The same for gateways of other zones, from one that neither plans nor would follow: 2.25 s. They only
/// count it.
const FAR_REPORTS: u32 = 9;

/// Demand that can't be served is reported this soon, so that requests which come together are told
/// of together. Short beside half a second, the least that a load takes.
const PRESSED_PAUSE: Duration = Duration::from_millis(40);

/// Reports demand to peers.
pub(super) struct PeerReporter<'a> {
    core: &'a GatewayCore,
    stop: &'a StopSignal,
    /// The last report's place among all.
    number: MessageNumber,
}

impl<'a> PeerReporter<'a> {
    /// A reporter of this incarnation of the process.
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

    /// Reports everything; `number` counts these reports.
    fn send_whole(&mut self, number: u32) {
        let now = self.core.clock.now();
        let mut state = self.core.lock();
        let demand = state.demand.summary(now);
        state.urgent = false;
        let uses = state.directory.model_uses();
        let peers = state.peers.addresses(&self.core.zone, now);
        let is_reader = state.peers.is_reader(now);
        self.note_standing(&mut state, now);
        let own = state.peers.own();
        drop(state);
        let whole = PeerReport {
            demand,
            uses,
            ..self.report(own, 1)
        };
        self.tell(&peers.readers, whole);
        if number.is_multiple_of(RARE_REPORTS) {
            let report = self.report(own, RARE_REPORTS);
            self.tell(&peers.near, report);
        }
        let far = if is_reader { RARE_REPORTS } else { FAR_REPORTS };
        if number.is_multiple_of(far) {
            let report = self.report(own, far);
            self.tell(&peers.far, report);
        }
    }

    /// Reports the demand that can't be served to those who can do something about it.
    fn send_pressed(&mut self) {
        let now = self.core.clock.now();
        let mut state = self.core.lock();
        state.urgent = false;
        let demand = state.demand.pressed_summary(now);
        let peers = state.peers.addresses(&self.core.zone, now);
        let own = state.peers.own();
        drop(state);
        let partial = PeerReport {
            is_partial: true,
            demand,
            ..self.report(own, 1)
        };
        self.tell(&peers.readers, partial);
    }

    /// Notes what this gateway's own state says of its share and its fitness to plan.
    fn note_standing(&self, state: &mut CoreState, now: ClockTime) {
        let engines_heard = state.directory.engines_heard(now);
        state.peers.note_own(engines_heard, self.core.is_behind());
        let count = state.peers.count(now);
        let bounds = self.core.settings.borrow().bounds;
        state
            .allowance
            .set_bounds(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window);
        state.allowance.share_among(count);
        let store_age = now.since(state.store_read_at.unwrap_or_default());
        let store_age = i64::try_from(store_age.as_millis()).unwrap_or(i64::MAX);
        self.core.metrics.store_age_ms.set(store_age);
        self.core.show_notices(state);
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.core.metrics.gateways.set(count);
    }

    /// A report without demand to gateways that get one with each `reports`th.
    fn report(&mut self, own: PeerStanding, reports: u32) -> PeerReport {
        self.number.number += 1;
        let every_ms = REPORT_EVERY.as_millis();
        PeerReport {
            number: self.number,
            name: self.core.name.clone(),
            zone: self.core.zone.clone(),
            every_ms: u32::try_from(every_ms).unwrap_or(u32::MAX) * reports,
            processor: own.processor,
            is_behind: own.is_behind,
            leaving: self.stop.phase() != StopPhase::Serving,
            engines_heard: own.engines_heard,
            config: self.core.config_standing(self.core.clock.now()),
            is_partial: false,
            demand: Vec::new(),
            uses: Vec::new(),
        }
    }

    fn tell(&self, peers: &[SocketAddr], report: PeerReport) {
        let report = InnerMessage::Peer(Box::new(report));
        for peer in peers {
            self.core.outlet.send(*peer, &report);
        }
    }
}

/// Reports until the process ends.
pub(super) async fn report(mut reporter: PeerReporter<'_>) {
    let mut ticks = interval(REPORT_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut number: u32 = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                number = number.wrapping_add(1);
                reporter.send_whole(number);
            }
            () = reporter.core.pressed.notified() => {
                sleep(PRESSED_PAUSE).await;
                reporter.send_pressed();
            }
        }
    }
}
