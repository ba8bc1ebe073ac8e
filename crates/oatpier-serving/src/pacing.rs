//! Intervals between control messages that keep the work of one process independent of the size of the fleet.
//!
//! Each kind of message has a budget: how many of them one process may handle per second. In a small fleet the
//! shortest interval of the kind applies. In a larger one the interval grows with the number of senders, so that the
//! cost of a process stays within the budget and what it knows becomes older instead. What must arrive within a fixed
//! time, such as a change of the registry or an engine that is lost, is not sent by these intervals.

use std::time::Duration;

/// Load updates of all engines that a gateway receives.
const LOAD_UPDATES: MessageBudget = MessageBudget::per_second(1_000);

/// Complete status updates of all engines that a gateway receives while nothing changes.
const STATUS_REPEATS: MessageBudget = MessageBudget::per_second(120);

/// Updates of the use by workspaces of all engines that a gateway receives. Each takes up to 250 bytes.
const SHARE_UPDATES: MessageBudget = MessageBudget::per_second(60);

/// Datagrams with load updates that a gateway receives from the relays of its availability zone.
const RELAY_DATAGRAMS: MessageBudget = MessageBudget::per_second(250);

/// Reports of gateways of the same availability zone.
const NEAR_REPORTS: MessageBudget = MessageBudget::per_second(100);

/// Reports of gateways of other availability zones.
const FAR_REPORTS: MessageBudget = MessageBudget::per_second(50);

/// Reports that the planner sends to all gateways, which thereby notice its failure.
const PLANNER_REPORTS: MessageBudget = MessageBudget::per_second(400);

/// Reports of demand that the planner receives.
const DEMAND_REPORTS: MessageBudget = MessageBudget::per_second(280);

/// Reports of demand that can't be served that the planner receives.
const UNSERVED_REPORTS: MessageBudget = MessageBudget::per_second(1_700);

/// Minimum time between two status updates while only the load changes.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two status updates while nothing changes.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);

/// Time between two updates of the use by workspaces. A third of the time for which use counts.
const MIN_SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which relays forward updates. A relay receives updates from about twenty engines in that time, which
/// fit into one or two packets.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(40);

/// Interval between reports of demand.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between reports to gateways of the same availability zone, which forward updates to each other.
const MIN_NEAR_INTERVAL: Duration = Duration::from_millis(750);

/// Interval between reports to gateways of other availability zones, which only count gateways.
const MIN_FAR_INTERVAL: Duration = Duration::from_millis(2_250);

/// Delay before demand that can't be served is reported, so that requests that arrive together go into one report.
/// Short compared with the half second that the fastest load takes.
const MIN_UNSERVED_DELAY: Duration = Duration::from_millis(40);

/// Time after the heartbeat interval at which a sidecar is overdue, and after which its status no longer counts, in
/// quarters and eighths of the interval.
const OVERDUE_INTERVALS: f64 = 1.25;
const EXPIRY_INTERVALS: f64 = 1.875;

/// Longest time from a sidecar's read of its engine's report to the arrival of an update at all gateways of a zone in
/// which relays forward at once.
const MIN_TRANSIT: Duration = Duration::from_millis(400);

/// How many messages of a kind one process handles per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageBudget {
    per_second: u32,
}

impl MessageBudget {
    /// Creates a budget.
    #[must_use]
    pub const fn per_second(per_second: u32) -> Self {
        Self { per_second }
    }

    /// Returns the interval at which each of `senders` may send so that all of them together stay within the budget,
    /// at least `shortest`.
    #[must_use]
    pub fn interval(self, senders: usize, shortest: Duration) -> Duration {
        let senders = u32::try_from(senders).unwrap_or(u32::MAX);
        let paced = Duration::from_secs(u64::from(senders)) / self.per_second;
        paced.max(shortest)
    }
}

/// Returns the minimum time between two status updates of a sidecar while only its engine's load changes.
#[must_use]
pub fn load_interval(engines: usize) -> Duration {
    LOAD_UPDATES.interval(engines, MIN_LOAD_INTERVAL)
}

/// Returns the time between two status updates of a sidecar while nothing changes.
#[must_use]
pub fn heartbeat_interval(engines: usize) -> Duration {
    LOAD_UPDATES.interval(engines, MIN_HEARTBEAT_INTERVAL)
}

/// Returns the time after which a sidecar repeats its complete status although nothing has changed.
#[must_use]
pub fn status_repeat_interval(engines: usize) -> Duration {
    STATUS_REPEATS.interval(engines, MIN_HEARTBEAT_INTERVAL)
}

/// Returns the interval between a sidecar's updates of the use of its engine by workspaces.
#[must_use]
pub fn share_interval(engines: usize) -> Duration {
    SHARE_UPDATES.interval(engines, MIN_SHARE_INTERVAL)
}

/// Returns the interval at which a relay forwards load updates to the other gateways of its availability zone.
#[must_use]
pub fn relay_interval(zone_gateways: usize) -> Duration {
    RELAY_DATAGRAMS.interval(zone_gateways, RELAY_INTERVAL)
}

/// Returns the interval between a gateway's reports to the others of its availability zone.
#[must_use]
pub fn near_report_interval(zone_gateways: usize) -> Duration {
    NEAR_REPORTS.interval(zone_gateways, MIN_NEAR_INTERVAL)
}

/// Returns the interval between a gateway's reports to those of other availability zones.
#[must_use]
pub fn far_report_interval(far_gateways: usize) -> Duration {
    FAR_REPORTS.interval(far_gateways, MIN_FAR_INTERVAL)
}

/// Returns the interval between the reports of the planner, or its successor, to gateways of other availability zones.
#[must_use]
pub fn planner_report_interval(far_gateways: usize) -> Duration {
    PLANNER_REPORTS.interval(far_gateways, MIN_NEAR_INTERVAL)
}

/// Returns the interval between a gateway's reports of demand to the planner.
#[must_use]
pub fn demand_report_interval(gateways: usize) -> Duration {
    DEMAND_REPORTS.interval(gateways, MIN_DEMAND_INTERVAL)
}

/// Returns the delay before a gateway reports demand that can't be served.
#[must_use]
pub fn unserved_report_delay(gateways: usize) -> Duration {
    UNSERVED_REPORTS.interval(gateways, MIN_UNSERVED_DELAY)
}

/// How long what a sidecar said counts at a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusLifetime {
    /// Time without an update after which the sidecar is overdue.
    pub overdue_after: Duration,
    /// Age after which a status update no longer counts and the registry entry applies instead.
    pub expires_after: Duration,
    /// Maximum age of an update on arrival.
    pub max_transit: Duration,
}

impl StatusLifetime {
    /// Returns the lifetime in a fleet of `engines`, at a gateway whose availability zone has `zone_gateways`.
    #[must_use]
    pub fn new(engines: usize, zone_gateways: usize) -> Self {
        let heartbeat = heartbeat_interval(engines);
        let relay_delay = relay_interval(zone_gateways).saturating_sub(RELAY_INTERVAL);
        Self {
            overdue_after: heartbeat.mul_f64(OVERDUE_INTERVALS) + relay_delay,
            expires_after: heartbeat.mul_f64(EXPIRY_INTERVALS) + relay_delay * 2,
            max_transit: MIN_TRANSIT + relay_delay,
        }
    }
}

impl Default for StatusLifetime {
    fn default() -> Self {
        Self::new(0, 0)
    }
}
