//! What endpoints say of themselves in their answers: kept, logged and counted.

use oatpier_serving::directory::HeardNotice;
use oatpier_serving::notice::{NoticeChange, RequestRate};
use oatpier_types::names::EndpointName;

use super::core::{CoreState, GatewayCore};
use crate::decisions::{DecisionLine, LineWeight};

impl GatewayCore {
    /// Takes what the answer to a request said of its endpoint.
    pub(super) fn take_notice(
        &self,
        endpoint: &EndpointName,
        heard: &HeardNotice<'_>,
        request: &str,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        let changes = state.directory.take_notice(endpoint, heard, now);
        for change in &changes {
            self.log_notice(&state, endpoint, *change, Some(request));
        }
        drop(state);
        self.tell_limit(endpoint, &changes, heard.sent_at);
    }

    /// Logs and counts what is believed anew of an endpoint, by the answer to a request or, without one, by another
    /// gateway's word.
    pub(super) fn log_notice(
        &self,
        state: &CoreState,
        endpoint: &EndpointName,
        change: NoticeChange,
        request: Option<&str>,
    ) {
        self.metrics.notices.noticed(change.as_str());
        self.log
            .write(notice_line(state, endpoint, change).with("request", request));
    }

    /// Shows how many endpoints have asked for what.
    pub(super) fn show_notices(&self, state: &CoreState) {
        self.metrics.notices.note_limited(state.directory.limited());
    }
}

/// What is believed anew of an endpoint. A value that can't be read may come with every answer.
fn notice_line(state: &CoreState, endpoint: &EndpointName, change: NoticeChange) -> DecisionLine {
    let weight = match change {
        NoticeChange::RateUnusable => LineWeight::Calm,
        NoticeChange::RateNamed(_) | NoticeChange::RateEnded => LineWeight::Notable,
    };
    let rate = match change {
        NoticeChange::RateNamed(rate) => Some(rate),
        NoticeChange::RateEnded | NoticeChange::RateUnusable => None,
    };
    let row = state.directory.row(endpoint);
    DecisionLine::new(weight, "endpoint says")
        .with("endpoint", endpoint.as_str())
        .with(
            "start",
            row.and_then(|row| row.record.start).map(|start| start.0),
        )
        .with("says", change.as_str())
        .with("rate", rate.map(RequestRate::per_second))
}
