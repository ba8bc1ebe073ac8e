//! A caller: sends requests through the entry, and judges what comes back.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use oatpier_standin::answer::answer_text;
use oatpier_wire::client::{ClientLimits, HttpClient};
use serde_json::{Value, json};

type AnyError = Box<dyn Error>;

/// How long one answer may take.
const ANSWER_WAIT: Duration = Duration::from_secs(10);
/// The largest answer, in bytes.
const ANSWER_BYTES: usize = 1 << 20;
/// Tokens of each answer.
const TOKENS: u32 = 12;
/// How long to wait between two looks at something that has to come about.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// What came back of one call.
#[derive(Debug)]
pub struct CallReport {
    /// What was called.
    pub name: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// Whether the request ran: the entry's verdict, or `ran` with a whole answer.
    pub verdict: String,
    /// The request's number; that of its trace, too.
    pub request: String,
    /// The answer in short.
    pub content: String,
    /// What is not as it has to be.
    pub fault: Option<String>,
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
            fault: None,
        }
    }

    fn judged(mut self, is_good: bool, wanted: &str) -> Self {
        if !is_good {
            self.fault = Some(format!("expected {wanted}"));
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
    /// A caller of the entry at this address.
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
            tokio::time::sleep(LOOK_PERIOD).await;
        }
    }

    /// A chat completion whose answer is a stream.
    pub async fn streamed_chat(&self) -> Result<CallReport, AnyError> {
        let prompt = "Arrange twelve tables for a wedding.";
        let answer = self.chat(prompt, true).await?;
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        let content = stream_content(&text);
        let is_done = text.ends_with("data: [DONE]\n\n");
        let is_whole = is_done && content == answer_text(prompt, TOKENS);
        let report = CallReport::new("streamed chat completion", &answer, content);
        Ok(report.judged(is_whole, "the whole answer to its own prompt, up to [DONE]"))
    }

    /// A chat completion whose answer comes in one piece.
    pub async fn whole_chat(&self) -> Result<CallReport, AnyError> {
        let prompt = "Seat the parents near the dance floor.";
        let answer = self.chat(prompt, false).await?;
        let body: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
        let content = &body["choices"][0]["message"]["content"];
        let content = content.as_str().unwrap_or_default().to_owned();
        let is_whole = content == answer_text(prompt, TOKENS);
        let report = CallReport::new("whole chat completion", &answer, content);
        Ok(report.judged(is_whole, "the whole answer to its own prompt"))
    }

    /// A call to the plain service.
    pub async fn service_call(&self) -> Result<CallReport, AnyError> {
        let request = Request::get("/services/plan-api/plans/7").body(Bytes::new())?;
        let answer = self.fetch(self.entry, request).await?;
        let content = service_content(&answer);
        let is_good = content == "GET /plans/7";
        let report = CallReport::new("service call", &answer, content);
        Ok(report.judged(is_good, "the service's answer to GET /plans/7"))
    }

    /// A call that may run only once. An answer that says "not run, come back" is taken at its
    /// word.
    pub async fn first_submission(&self) -> Result<CallReport, AnyError> {
        let deadline = tokio::time::Instant::now() + ANSWER_WAIT;
        let answer = loop {
            let answer = self.submit().await?;
            let is_busy = answer.status() == http::StatusCode::SERVICE_UNAVAILABLE;
            if !is_busy || tokio::time::Instant::now() > deadline {
                break answer;
            }
            tokio::time::sleep(LOOK_PERIOD).await;
        };
        let content = service_content(&answer);
        let is_good = content == "POST /plans/7/apply";
        let report = CallReport::new("at-most-once call", &answer, content);
        Ok(report.judged(is_good, "the service's answer to POST /plans/7/apply"))
    }

    /// The same call again, with the same key: it is told that it ran, and does not run again.
    pub async fn second_submission(&self) -> Result<CallReport, AnyError> {
        let answer = self.submit().await?;
        let is_refused = answer.status() == http::StatusCode::CONFLICT;
        let body: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
        let kind = body["error"]["type"].as_str().unwrap_or_default();
        let report = CallReport::new("the same call again", &answer, kind.to_owned());
        let is_told = is_refused && report.verdict != "not-run";
        Ok(report.judged(is_told, "409 and that it ran"))
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
            .fetch(address, request, ANSWER_WAIT, ANSWER_BYTES);
        Ok(fetching.await?)
    }
}

/// The text of a streamed chat completion.
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

/// Which call the service says that it acted on.
fn service_content(answer: &Response<Bytes>) -> String {
    let call: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    let field = |name: &str| call[name].as_str().unwrap_or("?").to_owned();
    format!("{} {}", field("method"), field("path"))
}
