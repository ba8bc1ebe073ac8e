//! A caller that sends requests through the entry and checks the answers.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use oatpier_standin::answer::answer_text;
use oatpier_wire::client::{ClientLimits, HttpClient};
use serde_json::{Value, json};

type AnyError = Box<dyn Error>;

/// Timeout of one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Tokens of each answer.
const TOKENS: u32 = 12;
/// Time between two polls of an awaited condition.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// The result of one call.
#[derive(Debug)]
pub struct CallReport {
    /// The name of the call.
    pub name: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// Whether the request ran: the entry's verdict, or `ran` for a successful answer.
    pub verdict: String,
    /// The request id, which is also the trace id.
    pub request: String,
    /// The answer, shortened.
    pub content: String,
    /// What is wrong with the answer, if anything.
    pub problem: Option<String>,
}

impl CallReport {
    fn new(name: &'static str, answer: &Response<Bytes>, content: String) -> Self {
        let header = |name: &str| {
            let value = answer.headers().get(name);
            value.and_then(|value| value.to_str().ok())
        };
        let whole = if answer.status().is_success() {
            "ran"
        } else {
            "unknown"
        };
        Self {
            name,
            status: answer.status().as_u16(),
            verdict: header("oatpier-verdict").unwrap_or(whole).to_owned(),
            request: header("oatpier-request-id").unwrap_or("none").to_owned(),
            content,
            problem: None,
        }
    }

    fn checked(mut self, is_good: bool, wanted: &str) -> Self {
        if !is_good {
            self.problem = Some(format!("expected {wanted}"));
        }
        self
    }
}

/// A caller of one entry.
pub struct Caller {
    client: HttpClient,
    entry: SocketAddr,
}

impl Caller {
    /// Creates a caller of the entry at this address.
    pub fn new(entry: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(ClientLimits::default()),
            entry,
        }
    }

    /// Waits until the entry knows all endpoints and their weights.
    pub async fn wait_until_known(
        &self,
        observe: SocketAddr,
        endpoints: usize,
        replicas: usize,
    ) -> Result<(), AnyError> {
        let wanted = [
            format!("oatpier_endpoints_known {endpoints}"),
            format!("oatpier_replicas_known {replicas}"),
        ];
        loop {
            let request = Request::get("/metrics").body(Bytes::new())?;
            let answer = self.fetch(observe, request).await?;
            let text = String::from_utf8_lossy(answer.body()).into_owned();
            if wanted
                .iter()
                .all(|wanted| text.lines().any(|line| line == wanted))
            {
                return Ok(());
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Sends a chat completion with a streamed answer.
    pub async fn streamed_chat(&self) -> Result<CallReport, AnyError> {
        let prompt = "Arrange twelve tables for a wedding.";
        let answer = self.chat(prompt, true).await?;
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        let content = stream_content(&text);
        let is_done = text.ends_with("data: [DONE]\n\n");
        let is_whole = is_done && content == answer_text(prompt, TOKENS);
        let report = CallReport::new("streamed chat completion", &answer, content);
        Ok(report.checked(
            is_whole,
            "the complete answer to its own prompt, up to [DONE]",
        ))
    }

    /// Sends a chat completion with an answer in one piece.
    pub async fn whole_chat(&self) -> Result<CallReport, AnyError> {
        let prompt = "Seat the parents near the dance floor.";
        let answer = self.chat(prompt, false).await?;
        let body: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
        let content = &body["choices"][0]["message"]["content"];
        let content = content.as_str().unwrap_or_default().to_owned();
        let is_whole = content == answer_text(prompt, TOKENS);
        let report = CallReport::new("whole chat completion", &answer, content);
        Ok(report.checked(is_whole, "the complete answer to its own prompt"))
    }

    /// Sends a call to the plain service.
    pub async fn service_call(&self) -> Result<CallReport, AnyError> {
        let request = Request::get("/services/plan-api/plans/7").body(Bytes::new())?;
        let answer = self.fetch(self.entry, request).await?;
        let content = service_content(&answer);
        let is_good = content == "GET /plans/7";
        let report = CallReport::new("service call", &answer, content);
        Ok(report.checked(is_good, "the service's answer to GET /plans/7"))
    }

    /// Sends a call that may run only once. Retries on 503, which means that the call has not run.
    pub async fn first_submission(&self) -> Result<CallReport, AnyError> {
        let deadline = tokio::time::Instant::now() + ANSWER_TIMEOUT;
        let answer = loop {
            let answer = self.submit().await?;
            let is_busy = answer.status() == http::StatusCode::SERVICE_UNAVAILABLE;
            if !is_busy || tokio::time::Instant::now() > deadline {
                break answer;
            }
            tokio::time::sleep(POLL_PERIOD).await;
        };
        let content = service_content(&answer);
        let is_good = content == "POST /plans/7/apply";
        let report = CallReport::new("at-most-once call", &answer, content);
        Ok(report.checked(is_good, "the service's answer to POST /plans/7/apply"))
    }

    /// Sends the same call again with the same key. It must be refused as already used, and must not run again.
    pub async fn second_submission(&self) -> Result<CallReport, AnyError> {
        let answer = self.submit().await?;
        let is_refused = answer.status() == http::StatusCode::CONFLICT;
        let body: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
        let kind = body["error"]["type"].as_str().unwrap_or_default();
        let report = CallReport::new("the same call again", &answer, kind.to_owned());
        let is_rejected_as_used = is_refused && report.verdict != "not-run";
        Ok(report.checked(
            is_rejected_as_used,
            "status 409 and a verdict other than not-run",
        ))
    }

    async fn submit(&self) -> Result<Response<Bytes>, AnyError> {
        let request = Request::post("/services/plan-api/plans/7/apply")
            .header("idempotency-key", "quickstart-plan-7")
            .body(Bytes::from_static(b"{}"))?;
        self.fetch(self.entry, request).await
    }

    async fn chat(&self, prompt: &str, stream: bool) -> Result<Response<Bytes>, AnyError> {
        let body = json!({
            "model": "tables",
            "stream": stream,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": prompt}],
        });
        let request = Request::post("/v1/chat/completions")
            .header("content-type", "application/json")
            .body(Bytes::from(body.to_string()))?;
        self.fetch(self.entry, request).await
    }

    async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, AnyError> {
        let fetching = self
            .client
            .fetch(address, request, ANSWER_TIMEOUT, MAX_ANSWER_BYTES);
        Ok(fetching.await?)
    }
}

/// Returns the text of a streamed chat completion.
fn stream_content(text: &str) -> String {
    text.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|data| {
            let content = &data["choices"][0]["delta"]["content"];
            content.as_str().map(str::to_owned)
        })
        .collect()
}

/// Returns the method and path of the call that the service reports.
fn service_content(answer: &Response<Bytes>) -> String {
    let call: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    let field = |name: &str| call[name].as_str().unwrap_or("?").to_owned();
    format!("{} {}", field("method"), field("path"))
}
