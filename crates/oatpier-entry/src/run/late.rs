//! What is heard of a request after its final answer.
//!
//! A change that nothing was heard of is answered "may have run" at its deadline, while a cancel
//! of it may still be under way. If the agent then says that it never ran, the decisions free the
//! key; without this its caller could not submit the change under the key at all.

use std::sync::Arc;

use oatpier_claims::message::KeyHash;
use oatpier_policy::action::EntryAction;
use oatpier_policy::event::EntryEvent;
use oatpier_types::ids::RequestId;
use tokio::sync::mpsc;

use super::claiming::settle;
use crate::core::EntryCore;

/// Waits for the cancels that are under way when a request ends.
pub(super) struct LateWords {
    pub(super) core: Arc<EntryCore>,
    pub(super) request: RequestId,
    pub(super) key: KeyHash,
    /// Closes when the last cancel has ended, which its time limit sees to.
    pub(super) events: mpsc::UnboundedReceiver<EntryEvent>,
}

impl LateWords {
    pub(super) async fn run(mut self) {
        while let Some(event) = self.events.recv().await {
            if matches!(event, EntryEvent::CancelAnswered { .. }) {
                self.take(&event);
            }
        }
    }

    fn take(&self, event: &EntryEvent) {
        for action in self.core.handle(self.request, None, event) {
            if let EntryAction::SettleClaim { verdict, .. } = action {
                settle(&self.core, self.key, self.request, verdict);
            }
        }
    }
}
