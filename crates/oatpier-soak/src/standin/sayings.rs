//! What an endpoint says of itself in its answers.

use std::time::Duration;

use http::HeaderMap;

use super::answers::set;
use crate::ledger::SaidNotice;

/// What an endpoint says of itself in its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointSayings {
    /// Whether it leaves.
    pub leaving: bool,
    /// It turns requests away and asks for this rest.
    pub rest: Option<Duration>,
    /// Requests in a thousand seconds that it takes.
    pub limit_per_mille: Option<u32>,
}

impl EndpointSayings {
    /// All that it says.
    pub(super) fn list(self) -> impl Iterator<Item = SaidNotice> {
        let leaving = self.leaving.then_some(SaidNotice::Leaving);
        let rest = self.rest.map(SaidNotice::Rest);
        let limit = self.limit_per_mille.map(SaidNotice::Limit);
        [leaving, rest, limit].into_iter().flatten()
    }

    /// Writes it into an answer's head.
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
