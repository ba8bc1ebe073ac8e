//! Helpers shared by the tests.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::TryStreamExt;
use http::{HeaderMap, HeaderValue, Method};
use oatpier_ports::endpoint::{CallError, EndpointAnswer, EndpointCall};
use oatpier_standin::engine::{EngineCore, EngineOptions, EngineRequest};
use oatpier_standin::weights::{WeightStore, WeightsOptions};
use oatpier_types::engine::{EngineOrder, OrderAction, WeightsKey};
use oatpier_types::ids::{AttemptId, Epoch, OrderNumber, RequestId};
use oatpier_types::names::{EndpointName, ModelName, VersionName};

pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

pub fn endpoint() -> EndpointName {
    EndpointName::try_from("e1").unwrap()
}

pub fn weights(model: &str) -> WeightsKey {
    WeightsKey {
        model: ModelName::try_from(model).unwrap(),
        adapter: None,
        version: VersionName::try_from("v1").unwrap(),
    }
}

/// Returns the options of an engine with `m1` ready and memory for two models.
pub fn options() -> EngineOptions {
    EngineOptions {
        memory_mib: 2_048,
        preloaded: vec![weights("m1")],
        ..EngineOptions::named(endpoint())
    }
}

pub fn core(options: EngineOptions) -> EngineCore {
    EngineCore::new(options, WeightStore::shared(WeightsOptions::default()))
}

pub fn engine_request(attempt: u128) -> EngineRequest {
    EngineRequest {
        attempt: AttemptId(attempt),
        request: RequestId(attempt),
        key: None,
        target: "m1".to_owned(),
        prompt_hash: 7,
        prompt_tokens: 100,
        prefix: [].into_iter().collect(),
        max_tokens: 4,
        priority: 0,
        resume_after: 0,
    }
}

pub fn order(epoch: u64, sequence: u64, action: OrderAction) -> EngineOrder {
    let number = OrderNumber {
        epoch: Epoch(epoch),
        sequence,
    };
    EngineOrder { number, action }
}

pub fn load(epoch: u64, sequence: u64, model: &str) -> EngineOrder {
    let weights = weights(model);
    order(epoch, sequence, OrderAction::Load { weights })
}

pub fn unload(epoch: u64, sequence: u64, model: &str) -> EngineOrder {
    let weights = weights(model);
    order(epoch, sequence, OrderAction::Unload { weights })
}

/// Returns a call for a streamed completion by `m1`.
pub fn completion(attempt: u128, prompt: &str, tokens: u32) -> EndpointCall {
    let body =
        format!(r#"{{"model":"m1","prompt":"{prompt}","max_tokens":{tokens},"stream":true}}"#);
    call(attempt, "/v1/completions", body)
}

pub fn call(attempt: u128, path: &str, body: String) -> EndpointCall {
    let mut headers = HeaderMap::new();
    headers.insert("idempotency-key", HeaderValue::from_static("key-1"));
    EndpointCall {
        attempt: AttemptId(attempt),
        method: Method::POST,
        path: path.to_owned(),
        headers,
        body: Bytes::from(body),
        priority: 0,
        resume_after: 0,
    }
}

/// Returns the body as text, and the error that interrupted it.
pub async fn read_body(mut answer: EndpointAnswer) -> (String, Option<CallError>) {
    let mut text = String::new();
    loop {
        match answer.body.try_next().await {
            Ok(Some(piece)) => text += &String::from_utf8_lossy(&piece),
            Ok(None) => return (text, None),
            Err(error) => return (text, Some(error)),
        }
    }
}

/// Returns the concatenated tokens of a streamed answer.
pub fn streamed_text(events: &str) -> String {
    events
        .split("\"text\":\"")
        .skip(1)
        .filter_map(|event| event.split('"').next())
        .collect()
}
