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

use crate::history::{EventHistory, ObservedEvent};
use crate::standin::settings::{ProcessSettings, SETTINGS_VARIABLE};

/// Delay between the exit of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(150);

/// Time that a process may take to exit after SIGTERM, as on the platform. SIGKILL follows.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// The program, settings and working folder of a process.
#[derive(Debug, Clone)]
pub struct ProcessSpec {
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
    is_stop_expected: Arc<AtomicBool>,
    watch_task: JoinHandle<()>,
}

impl SoakProcess {
    /// Starts the process and a task that restarts it.
    #[must_use]
    pub fn start(spec: ProcessSpec, history: EventHistory) -> Self {
        let id = Arc::new(Mutex::new(None));
        let is_stop_expected = Arc::new(AtomicBool::new(false));
        let watch = ProcessWatch {
            spec,
            history,
            id: Arc::clone(&id),
            is_stop_expected: Arc::clone(&is_stop_expected),
        };
        Self {
            id,
            is_stop_expected,
            watch_task: tokio::spawn(watch.run()),
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
        self.is_stop_expected.store(true, Ordering::SeqCst);
        self.signal(Signal::SIGKILL);
    }

    /// Sends SIGTERM, as for a planned stop, and SIGKILL if the process has not exited when its grace period ends.
    pub async fn stop(&self) {
        self.is_stop_expected.store(true, Ordering::SeqCst);
        let old_id = *self.id.lock().unwrap_or_else(PoisonError::into_inner);
        self.signal(Signal::SIGTERM);
        let exited = async {
            while *self.id.lock().unwrap_or_else(PoisonError::into_inner) == old_id {
                sleep(Duration::from_millis(50)).await;
            }
        };
        if timeout(GRACE_PERIOD, exited).await.is_err() {
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
        self.watch_task.abort();
    }
}

struct ProcessWatch {
    spec: ProcessSpec,
    history: EventHistory,
    id: Arc<Mutex<Option<u32>>>,
    is_stop_expected: Arc<AtomicBool>,
}

impl ProcessWatch {
    async fn run(self) {
        let mut is_first = true;
        loop {
            let mut settings = self.spec.settings.clone();
            settings.is_first_start = is_first;
            is_first = false;
            match self.spawn(&settings) {
                Ok(mut child) => self.watch(&mut child).await,
                Err(error) => self.record_exit(&error.to_string()),
            }
            sleep(RESTART_DELAY).await;
        }
    }

    fn spawn(&self, settings: &ProcessSettings) -> std::io::Result<Child> {
        let file = self.spec.folder.join(format!("{}.toml", settings.name));
        std::fs::write(&file, settings.text())?;
        let log = append(&self.spec.folder.join(format!("{}.log", settings.name)))?;
        let errors = log.try_clone()?;
        Command::new(&self.spec.daemon)
            .arg(self.spec.role)
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
        if !self.is_stop_expected.swap(false, Ordering::SeqCst) {
            self.record_exit(&describe(ended));
        }
    }

    fn record_exit(&self, status: &str) {
        self.history.record(ObservedEvent::Exit {
            process: self.spec.settings.name.clone(),
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
