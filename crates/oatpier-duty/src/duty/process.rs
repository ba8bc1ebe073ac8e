//! Starts the duties of a process, each on its own thread.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

use miette::Diagnostic;
use thiserror::Error;

use super::{StopPhase, StopSignal};

/// Why a process could not start.
#[derive(Debug)]
#[derive(Diagnostic, Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[error("can't listen on {address} for {purpose}: {cause}")]
    #[diagnostic(help("check the `[listen]` table, and that no other process uses the address"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// What the system said.
        cause: std::io::Error,
    },
}

/// Binds a listening socket, before any duty starts, so that a wrong address is told at once.
///
/// # Errors
///
/// [`StartError::Listen`].
pub fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        // Port 0 in the settings takes a free one; the log is where it can be read.
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
    /// Tells them to stop.
    pub stop: StopSignal,
    threads: Vec<JoinHandle<()>>,
}

impl DutyProcess {
    /// Starts a duty on its own thread with a current-thread runtime.
    ///
    /// A duty that panics ends the process's work: the others drain, so that a half-dead process
    /// never looks alive.
    ///
    /// # Panics
    ///
    /// Panics if the system gives no thread.
    pub fn spawn<D, F>(&mut self, name: &str, duty: D)
    where
        D: FnOnce() -> F + Send + 'static,
        F: Future<Output = ()> + 'static,
    {
        let guard = PanicGuard(self.stop.clone());
        let body = move || {
            let _guard = guard;
            run_alone(async move { duty().await });
        };
        let thread = std::thread::Builder::new().name(name.to_owned());
        let handle = thread.spawn(body).expect("a thread can be started");
        self.threads.push(handle);
    }

    /// Waits for all duties to end.
    ///
    /// # Errors
    ///
    /// [`DutyPanic`] if one of them panicked: a process that lost a duty must not look like one
    /// that was stopped by plan.
    pub fn join(self) -> Result<(), DutyPanic> {
        // The panic itself was logged where it happened, and the others were told to end.
        let ends: Vec<_> = self.threads.into_iter().map(JoinHandle::join).collect();
        spdlog::default_logger().flush();
        if ends.iter().all(Result::is_ok) {
            Ok(())
        } else {
            Err(DutyPanic)
        }
    }
}

/// A duty panicked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Error, Diagnostic)]
#[error("a duty panicked, and the process ended")]
#[diagnostic(help("the log has the panic; the process can be started again"))]
pub struct DutyPanic;

/// Ends the whole process if its thread panics.
struct PanicGuard(StopSignal);

impl Drop for PanicGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            spdlog::critical!("a duty panicked; the process ends");
            self.0.advance(StopPhase::Ended);
        }
    }
}

/// Runs a future on this thread to its end.
pub(super) fn run_alone(body: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    runtime.block_on(body);
}
