//! A request's idempotency key: claimed before it runs, settled after.

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
    /// Asks for the request's key, from a task of its own.
    pub(super) fn claim(&mut self) {
        let Some(key) = self.call.key else {
            let _ = self.events.send(EntryEvent::ClaimUnavailable);
            return;
        };
        let call = &self.call.call;
        let ask = ClaimQuery {
            key,
            fingerprint: RequestFingerprint::of(call.method.as_str(), &call.path, &call.body),
            request: self.identity.request,
        };
        let span = self.hop("entry.claim");
        self.note("claim", None, "asked for the idempotency key");
        let core = Arc::clone(&self.core);
        let events = self.events.clone();
        tokio::spawn(async move {
            let event = ask_claim(&core, ask).await;
            span.set_attribute("granted", event == EntryEvent::ClaimGranted);
            // A request that is over has settled its claim.
            let _ = events.send(event);
        });
    }

    /// Says how the request ended under its key. What does not fit into the ring waits for it:
    /// a release that is lost would keep the key held.
    pub(super) fn settle_claim(&self, verdict: RunVerdict) {
        let Some(key) = self.call.key else {
            return;
        };
        settle(&self.core, key, self.identity.request, verdict);
    }
}

/// Passes the settlement of a request's claim to the claims duty.
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

/// The key as the decisions name it.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the low half of a hash is a hash"
)]
pub(super) fn short_key(key: KeyHash) -> u64 {
    key.0 as u64
}

async fn ask_claim(core: &EntryCore, ask: ClaimQuery) -> EntryEvent {
    let (reply, answer) = oneshot::channel();
    let command = ClaimCommand::Ask { ask, reply };
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
