//! How a process is told to stop, and how its duties learn of it.

use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// How far the process is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// It serves.
    Serving,
    /// It takes no new work and finishes what is in flight.
    Draining,
    /// The last request is done: the other duties end.
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
    /// The present phase.
    #[must_use]
    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Moves on to a phase; a phase that has passed already stays.
    pub fn advance(&self, phase: StopPhase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            *current = phase.max(*current);
            later
        });
    }

    /// Waits until the process has reached a phase.
    pub async fn reached(&self, phase: StopPhase) {
        let mut receiver = self.phase.subscribe();
        // The sender lives in `self`, so that the wait can't fail.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}

/// Starts draining at SIGTERM or SIGINT, from a thread of its own.
///
/// # Panics
///
/// Panics if the system takes no signal handler.
pub fn stop_on_signal(stop: &StopSignal) {
    let stop = stop.clone();
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || super::process::run_alone(wait_for_signal(stop)))
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
    spdlog::info!("a stop was asked for");
    stop.advance(StopPhase::Draining);
    stop.reached(StopPhase::Ended).await;
}
