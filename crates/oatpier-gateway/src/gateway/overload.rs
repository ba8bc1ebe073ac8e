//! Detects that a gateway has more work than its processor can do.
//!
//! The connections of callers and endpoints are tasks of one runtime, which polls them in the order in which they became
//! ready. With too many of them, each waits in that queue, whatever it is about: a request that has arrived, a response, or a
//! caller that has disconnected. The main task is polled before the queue, so its timers fire in time all the while.

use std::time::Duration;

use oatpier_wire::server::ServerCounters;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use super::core::GatewayCore;
use crate::decisions::{DecisionLine, LinePriority};

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay beyond which the gateway is overloaded. Requests accepted in that state would exceed their callers' timeouts
/// unnoticed, and reach endpoints after that.
const MAX_DELAY: Duration = Duration::from_millis(300);

/// Interval at which connections and requests that the server turned away are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A count of which only the part since the last report is reported.
#[derive(Debug, Default)]
struct ReportedCount(u64);

impl ReportedCount {
    /// Returns by how much the count has grown, if it has.
    fn take_growth(&mut self, total: u64) -> Option<u64> {
        let growth = total.saturating_sub(self.0);
        self.0 = total;
        (growth > 0).then_some(growth)
    }
}

/// Reports the connections and requests that the server turned away without the handler.
pub(super) async fn report_turned_away(core: &GatewayCore, counters: &ServerCounters) {
    let mut closed_unread = ReportedCount::default();
    let mut closed_waiting = ReportedCount::default();
    let mut out_of_memory = ReportedCount::default();
    loop {
        sleep(REPORT_INTERVAL).await;
        if let Some(count) = closed_unread.take_growth(counters.closed_unread()) {
            let line = DecisionLine::new(LinePriority::Notable, "connections closed unread")
                .with("count", count)
                .with("accepted", counters.accepted());
            core.log.write(line);
            core.metrics.connections_closed_unread.inc_by(count);
        }
        if let Some(count) = closed_waiting.take_growth(counters.closed_waiting()) {
            let line = DecisionLine::new(LinePriority::Notable, "connections closed for others");
            core.log.write(line.with("count", count));
            core.metrics.connections_closed_for_others.inc_by(count);
        }
        if let Some(count) = out_of_memory.take_growth(counters.out_of_memory()) {
            let line = DecisionLine::new(LinePriority::Notable, "bodies refused for memory");
            core.log.write(line.with("count", count));
            core.metrics.bodies_refused.inc_by(count);
        }
    }
}

/// Measures continuously how long a task that is ready waits for the processor, and records whether that is too long.
pub async fn watch(core: &GatewayCore) {
    loop {
        let due = Instant::now() + CHECK_INTERVAL;
        sleep_until(due).await;
        let mut probe = tokio::spawn(std::future::ready(()));
        let is_late = timeout_at(due + MAX_DELAY, &mut probe).await.is_err();
        core.set_behind(is_late);
        if is_late {
            // Only a runtime that shuts down ends the probe otherwise.
            let _ = probe.await;
        }
    }
}
