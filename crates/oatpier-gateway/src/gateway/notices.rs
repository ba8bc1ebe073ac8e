//! Records, logs and counts what endpoints report about themselves in their responses.

use std::net::SocketAddr;

use oatpier_serving::directory::ReceivedNotice;
use oatpier_serving::message::{InnerMessage, LeavingReport};
use oatpier_serving::notice::NoticeChange;
use oatpier_types::names::EndpointName;

use super::core::{CoreState, GatewayCore};
use crate::decisions::{DecisionLine, LinePriority};
use crate::notice_metrics::NoticeCounts;

impl GatewayCore {
    /// Handles what the response to a request reports about its endpoint.
    pub(super) fn record_notice(
        &self,
        endpoint: &EndpointName,
        received: &ReceivedNotice<'_>,
        request: &str,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        let changes = state.directory.apply_notice(endpoint, received, now);
        for change in &changes {
            self.log_notice(&state, endpoint, *change, Some(request));
        }
        let start = state
            .directory
            .row(endpoint)
            .and_then(|row| row.record.start);
        drop(state);
        self.broadcast_limit(endpoint, &changes, received.sent_at);
        if changes.contains(&NoticeChange::Leaving) {
            self.changed.notify_waiters();
            self.broadcast(&InnerMessage::LeavingSeen(LeavingReport {
                endpoint: endpoint.clone(),
                start,
            }));
        }
    }

    /// Handles a report of another gateway that an endpoint is leaving.
    pub fn apply_leaving_report(&self, report: &LeavingReport) {
        let mut state = self.lock();
        let change = state.directory.apply_leaving_report(report);
        if let Some(change) = change {
            self.log_notice(&state, &report.endpoint, change, None);
            self.changed.notify_waiters();
        }
    }

    /// Sends a message to all other known gateways.
    pub(super) fn broadcast(&self, message: &InnerMessage) {
        let now = self.clock.now();
        let peers: Vec<SocketAddr> = self.lock().peers.known(now).collect();
        for peer in peers {
            self.outlet.send(peer, message);
        }
    }

    /// Logs and counts a change of what is known about an endpoint. It comes from the response to `request`, or
    /// from another gateway if that is `None`.
    pub(super) fn log_notice(
        &self,
        state: &CoreState,
        endpoint: &EndpointName,
        change: NoticeChange,
        request: Option<&str>,
    ) {
        self.metrics.notices.count_notice(change.as_str());
        self.log
            .write(notice_line(state, endpoint, change).with("request", request));
    }

    /// Updates the metrics of the numbers of endpoints with each kind of notice.
    pub(super) fn update_notice_metrics(&self, state: &CoreState) {
        let now = self.clock.now();
        let directory = &state.directory;
        self.metrics.notices.set_counts(NoticeCounts {
            limited: directory.limited_count(),
            leaving: directory.leaving_count(),
            resting: directory.resting_count(now),
        });
    }
}

/// Creates the log line for a change of what is known about an endpoint. Invalid values have a low priority,
/// because every response may contain one.
fn notice_line(state: &CoreState, endpoint: &EndpointName, change: NoticeChange) -> DecisionLine {
    let priority = match change {
        NoticeChange::RateUnusable | NoticeChange::LeavingUnusable | NoticeChange::RestUnusable => {
            LinePriority::Routine
        }
        NoticeChange::RateNamed(_)
        | NoticeChange::RateEnded
        | NoticeChange::Leaving
        | NoticeChange::Rests(_) => LinePriority::Notable,
    };
    let rate = match change {
        NoticeChange::RateNamed(rate) => Some(rate.per_second()),
        _ => None,
    };
    let rest_ms = match change {
        NoticeChange::Rests(duration) => u64::try_from(duration.duration().as_millis()).ok(),
        _ => None,
    };
    let row = state.directory.row(endpoint);
    DecisionLine::new(priority, "endpoint says")
        .with("endpoint", endpoint.as_str())
        .with(
            "start",
            row.and_then(|row| row.record.start).map(|start| start.0),
        )
        .with("says", change.as_str())
        .with("rate", rate)
        .with("rest_ms", rest_ms)
}
