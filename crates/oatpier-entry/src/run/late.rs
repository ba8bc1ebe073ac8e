//! Cancellation results that arrive after a request's final answer.
//!
//! A non-idempotent request without any response is answered "may have run" at its deadline, while
//! a cancellation may still be pending. If the agent then reports that the request never ran, the
//! policy releases the key. Otherwise the caller could never submit the request under that key.

use std::sync::Arc;

use oatpier_claims::message::KeyHash;
use oatpier_policy::action::EntryAction;
use oatpier_policy::event::EntryEvent;
use oatpier_types::ids::RequestId;
use tokio::sync::mpsc;

use super::claiming::settle;
use crate::core::EntryCore;

/// Waits for the cancellations that are pending when a request ends.
pub(super) struct LateCancels {
    pub(super) core: Arc<EntryCore>,
    pub(super) request: RequestId,
    pub(super) key: KeyHash,
    /// Closes when the last cancellation has ended, at the latest at its timeout.
    pub(super) events: mpsc::UnboundedReceiver<EntryEvent>,
}

impl LateCancels {
    pub(super) async fn run(mut self) {
        while let Some(event) = self.events.recv().await {
            if matches!(event, EntryEvent::CancelAnswered { .. }) {
                self.handle_cancel_answer(&event);
            }
        }
    }

    fn handle_cancel_answer(&self, event: &EntryEvent) {
        for action in self.core.handle(self.request, None, event) {
            if let EntryAction::SettleClaim { verdict, .. } = action {
                settle(&self.core, self.key, self.request, verdict);
            }
        }
    }
}
