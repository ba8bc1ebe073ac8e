//! The request attributes that admission and routing decisions use.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, RequestId};
use crate::names::{AdapterName, CallerName, ClassName, ModelName, PoolName};
use crate::verdict::Repeat;

/// The target of a request: a model or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestGoal {
    /// Inference with a model, optionally with an adapter.
    Model {
        /// The base model.
        model: ModelName,
        /// The adapter of the base model, if the request names one.
        adapter: Option<AdapterName>,
    },
    /// A call to a plain service.
    Service {
        /// The pool that serves it.
        pool: PoolName,
    },
}

/// The estimated size of a request to a model before it runs, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct TokenDemand {
    /// Prompt tokens, estimated from the prompt's length in bytes.
    pub prompt: u32,
    /// Maximum number of tokens to generate.
    pub output: u32,
}

/// Hashes of the prefixes of a prompt, shortest first, one for each block of tokens.
pub type PrefixChain = smallvec::SmallVec<[u64; 8]>;

/// One attempt at a request, as an entry submits it to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptSpec {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The requested model or service.
    pub goal: RequestGoal,
    /// The class of the request.
    pub class: ClassName,
    /// The caller, for fair sharing within the class.
    pub caller: CallerName,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Time left until the first token (model) or the complete answer (service) is due.
    pub remaining: Duration,
    /// The estimated size of the request.
    pub tokens: TokenDemand,
    /// Tokens of the answer that were already relayed; the engine resumes after them.
    pub resume_after: u32,
}
