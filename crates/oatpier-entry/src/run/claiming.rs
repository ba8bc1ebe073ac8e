//! Claims a request's idempotency key before the request runs and settles the claim afterwards.

use std::sync::Arc;

use oatpier_claims::message::{ClaimAnswer, ClaimQuery, KeyHash, RequestFingerprint};
use oatpier_policy::event::EntryEvent;
use oatpier_types::ids::RequestId;
use oatpier_types::verdict::RunVerdict;
use tokio::sync::oneshot;

use super::RequestRun;
use crate::claims::ClaimCommand;
use crate::core::EntryCore;

impl RequestRun {
    /// Requests the idempotency key in a separate task.
    pub(super) fn claim(&mut self) {
        let Some(key) = self.call.key else {
            let _ = self.event_sender.send(EntryEvent::ClaimUnavailable);
            return;
        };
        let call = &self.call.call;
        let query = ClaimQuery {
            key,
            fingerprint: RequestFingerprint::of(call.method.as_str(), &call.path, &call.body),
            request: self.identity.request,
        };
        let span = self.start_span("entry.claim");
        self.add_step("claim", None, "asked for the idempotency key");
        let core = Arc::clone(&self.core);
        let events = self.event_sender.clone();
        tokio::spawn(async move {
            let event = query_claim(&core, query).await;
            span.set_attribute("granted", event == EntryEvent::ClaimGranted);
            // A request that has ended has already settled its claim.
            let _ = events.send(event);
        });
    }

    /// Reports the verdict of the request for its key. If the ring is full, the settlement waits: a
    /// lost release would keep the key held.
    pub(super) fn settle_claim(&self, verdict: RunVerdict) {
        let Some(key) = self.call.key else {
            return;
        };
        settle(&self.core, key, self.identity.request, verdict);
    }
}

/// Sends the settlement of a request's claim to the claims duty.
pub(super) fn settle(core: &Arc<EntryCore>, key: KeyHash, request: RequestId, verdict: RunVerdict) {
    let command = ClaimCommand::Settle {
        key,
        request,
        verdict,
    };
    if let Err(command) = core.claims().try_send(command) {
        let core = Arc::clone(core);
        tokio::spawn(async move { core.claims().send(command).await });
    }
}

/// Returns the key in the form that the policy uses.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the low half of a hash is uniformly distributed too"
)]
pub(super) fn short_key(key: KeyHash) -> u64 {
    key.0 as u64
}

async fn query_claim(core: &EntryCore, query: ClaimQuery) -> EntryEvent {
    let (reply, answer) = oneshot::channel();
    let command = ClaimCommand::Query { query, reply };
    if core.claims().try_send(command).is_err() {
        return EntryEvent::ClaimUnavailable;
    }
    match answer.await {
        Ok(ClaimAnswer::Granted) => EntryEvent::ClaimGranted,
        Ok(ClaimAnswer::Denied(denial)) => EntryEvent::ClaimRefused {
            earlier: denial.verdict(),
        },
        Ok(ClaimAnswer::Unavailable { .. } | ClaimAnswer::Moved { .. }) | Err(_) => {
            EntryEvent::ClaimUnavailable
        }
    }
}
