//! The service that the engine at the sidecar's address belongs to, as far as it is certain.
//!
//! The settings can't tell it: the address of an engine that is gone may be assigned to an engine of another service.
//! Gateways know an engine's service from the registry and send it with the engine's name. It is carried over to an
//! unlisted successor only if the engine at the address has answered at such short intervals that the address can't
//! have been assigned anew in between.

use std::time::Duration;

use oatpier_types::clock::ClockTime;
use oatpier_types::names::PoolName;

/// Tracks the service of the engine at an address.
#[derive(Debug, Default)]
pub struct ServiceTracker {
    service: Option<PoolName>,
    /// When the last call was sent that an engine at the address answered.
    last_call: Option<ClockTime>,
}

impl ServiceTracker {
    /// Records that the engine has answered, at `now`, a call sent at `sent_at`. Returns whether the engine may belong to
    /// another service than the one that answered before, because addresses are reused after `reuse_after`.
    pub fn note_answer(
        &mut self,
        sent_at: ClockTime,
        now: ClockTime,
        reuse_after: Duration,
    ) -> bool {
        let last_call = self.last_call.replace(sent_at);
        let may_differ = last_call.is_none_or(|last_call| now.since(last_call) >= reuse_after);
        if may_differ {
            self.service = None;
        }
        may_differ
    }

    /// Sets the service of the engine that answered last.
    pub fn set_service(&mut self, service: PoolName) {
        self.service = Some(service);
    }

    /// Returns the service, if it is certain.
    #[must_use]
    pub fn service(&self) -> Option<&PoolName> {
        self.service.as_ref()
    }
}
