//! Checks that a request that is not idempotent runs at most once, however often its caller sends it.

use indexmap::IndexMap;
use oatpier_types::event::{FleetEvent, LoggedEvent};
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::Repeat;

use super::PromiseRule;
use crate::breach::{PromiseName, RuleBreach};

/// A rule that counts the runs of each request and of each idempotency key.
#[derive(Default)]
pub(super) struct OnceRule {
    repeats: IndexMap<RequestId, Repeat>,
    runs: IndexMap<RequestId, u32>,
    key_runs: IndexMap<u64, u32>,
}

impl OnceRule {
    fn check_run(&mut self, request: RequestId, key: Option<u64>) -> Option<String> {
        if self.repeats.get(&request) != Some(&Repeat::AtMostOnce) {
            return None;
        }
        let runs = self.runs.entry(request).or_default();
        *runs += 1;
        if *runs > 1 {
            return Some(format!("request {request} ran {runs} times"));
        }
        let key = key?;
        let key_runs = self.key_runs.entry(key).or_default();
        *key_runs += 1;
        (*key_runs > 1)
            .then(|| format!("requests with idempotency key {key:016x} ran {key_runs} times"))
    }
}

impl PromiseRule for OnceRule {
    fn observe(&mut self, logged: &LoggedEvent, breaches: &mut Vec<RuleBreach>) {
        let finding = match &logged.event {
            FleetEvent::RequestSent {
                request, repeat, ..
            } => {
                self.repeats.insert(*request, *repeat);
                None
            }
            FleetEvent::RunStarted { request, key, .. } => self.check_run(*request, *key),
            _ => None,
        };
        breaches.extend(finding.map(|finding| RuleBreach {
            promise: PromiseName::AtMostOnce,
            at: logged.at,
            finding,
        }));
    }
}
