//! Starts, restarts and signals the processes of a soak.

use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::process::{Child, Command};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::ledger::{SeenEvent, SoakLedger};
use crate::standin::settings::{ProcessSettings, SETTINGS_VARIABLE};

/// Delay between the exit of a process and its restart.
const RESTART_AFTER: Duration = Duration::from_millis(150);

/// Time that a process may take to exit after SIGTERM, as on the platform. SIGKILL follows.
const GRACE: Duration = Duration::from_secs(8);

/// The program, settings and working folder of a process.
#[derive(Debug, Clone)]
pub struct ProcessKind {
    /// The path of the daemon's executable.
    pub daemon: PathBuf,
    /// The role argument: `gateway` or `sidecar`.
    pub role: &'static str,
    /// The contents of its settings file.
    pub settings: ProcessSettings,
    /// The folder of its settings file and its log.
    pub folder: PathBuf,
}

/// A process that is restarted whenever it exits.
#[derive(Debug)]
pub struct SoakProcess {
    id: Arc<Mutex<Option<u32>>>,
    told_to_end: Arc<AtomicBool>,
    watching: JoinHandle<()>,
}

impl SoakProcess {
    /// Starts the process and a task that restarts it.
    #[must_use]
    pub fn start(kind: ProcessKind, ledger: SoakLedger) -> Self {
        let id = Arc::new(Mutex::new(None));
        let told_to_end = Arc::new(AtomicBool::new(false));
        let watch = ProcessWatch {
            kind,
            ledger,
            id: Arc::clone(&id),
            told_to_end: Arc::clone(&told_to_end),
        };
        Self {
            id,
            told_to_end,
            watching: tokio::spawn(watch.run()),
        }
    }

    fn signal(&self, signal: Signal) {
        let id = self.id.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            // The process may have exited just before; the watch task restarts it in any case.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Sends SIGKILL.
    pub fn kill(&self) {
        self.told_to_end.store(true, Ordering::SeqCst);
        self.signal(Signal::SIGKILL);
    }

    /// Sends SIGTERM, as for a planned stop, and SIGKILL if the process has not exited when its grace period ends.
    pub async fn stop(&self) {
        self.told_to_end.store(true, Ordering::SeqCst);
        let before = *self.id.lock().unwrap_or_else(PoisonError::into_inner);
        self.signal(Signal::SIGTERM);
        let is_over = async {
            while *self.id.lock().unwrap_or_else(PoisonError::into_inner) == before {
                sleep(Duration::from_millis(50)).await;
            }
        };
        if timeout(GRACE, is_over).await.is_err() {
            self.signal(Signal::SIGKILL);
        }
    }

    /// Sends SIGHUP, which makes the process reload its settings.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Pauses the process for `span` with SIGSTOP and SIGCONT.
    pub async fn pause(&self, span: Duration) {
        self.signal(Signal::SIGSTOP);
        sleep(span).await;
        self.signal(Signal::SIGCONT);
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        // Aborting the task drops the child, which kills the process (`kill_on_drop`).
        self.watching.abort();
    }
}

struct ProcessWatch {
    kind: ProcessKind,
    ledger: SoakLedger,
    id: Arc<Mutex<Option<u32>>>,
    told_to_end: Arc<AtomicBool>,
}

impl ProcessWatch {
    async fn run(self) {
        let mut is_first = true;
        loop {
            let mut settings = self.kind.settings.clone();
            settings.first_start = is_first;
            is_first = false;
            match self.spawn(&settings) {
                Ok(mut child) => self.watch(&mut child).await,
                Err(error) => self.note_exit(&error.to_string()),
            }
            sleep(RESTART_AFTER).await;
        }
    }

    fn spawn(&self, settings: &ProcessSettings) -> std::io::Result<Child> {
        let file = self.kind.folder.join(format!("{}.toml", settings.name));
        std::fs::write(&file, settings.text())?;
        let log = append(&self.kind.folder.join(format!("{}.log", settings.name)))?;
        let errors = log.try_clone()?;
        Command::new(&self.kind.daemon)
            .arg(self.kind.role)
            .env(SETTINGS_VARIABLE, file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
    }

    async fn watch(&self, child: &mut Child) {
        *self.id.lock().unwrap_or_else(PoisonError::into_inner) = child.id();
        let ended = child.wait().await;
        *self.id.lock().unwrap_or_else(PoisonError::into_inner) = None;
        if !self.told_to_end.swap(false, Ordering::SeqCst) {
            self.note_exit(&describe(ended));
        }
    }

    fn note_exit(&self, status: &str) {
        self.ledger.note(SeenEvent::Exit {
            process: self.kind.settings.name.clone(),
            status: status.to_owned(),
        });
    }
}

fn append(path: &Path) -> std::io::Result<std::fs::File> {
    std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
}

fn describe(ended: std::io::Result<ExitStatus>) -> String {
    match ended {
        Ok(status) => status.to_string(),
        Err(error) => error.to_string(),
    }
}
