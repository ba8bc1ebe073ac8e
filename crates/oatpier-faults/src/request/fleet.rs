//! The fleet configuration of the request scenario.

use std::time::Duration;

use oatpier_policy::event::RequestIntake;
use oatpier_types::config::{
    ClassSpec, ClassTarget, FleetConfig, ModelSpec, PoolKind, PoolSpec, RegionSpec,
};
use oatpier_types::engine::WeightsKey;
use oatpier_types::ids::RequestId;
use oatpier_types::names::{EndpointName, PoolName, ZoneName};
use oatpier_types::request::{PrefixChain, RequestGoal, TokenDemand};
use oatpier_types::verdict::Repeat;

use super::message::{AGENTS, ENTRIES, FIRST_AGENT, NodeId};

/// Number of pieces of a streamed answer.
pub const STREAM_PIECES: u32 = 6;
/// Target time of the whole answer of a plain service.
const WHOLE_ANSWER_TARGET: Duration = Duration::from_secs(2);
/// Target time of the first token of a stream.
const FIRST_TOKEN_TARGET: Duration = Duration::from_secs(2);

/// Converts a literal to a name.
///
/// # Panics
///
/// Panics if the literal is not a valid name.
pub fn name<N: for<'a> TryFrom<&'a str>>(raw: &str) -> N {
    let checked = N::try_from(raw);
    checked.unwrap_or_else(|_| panic!("`{raw}` is not a valid name"))
}

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// A request to a model, with a streamed answer.
    Stream,
    /// An idempotent call to a service.
    Fetch,
    /// A call to a service that must run at most once, under an idempotency key.
    Change,
}

impl JobKind {
    /// Returns the number of pieces of the answer.
    pub fn pieces(self) -> u32 {
        match self {
            Self::Stream => STREAM_PIECES,
            Self::Fetch | Self::Change => 1,
        }
    }
}

/// Returns the request as the entry receives it.
pub fn intake(kind: JobKind, request: RequestId, key: u64) -> RequestIntake {
    let stream = kind == JobKind::Stream;
    let goal = if stream {
        RequestGoal::Model {
            model: name("seat"),
            adapter: None,
        }
    } else {
        RequestGoal::Service {
            pool: name("plan-api"),
        }
    };
    let once = kind == JobKind::Change;
    RequestIntake {
        request,
        goal,
        class: name(if stream { "draft" } else { "apply" }),
        caller: name("hall-manager"),
        repeat: if once {
            Repeat::AtMostOnce
        } else {
            Repeat::Idempotent
        },
        key: once.then_some(key),
        tokens: TokenDemand {
            prompt: if stream { 100 } else { 0 },
            output: if stream { STREAM_PIECES } else { 0 },
        },
        prefixes: PrefixChain::from_slice(&[7, 8]),
        resumable: stream,
    }
}

/// Returns whether an agent's endpoint is an engine.
pub fn is_engine(agent: NodeId) -> bool {
    agent - FIRST_AGENT < AGENTS / 2
}

/// Returns the name of an agent's endpoint.
pub fn endpoint(agent: NodeId) -> EndpointName {
    name(&format!("endpoint-{}", agent - FIRST_AGENT))
}

/// Returns the agent of an endpoint.
pub fn agent_of(wanted: &EndpointName) -> NodeId {
    let mut agents = FIRST_AGENT..FIRST_AGENT + AGENTS;
    agents
        .find(|agent| endpoint(*agent) == *wanted)
        .unwrap_or(FIRST_AGENT)
}

/// Returns the pool of an agent's endpoint.
pub fn pool(agent: NodeId) -> PoolName {
    name(if is_engine(agent) {
        "seat-llm"
    } else {
        "plan-api"
    })
}

/// Returns the weights that the engines have ready.
pub fn weights() -> WeightsKey {
    WeightsKey {
        model: name("seat"),
        adapter: None,
        version: name("v1"),
    }
}

/// Returns a node's availability zone.
pub fn zone(node: NodeId) -> ZoneName {
    name(if node.is_multiple_of(2) {
        "ikeja"
    } else {
        "lekki"
    })
}

/// Returns the configuration.
pub fn config() -> FleetConfig {
    let mut config = FleetConfig::default();
    let zones = (0..ENTRIES).map(zone).collect();
    config.regions.insert(name("lagos"), RegionSpec { zones });
    let stream = ClassTarget::Stream {
        first_token: FIRST_TOKEN_TARGET,
        between_tokens: Duration::from_millis(33),
    };
    let whole = ClassTarget::Whole {
        answer: WHOLE_ANSWER_TARGET,
    };
    for (class, target) in [("draft", stream), ("apply", whole)] {
        let attain = 0.95;
        config
            .classes
            .insert(name(class), ClassSpec { target, attain });
    }
    let spec = ModelSpec {
        version: name("v1"),
        pool: name("seat-llm"),
        memory_mib: 100,
        class: name("draft"),
    };
    config.models.insert(name("seat"), spec);
    let kind = PoolKind::Service {
        class: name("apply"),
        slots: 1,
        once: Vec::new(),
    };
    let endpoints = indexmap::IndexMap::new();
    let spec = PoolSpec { kind, endpoints };
    config.pools.insert(name("plan-api"), spec);
    config
}
