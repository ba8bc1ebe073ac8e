//! Starts the duties of a process, each on a separate thread.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use miette::Diagnostic;
use thiserror::Error;

use super::{StopPhase, StopSignal};

/// An error while starting a process.
#[derive(Debug)]
#[derive(Diagnostic, Error)]
pub enum StartError {
    /// A listening socket can't be opened.
    #[error("can't listen on {address} for {purpose}: {cause}")]
    #[diagnostic(help("check the `[listen]` table, and that no other process uses the address"))]
    Listen {
        /// The address of the socket.
        address: SocketAddr,
        /// The purpose of the socket.
        purpose: &'static str,
        /// The operating system's error.
        cause: std::io::Error,
    },
}

/// Binds a listening socket. Called before any duty starts, so that an invalid address is reported at once.
///
/// # Errors
///
/// Returns [`StartError::Listen`] if the socket can't be opened.
pub fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        // Port 0 in the settings selects a free port, which only the log shows.
        spdlog::info!("listening", kv: { purpose, address: = bound });
        Ok(listener)
    });
    bound.map_err(|cause| StartError::Listen {
        address,
        purpose,
        cause,
    })
}

/// The running duties of one process.
#[derive(Debug, Default)]
pub struct DutyProcess {
    /// The signal that stops the duties.
    pub stop: StopSignal,
    threads: Vec<JoinHandle<()>>,
}

impl DutyProcess {
    /// Starts a duty on a separate thread with a current-thread runtime.
    ///
    /// If a duty panics, the other duties are ended too, so that a partly failed process does not appear healthy.
    ///
    /// # Panics
    ///
    /// Panics if the operating system can't create a thread.
    pub fn spawn<D, F>(&mut self, name: &str, duty: D)
    where
        D: FnOnce() -> F + Send + 'static,
        F: Future<Output = ()> + 'static,
    {
        let guard = PanicGuard(self.stop.clone());
        let body = move || {
            let _guard = guard;
            block_on_thread(async move { duty().await });
        };
        let thread = std::thread::Builder::new().name(name.to_owned());
        let handle = thread.spawn(body).expect("a thread can be started");
        self.threads.push(handle);
    }

    /// Waits for all duties to end.
    ///
    /// # Errors
    ///
    /// Returns [`DutyPanic`] if a duty panicked, so that the failure can be distinguished from a planned shutdown.
    pub fn join(self) -> Result<(), DutyPanic> {
        // The panic was logged where it occurred, and the other duties were already signalled to end.
        let results: Vec<_> = self.threads.into_iter().map(JoinHandle::join).collect();
        spdlog::default_logger().flush();
        if results.iter().all(Result::is_ok) {
            Ok(())
        } else {
            Err(DutyPanic)
        }
    }
}

/// The error for a duty that panicked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Error, Diagnostic)]
#[error("a duty panicked, so the process exited")]
#[diagnostic(help("see the log for the panic; the process can be restarted"))]
pub struct DutyPanic;

/// Signals all duties to end if the thread that owns it panics.
struct PanicGuard(StopSignal);

impl Drop for PanicGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            spdlog::critical!("a duty panicked; the process exits");
            self.0.advance(StopPhase::Ended);
        }
    }
}

/// Runs a future to completion on this thread, in a new current-thread runtime.
pub(super) fn block_on_thread(body: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    runtime.block_on(body);
}
