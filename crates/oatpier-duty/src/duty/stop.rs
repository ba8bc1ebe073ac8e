//! The stop signal of a process and its duties.

use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// The phase of a process's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The process serves normally.
    Serving,
    /// The process accepts no new work and completes the requests in flight.
    Draining,
    /// All requests are complete; the remaining duties end.
    Ended,
}

/// The process's phase, shared by all of its duties. It only moves forward.
#[derive(Debug, Clone)]
pub struct StopSignal {
    phase: Arc<watch::Sender<StopPhase>>,
}

impl Default for StopSignal {
    fn default() -> Self {
        Self {
            phase: Arc::new(watch::Sender::new(StopPhase::Serving)),
        }
    }
}

impl StopSignal {
    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Advances to a phase. Has no effect if the process has already reached it.
    pub fn advance(&self, phase: StopPhase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            *current = phase.max(*current);
            is_later
        });
    }

    /// Waits until the process has reached a phase.
    pub async fn reached(&self, phase: StopPhase) {
        let mut receiver = self.phase.subscribe();
        // The wait can't fail, because `self` owns the sender.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}

/// Starts a thread that starts draining on SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics if the thread can't be started. The new thread panics if the signal handlers can't be installed.
pub fn stop_on_signal(stop: &StopSignal) {
    let stop = stop.clone();
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || super::process::block_on_thread(wait_for_signal(stop)))
        .expect("a thread can be started");
}

async fn wait_for_signal(stop: StopSignal) {
    let mut terminate = signal(SignalKind::terminate()).expect("the system takes a handler");
    let mut interrupt = signal(SignalKind::interrupt()).expect("the system takes a handler");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = stop.reached(StopPhase::Draining) => {}
    }
    spdlog::info!("stop requested");
    stop.advance(StopPhase::Draining);
    stop.reached(StopPhase::Ended).await;
}
