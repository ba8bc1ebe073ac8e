//! Parses a caller's HTTP request into the data that the policy needs.

use std::net::IpAddr;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method};
use oatpier_claims::message::KeyHash;
use oatpier_types::config::{FleetConfig, PoolKind};
use oatpier_types::names::{CallerName, ClassName, PoolName};
use oatpier_types::request::{PrefixChain, RequestGoal, TokenDemand};
use oatpier_types::verdict::Repeat;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use oatpier_types::prefix::prefix_chain;

use crate::completion::CompletionBody;

/// Header with the request class.
pub const CLASS_HEADER: &str = "oatpier-class";
/// Header with the caller's identity, set by the caller or by a proxy in front of the entry.
pub const CALLER_HEADER: &str = "oatpier-caller";
/// Header with the idempotency key, which identifies resubmissions of one request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Path prefix of plain services.
const SERVICE_PREFIX: &str = "/services/";

/// Reason for which a request is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum IntakeError {
    /// Nothing is served at the path.
    #[error(
        "there is nothing at `{path}`; use /v1/chat/completions, /v1/completions, /v1/models or \
         /services/NAME/..."
    )]
    Path {
        /// The path.
        path: String,
    },
    /// The path does not support the method.
    #[error("`{path}` does not take {method}; use {wanted}")]
    Method {
        /// The path.
        path: String,
        /// The method of the request.
        method: Method,
        /// The method that the path supports.
        wanted: &'static str,
    },
    /// The body is not a valid completion request.
    #[error("the body is not a completion request: {cause}")]
    Body {
        /// Description of the problem.
        cause: String,
    },
    /// No such model or adapter is configured.
    #[error("there is no model or adapter `{name}`; GET /v1/models lists those there are")]
    Model {
        /// The name.
        name: String,
    },
    /// No such plain service is configured.
    #[error("there is no service `{name}`")]
    Service {
        /// The name.
        name: String,
    },
    /// No such class is configured.
    #[error("there is no class `{name}`; leave out {CLASS_HEADER} to get the default")]
    Class {
        /// The name.
        name: String,
    },
    /// The idempotency key is not usable.
    #[error("the idempotency key has to be 1 to {MAX_KEY_BYTES} bytes of text")]
    Key,
    /// No configuration is known yet.
    #[error("this entry has no configuration yet")]
    NoConfig,
}

/// A parsed request of a caller.
#[derive(Debug, Clone)]
pub struct CallIntake {
    /// Model or service that the request addresses.
    pub goal: RequestGoal,
    /// Class of the request.
    pub class: ClassName,
    /// Caller that sent the request.
    pub caller: CallerName,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// The idempotency key, hashed together with the caller's name.
    pub key: Option<KeyHash>,
    /// Estimated size in tokens.
    pub tokens: TokenDemand,
    /// Hashes of the successively longer prefixes of the prompt.
    pub prefixes: PrefixChain,
    /// Whether the answer is a stream of server-sent events.
    pub stream: bool,
    /// Parts that are forwarded to the endpoint.
    pub call: CallParts,
}

/// The parts of a call that are forwarded to the endpoint.
#[derive(Debug, Clone)]
pub struct CallParts {
    /// The method.
    pub method: Method,
    /// Path and query as sent to the endpoint.
    pub path: String,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Kind of path that a request addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRoute {
    /// The list of models and adapters.
    Models,
    /// A completion.
    Completion,
    /// A plain service.
    Service,
}

impl CallRoute {
    /// Returns the route of a request.
    ///
    /// # Errors
    ///
    /// Returns [`IntakeError::Path`] or [`IntakeError::Method`].
    pub fn of(method: &Method, path: &str) -> Result<Self, IntakeError> {
        let (route, wanted) = match path {
            "/v1/models" => (Self::Models, Method::GET),
            "/v1/chat/completions" | "/v1/completions" => (Self::Completion, Method::POST),
            _ if path.starts_with(SERVICE_PREFIX) => return Ok(Self::Service),
            _ => {
                let path = path.to_owned();
                return Err(IntakeError::Path { path });
            }
        };
        if *method == wanted {
            return Ok(route);
        }
        Err(IntakeError::Method {
            path: path.to_owned(),
            method: method.clone(),
            wanted: if wanted == Method::GET { "GET" } else { "POST" },
        })
    }
}

/// Parses a request to a model or a plain service.
///
/// # Errors
///
/// Returns an error that tells the caller what to correct.
pub fn parse_call(
    config: &FleetConfig,
    route: CallRoute,
    head: &Parts,
    body: Bytes,
    peer: IpAddr,
) -> Result<CallIntake, IntakeError> {
    let class = named_class(config, &head.headers)?;
    let mut intake = match route {
        CallRoute::Service => service_call(config, class, head, body)?,
        CallRoute::Completion | CallRoute::Models => completion_call(config, class, head, body)?,
    };
    intake.caller = caller_of(&head.headers, peer);
    intake.key = key_of(&head.headers, &intake.caller)?;
    Ok(intake)
}

fn completion_call(
    config: &FleetConfig,
    class: Option<ClassName>,
    head: &Parts,
    body: Bytes,
) -> Result<CallIntake, IntakeError> {
    let completion = CompletionBody::read(&body).map_err(|cause| IntakeError::Body { cause })?;
    let (goal, default_class) = goal_of(config, &completion.model)?;
    let prompt = completion.prompt_text();
    Ok(CallIntake {
        goal,
        class: class.unwrap_or(default_class),
        caller: unknown_caller(),
        repeat: Repeat::Idempotent,
        key: None,
        tokens: completion.demand(&prompt),
        prefixes: prefix_chain(&completion.model, &prompt),
        stream: completion.stream,
        call: CallParts {
            method: head.method.clone(),
            path: head.uri.path().to_owned(),
            headers: forwarded_headers(&head.headers),
            body,
        },
    })
}

fn goal_of(config: &FleetConfig, name: &str) -> Result<(RequestGoal, ClassName), IntakeError> {
    let unknown = || IntakeError::Model {
        name: name.to_owned(),
    };
    let adapter = config
        .adapters
        .iter()
        .find(|(found, _)| found.as_str() == name);
    let base = adapter.map_or(name, |(_, spec)| spec.model.as_str());
    let (model, spec) = config
        .models
        .iter()
        .find(|(found, _)| found.as_str() == base)
        .ok_or_else(unknown)?;
    let goal = RequestGoal::Model {
        model: model.clone(),
        adapter: adapter.map(|(found, _)| found.clone()),
    };
    Ok((goal, spec.class.clone()))
}

fn service_call(
    config: &FleetConfig,
    class: Option<ClassName>,
    head: &Parts,
    body: Bytes,
) -> Result<CallIntake, IntakeError> {
    let path = head.uri.path();
    let below = path.strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    let (name, rest) = below.split_at(below.find('/').unwrap_or(below.len()));
    let rest = if rest.is_empty() { "/" } else { rest };
    let unknown = || IntakeError::Service {
        name: name.to_owned(),
    };
    let pool = PoolName::try_from(name).map_err(|_| unknown())?;
    let spec = config.pools.get(&pool).ok_or_else(unknown)?;
    let PoolKind::Service { class: default, .. } = &spec.kind else {
        return Err(unknown());
    };
    let query = head.uri.query().map(|query| format!("?{query}"));
    Ok(CallIntake {
        repeat: spec.repeat_of(head.method.as_str(), rest),
        goal: RequestGoal::Service { pool },
        class: class.unwrap_or_else(|| default.clone()),
        caller: unknown_caller(),
        key: None,
        tokens: TokenDemand::default(),
        prefixes: PrefixChain::new(),
        stream: false,
        call: CallParts {
            method: head.method.clone(),
            path: format!("{rest}{}", query.unwrap_or_default()),
            headers: forwarded_headers(&head.headers),
            body,
        },
    })
}

fn named_class(
    config: &FleetConfig,
    headers: &HeaderMap,
) -> Result<Option<ClassName>, IntakeError> {
    let Some(value) = headers.get(CLASS_HEADER) else {
        return Ok(None);
    };
    let name = String::from_utf8_lossy(value.as_bytes()).into_owned();
    ClassName::try_from(name.as_str())
        .ok()
        .filter(|class| config.classes.contains_key(class))
        .map(Some)
        .ok_or(IntakeError::Class { name })
}

/// Returns the caller of a request. Credentials are hashed to keep them out of logs and metrics.
fn caller_of(headers: &HeaderMap, peer: IpAddr) -> CallerName {
    let named = [CALLER_HEADER, http::header::AUTHORIZATION.as_str()]
        .into_iter()
        .find_map(|header| headers.get(header));
    let text = match named {
        Some(value) => format!("key-{:016x}", xxh3_64(value.as_bytes())),
        None => peer.to_string(),
    };
    CallerName::try_from(text).unwrap_or_else(|_| unknown_caller())
}

fn unknown_caller() -> CallerName {
    CallerName::try_from("unknown").expect("the constant is a valid name")
}

fn key_of(headers: &HeaderMap, caller: &CallerName) -> Result<Option<KeyHash>, IntakeError> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    if bytes.is_empty() || bytes.len() > MAX_KEY_BYTES {
        return Err(IntakeError::Key);
    }
    let text = value.to_str().map_err(|_| IntakeError::Key)?;
    Ok(Some(KeyHash::of(caller, text)))
}

/// Returns all headers except hop-by-hop headers and those used by oatpier itself.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    const NOT_FORWARDED: [&str; 13] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "host",
        "content-length",
        "expect",
        "traceparent",
        "tracestate",
        CLASS_HEADER,
    ];
    headers
        .iter()
        .filter(|(name, _)| !NOT_FORWARDED.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
