//! An HTTP caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use oatpier_standin::answer::answer_text;
use oatpier_wire::client::{ClientLimits, HttpClient};
use serde_json::{Value, json};

/// An answer as its caller received it.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The body or event stream as text, up to its end or the point where it was cut off.
    pub text: String,
    /// Whether the body is complete according to the HTTP framing.
    pub is_complete: bool,
}

/// How a streamed answer ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEnd {
    /// The complete answer to this prompt.
    Whole,
    /// An explicit error, possibly after the start of the answer.
    Error(CallerError),
    /// The stream broke off without an error.
    Cut,
    /// The text is neither the answer to this prompt nor the start of it.
    Wrong(String),
}

/// The content of an error answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerError {
    pub kind: String,
    pub verdict: String,
}

fn parse_error(body: &Value) -> CallerError {
    let field = |name: &str| body["error"][name].as_str().unwrap_or("none").to_owned();
    CallerError {
        kind: field("type"),
        verdict: field("verdict"),
    }
}

pub fn client() -> HttpClient {
    HttpClient::new(ClientLimits::default())
}

pub async fn get(client: &HttpClient, address: SocketAddr, path: &str) -> Response<Bytes> {
    send(client, address, Method::GET, path, Bytes::new()).await
}

pub async fn send(
    client: &HttpClient,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> Response<Bytes> {
    let request = Request::builder().method(method).uri(path);
    let request = request.body(body.into()).unwrap();
    let wait = std::time::Duration::from_secs(20);
    client.fetch(address, request, wait, 1 << 24).await.unwrap()
}

/// More tokens than an engine generates within the time limit of a test.
const ENDLESS: u32 = 10_000_000;

/// Returns a raw request for a stream that doesn't end within the time limit of a test.
pub fn endless_chat() -> String {
    let body = format!(
        "{{\"model\": \"tables\", \"stream\": true, \"max_tokens\": {ENDLESS}, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"endless\"}}]}}"
    );
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Sends a chat completion and reads its whole answer; `None` if no answer began.
pub async fn chat(
    client: &HttpClient,
    address: SocketAddr,
    model: &str,
    prompt: &str,
    tokens: u32,
) -> Option<CallerAnswer> {
    let body = json!({
        "model": model,
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    });
    let request = Request::post("/v1/chat/completions").header("content-type", "application/json");
    let request = request.body(Bytes::from(body.to_string())).unwrap();
    read(client, address, request).await
}

/// Sends a request and reads its whole answer; `None` if no answer began.
pub async fn read(
    client: &HttpClient,
    address: SocketAddr,
    request: Request<Bytes>,
) -> Option<CallerAnswer> {
    let response = client.send(address, request).await.ok()?;
    let (parts, mut body) = response.into_parts();
    let mut text = Vec::new();
    let is_complete = loop {
        match body.frame().await {
            Some(Ok(frame)) => text.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    Some(CallerAnswer {
        status: parts.status,
        headers: parts.headers,
        text: String::from_utf8(text).unwrap(),
        is_complete,
    })
}

impl CallerAnswer {
    /// Classifies a streamed answer to `prompt`.
    pub fn stream_end(&self, prompt: &str, tokens: u32) -> StreamEnd {
        if self.status != StatusCode::OK {
            let body: Value = serde_json::from_str(&self.text).unwrap_or_default();
            return StreamEnd::Error(parse_error(&body));
        }
        let wanted = answer_text(prompt, tokens);
        let mut text = String::new();
        let mut done = false;
        let mut is_error = false;
        for line in self.text.lines() {
            is_error |= line == "event: error";
            match line.strip_prefix("data: ") {
                Some("[DONE]") => done = true,
                Some(data) => {
                    let Ok(data) = serde_json::from_str::<Value>(data) else {
                        return StreamEnd::Wrong(line.to_owned());
                    };
                    if is_error {
                        return StreamEnd::Error(parse_error(&data));
                    }
                    let choice = &data["choices"][0];
                    text += choice["delta"]["content"].as_str().unwrap_or_default();
                }
                None => {}
            }
        }
        match (done, self.is_complete) {
            (true, true) if text == wanted => StreamEnd::Whole,
            // An answer whose HTTP framing is incomplete was cut off, even if its last event arrived.
            (_, false) | (false, _) if wanted.starts_with(&text) => StreamEnd::Cut,
            _ => StreamEnd::Wrong(text),
        }
    }
}
