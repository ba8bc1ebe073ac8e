//! Notices that an endpoint sends in the headers of its responses.

use std::time::Duration;

use http::HeaderMap;

use super::responses::set;
use crate::history::NoticeKind;

/// The notices that an endpoint sends in its responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointNotices {
    /// Whether it announces a shutdown.
    pub is_leaving: bool,
    /// The rest period that it asks for. While this is set, it rejects requests.
    pub rest: Option<Duration>,
    /// The rate limit that it reports, in requests per 1,000 seconds.
    pub limit_per_mille: Option<u32>,
}

impl EndpointNotices {
    /// Returns the notices that are set.
    pub(super) fn list(self) -> impl Iterator<Item = NoticeKind> {
        let leaving = self.is_leaving.then_some(NoticeKind::Leaving);
        let rest = self.rest.map(NoticeKind::Rest);
        let limit = self.limit_per_mille.map(NoticeKind::Limit);
        [leaving, rest, limit].into_iter().flatten()
    }

    /// Adds the notices to the headers of a response.
    pub(super) fn write(self, headers: &mut HeaderMap) {
        for kind in self.list() {
            match kind {
                NoticeKind::Leaving => set(headers, "server-leaving", "1"),
                NoticeKind::Rest(span) => {
                    set(headers, "retry-after", &span.as_secs_f64().to_string());
                }
                NoticeKind::Limit(per_mille) => {
                    let rate = f64::from(per_mille) / 1e3;
                    set(headers, "server-limit", &rate.to_string());
                }
            }
        }
    }
}
