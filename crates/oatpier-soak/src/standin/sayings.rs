//! Notices that an endpoint sends in the headers of its responses.

use std::time::Duration;

use http::HeaderMap;

use super::answers::set;
use crate::ledger::SaidNotice;

/// The notices that an endpoint sends in its responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointSayings {
    /// Whether it announces a shutdown.
    pub leaving: bool,
    /// The rest period that it asks for. While this is set, it rejects requests.
    pub rest: Option<Duration>,
    /// The rate limit that it reports, in requests per 1,000 seconds.
    pub limit_per_mille: Option<u32>,
}

impl EndpointSayings {
    /// Returns the notices that are set.
    pub(super) fn list(self) -> impl Iterator<Item = SaidNotice> {
        let leaving = self.leaving.then_some(SaidNotice::Leaving);
        let rest = self.rest.map(SaidNotice::Rest);
        let limit = self.limit_per_mille.map(SaidNotice::Limit);
        [leaving, rest, limit].into_iter().flatten()
    }

    /// Adds the notices to the headers of a response.
    pub(super) fn write(self, headers: &mut HeaderMap) {
        for said in self.list() {
            match said {
                SaidNotice::Leaving => set(headers, "server-leaving", "1"),
                SaidNotice::Rest(span) => {
                    set(headers, "retry-after", &span.as_secs_f64().to_string());
                }
                SaidNotice::Limit(per_mille) => {
                    let rate = f64::from(per_mille) / 1e3;
                    set(headers, "server-limit", &rate.to_string());
                }
            }
        }
    }
}
