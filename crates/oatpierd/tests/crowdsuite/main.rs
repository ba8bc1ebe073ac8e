//! Crowds of callers that don't complete their requests, and endpoints whose responses have no end.
//!
//! Each test runs alone and checks what doesn't depend on the machine's speed: the process lives, its memory and its
//! open descriptors stay under their bounds, and an ordinary request is answered while the crowd's connections are open.

mod agents;
mod crowd;
mod endless;
mod endpoints;
mod entries;
mod gateway;
mod gateways;
mod gauge;
mod observers;
mod sidecar;
mod standins;
#[path = "../testsuite/support/mod.rs"]
#[expect(dead_code, reason = "other tests of the daemon use the rest")]
mod support;

use tokio::sync::{Mutex, MutexGuard};

static ALONE: Mutex<()> = Mutex::const_new(());

/// Waits until no other test runs, because a crowd beside another one changes what both reach.
async fn run_alone() -> MutexGuard<'static, ()> {
    ALONE.lock().await
}
