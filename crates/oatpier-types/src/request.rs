//! What a decision needs to know of one request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, RequestId};
use crate::names::{AdapterName, CallerName, ClassName, ModelName, PoolName};
use crate::verdict::Repeat;

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestGoal {
    /// An answer of a model, with an adapter if one is named.
    Model {
        /// The base model.
        model: ModelName,
        /// The adapter on it.
        adapter: Option<AdapterName>,
    },
    /// A call to a plain service.
    Service {
        /// The pool that serves it.
        pool: PoolName,
    },
}

/// The size of a request to a model, in tokens, as far as known before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct TokenDemand {
    /// Tokens of the prompt (estimated from its bytes).
    pub prompt: u32,
    /// The most tokens that it may generate.
    pub output: u32,
}

/// Hashes of the growing prefixes of a prompt, shortest first, one for each block of tokens.
pub type PrefixChain = smallvec::SmallVec<[u64; 8]>;

/// What an entry asks an agent to run: one attempt at one request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptSpec {
    /// This attempt.
    pub attempt: AttemptId,
    /// The request that it belongs to.
    pub request: RequestId,
    /// What it is for.
    pub goal: RequestGoal,
    /// Its class.
    pub class: ClassName,
    /// Its caller, for fairness inside the class.
    pub caller: CallerName,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Time left until its first token (a model) or whole answer (a service) is due.
    pub remaining: Duration,
    /// Its size.
    pub tokens: TokenDemand,
    /// Tokens of the answer that were relayed already; an engine resumes after them.
    pub resume_after: u32,
}
