//! From a caller's HTTP request to what the decisions need to know of it.

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

/// The header in which a caller names a class of work.
pub const CLASS_HEADER: &str = "oatpier-class";
/// The header in which a caller, or a proxy before the entry, says who it is.
pub const CALLER_HEADER: &str = "oatpier-caller";
/// The header that marks resubmissions of one request.
pub const KEY_HEADER: &str = "idempotency-key";
/// The longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// The path below which plain services are.
const SERVICE_PREFIX: &str = "/services/";

/// A request that can't be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum IntakeError {
    /// Nothing is served under the path.
    #[error(
        "there is nothing at `{path}`; use /v1/chat/completions, /v1/completions, /v1/models or \
         /services/NAME/..."
    )]
    Path {
        /// The path.
        path: String,
    },
    /// The path takes another method.
    #[error("`{path}` does not take {method}; use {wanted}")]
    Method {
        /// The path.
        path: String,
        /// The method that came.
        method: Method,
        /// The method that it takes.
        wanted: &'static str,
    },
    /// The body is not what the path takes.
    #[error("the body is not a completion request: {cause}")]
    Body {
        /// What is wrong.
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

/// A caller's request, understood.
#[derive(Debug, Clone)]
pub struct CallIntake {
    /// What it is for.
    pub goal: RequestGoal,
    /// Its class.
    pub class: ClassName,
    /// Who sent it.
    pub caller: CallerName,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// The idempotency key, hashed together with the caller's name.
    pub key: Option<KeyHash>,
    /// Its size.
    pub tokens: TokenDemand,
    /// The growing prefixes of its prompt.
    pub prefixes: PrefixChain,
    /// Whether the answer is a stream of server-sent events.
    pub stream: bool,
    /// What the endpoint gets.
    pub call: CallParts,
}

/// The parts of a call that pass through to the endpoint.
#[derive(Debug, Clone)]
pub struct CallParts {
    /// The method.
    pub method: Method,
    /// The path and query, as the endpoint sees them.
    pub path: String,
    /// The headers that pass through.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// What kind of path a request goes to.
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
    /// The route of a request.
    ///
    /// # Errors
    ///
    /// [`IntakeError::Path`] and [`IntakeError::Method`].
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

/// Understands a request to a model or a plain service.
///
/// # Errors
///
/// What the caller has to mend.
pub fn understand(
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
            headers: passed_headers(&head.headers),
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
            headers: passed_headers(&head.headers),
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

/// Who sent a request. A credential is hashed, so that it shows up in no log or metric.
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
    CallerName::try_from("unknown").expect("the name is a constant")
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

/// All headers but those that concern one connection or oatpier itself.
fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    const KEPT_BACK: [&str; 13] = [
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
        .filter(|(name, _)| !KEPT_BACK.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
