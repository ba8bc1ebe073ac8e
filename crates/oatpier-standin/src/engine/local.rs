//! The engine on the runtime's clock, with streams.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use futures::FutureExt;
use futures::future::BoxFuture;
use oatpier_ports::engine::{EngineControl, OrderError, ReportError};
use oatpier_types::clock::ClockTime;
use oatpier_types::engine::{CacheEvent, EngineOrder, EngineState, LoadReport};
use oatpier_types::ids::AttemptId;
use tokio::sync::{Notify, mpsc};

use super::{
    EngineCore, EngineFaults, EngineOptions, EngineOutput, EngineRequest, OutputKind, RunNumber,
    SubmitError,
};
use crate::clock::StandinClock;
use crate::weights::SharedWeights;

type OutputSender = mpsc::UnboundedSender<OutputKind>;

struct LocalShared {
    core: EngineCore,
    streams: HashMap<RunNumber, OutputSender>,
}

impl LocalShared {
    fn route(&mut self, outputs: Vec<EngineOutput>) {
        for output in outputs {
            let Some(stream) = self.streams.get(&output.run) else {
                continue;
            };
            // An error is ignored: a stream that is dropped by its reader cancels its run.
            let _ = stream.send(output.kind);
            if !matches!(output.kind, OutputKind::Token(_)) {
                self.streams.remove(&output.run);
            }
        }
    }
}

/// In-process engine. A task of the current runtime runs its steps until the engine is dropped.
pub struct LocalEngine {
    clock: StandinClock,
    shared: Mutex<LocalShared>,
    /// Notifies the task that work may be due earlier than scheduled.
    wake: Arc<Notify>,
}

impl Drop for LocalEngine {
    fn drop(&mut self) {
        self.wake.notify_one();
    }
}

impl LocalEngine {
    /// Starts an engine on the current runtime. Engines that share a weight store must share a clock.
    #[must_use]
    pub fn start(options: EngineOptions, store: SharedWeights, clock: StandinClock) -> Arc<Self> {
        let engine = Arc::new(Self {
            clock,
            shared: Mutex::new(LocalShared {
                core: EngineCore::new(options, store),
                streams: HashMap::new(),
            }),
            wake: Arc::new(Notify::new()),
        });
        tokio::spawn(run_steps(Arc::downgrade(&engine), Arc::clone(&engine.wake)));
        engine
    }

    fn lock(&self) -> MutexGuard<'_, LocalShared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls a function with the core and the current time, after processing all work that is due.
    pub fn with_core<T>(&self, call: impl FnOnce(&mut EngineCore, ClockTime) -> T) -> T {
        let now = self.clock.now();
        let mut shared = self.lock();
        let outputs = shared.core.advance(now);
        shared.route(outputs);
        let result = call(&mut shared.core, now);
        drop(shared);
        self.wake.notify_one();
        result
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.with_core(|core, now| core.set_faults(now, faults));
    }

    /// Starts a run and returns its stream.
    ///
    /// # Errors
    ///
    /// Returns a [`SubmitError`] if the request is refused.
    pub fn submit(self: &Arc<Self>, request: EngineRequest) -> Result<RunStream, SubmitError> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let now = self.clock.now();
        let mut shared = self.lock();
        let outputs = shared.core.advance(now);
        shared.route(outputs);
        let run = shared.core.submit(now, request)?;
        let cut_after = shared.core.take_interruption();
        shared.streams.insert(run, sender);
        drop(shared);
        self.wake.notify_one();
        Ok(RunStream {
            engine: Arc::clone(self),
            run,
            receiver,
            cut_after,
        })
    }

    /// Cancels an attempt. Returns whether it was running or queued.
    pub fn cancel_attempt(&self, attempt: AttemptId) -> bool {
        self.with_core(|core, now| core.cancel(now, attempt))
    }

    /// Processes all work that is due, and returns when more is due.
    fn advance(&self) -> (StandinClock, ClockTime) {
        let mut shared = self.lock();
        let outputs = shared.core.advance(self.clock.now());
        shared.route(outputs);
        (self.clock, shared.core.next_time())
    }
}

async fn run_steps(engine: Weak<LocalEngine>, wake: Arc<Notify>) {
    while let Some(engine) = engine.upgrade() {
        let (clock, next) = engine.advance();
        drop(engine);
        tokio::select! {
            () = clock.sleep_until(next) => {}
            () = wake.notified() => {}
        }
    }
}

/// Outputs of one run. Dropping the stream cancels the run.
pub struct RunStream {
    engine: Arc<LocalEngine>,
    run: RunNumber,
    receiver: mpsc::UnboundedReceiver<OutputKind>,
    cut_after: Option<u32>,
}

impl RunStream {
    /// Returns the next output. The last one is [`OutputKind::Done`] or [`OutputKind::Interrupted`].
    pub async fn next(&mut self) -> Option<OutputKind> {
        match &mut self.cut_after {
            Some(0) => return Some(OutputKind::Interrupted),
            Some(left) => *left -= 1,
            None => {}
        }
        self.receiver.recv().await
    }
}

impl Drop for RunStream {
    fn drop(&mut self) {
        let run = self.run;
        self.engine.with_core(|core, now| core.cancel_run(now, run));
    }
}

impl EngineControl for LocalEngine {
    fn order<'a>(&'a self, order: &'a EngineOrder) -> BoxFuture<'a, Result<(), OrderError>> {
        async move {
            self.check_up()
                .map_err(|error| OrderError::Unknown { cause: error.cause })?;
            self.with_core(|core, now| core.order(now, order))
        }
        .boxed()
    }

    fn state(&self) -> BoxFuture<'_, Result<EngineState, ReportError>> {
        async move {
            self.check_up()?;
            Ok(self.with_core(|core, _| core.state()))
        }
        .boxed()
    }

    fn load(&self) -> BoxFuture<'_, Result<LoadReport, ReportError>> {
        async move {
            self.check_up()?;
            Ok(self.with_core(|core, now| core.load(now)))
        }
        .boxed()
    }

    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, ReportError>> {
        async move {
            self.check_up()?;
            Ok(self.with_core(|core, now| core.cache_events(now, after)))
        }
        .boxed()
    }
}

impl LocalEngine {
    /// Returns an error while the engine is down.
    pub(super) fn check_up(&self) -> Result<(), ReportError> {
        if self.lock().core.faults().down {
            let cause = "the connection broke".to_owned();
            return Err(ReportError { cause });
        }
        Ok(())
    }
}
