//! A request to an engine, and what comes out of it.

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::request::PrefixChain;

/// The engine's own number of a run; two runs of one attempt differ in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunNumber(pub u64);

/// A request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    /// The attempt; a cancel names it.
    pub attempt: AttemptId,
    /// The request that it belongs to.
    pub request: RequestId,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The model or adapter.
    pub target: String,
    /// The hash of the prompt, which settles the answer.
    pub prompt_hash: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The prompt's blocks, for the prefix cache.
    pub prefix: PrefixChain,
    /// Tokens of the whole answer.
    pub max_tokens: u32,
    /// Lower goes first.
    pub priority: u32,
    /// Tokens that are not generated again.
    pub resume_after: u32,
}

/// Why an engine doesn't take a request. It did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// The model or adapter is not ready.
    NotReady,
    /// Too many requests wait.
    QueueFull,
    /// The engine's role is to read prompts only.
    PrefillOnly,
}

/// What comes out of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputKind {
    /// A token, by its place in the whole answer.
    Token(u32),
    /// The answer is whole.
    Done,
    /// The run ended before its end: cancelled, or its weights were unloaded.
    Cut,
}

/// Something that came out of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineOutput {
    /// When.
    pub at: ClockTime,
    /// The run.
    pub run: RunNumber,
    /// The run's attempt.
    pub attempt: AttemptId,
    /// What.
    pub kind: OutputKind,
}

#[derive(Debug)]
pub(super) struct EngineRun {
    pub(super) number: RunNumber,
    pub(super) request: EngineRequest,
    pub(super) weights: WeightsKey,
    pub(super) prefill_left: u32,
    pub(super) next_token: u32,
}

impl EngineRun {
    pub(super) fn output(&self, at: ClockTime, kind: OutputKind) -> EngineOutput {
        EngineOutput {
            at,
            run: self.number,
            attempt: self.request.attempt,
            kind,
        }
    }
}
