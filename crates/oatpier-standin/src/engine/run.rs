//! Requests to an engine, and the outputs of their runs.

use oatpier_types::clock::ClockTime;
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::{AttemptId, RequestId};
use oatpier_types::request::PrefixChain;

/// Number that the engine assigns to a run. Two runs of one attempt have different numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunNumber(pub u64);

/// A request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRequest {
    /// The attempt, by which the request can be cancelled.
    pub attempt: AttemptId,
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The model or adapter.
    pub target: String,
    /// The hash of the prompt, which determines the answer.
    pub prompt_hash: u64,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// The prompt's blocks, for the prefix cache.
    pub prefix: PrefixChain,
    /// Number of tokens of the complete answer.
    pub max_tokens: u32,
    /// Priority: lower values run first.
    pub priority: u32,
    /// Number of leading tokens that are not generated again.
    pub resume_after: u32,
}

/// Reason why an engine refuses a request. The request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// The model or adapter is not ready.
    NotReady,
    /// The queue is full.
    QueueFull,
    /// The engine's role is to process prompts only.
    PrefillOnly,
}

/// Kind of an output of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputKind {
    /// A token, by its index in the complete answer.
    Token(u32),
    /// The answer is complete.
    Done,
    /// The run ended early: it was cancelled, or its weights were unloaded.
    Interrupted,
}

/// An output of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineOutput {
    /// Time of the output.
    pub at: ClockTime,
    /// The run.
    pub run: RunNumber,
    /// The run's attempt.
    pub attempt: AttemptId,
    /// Kind of the output.
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
