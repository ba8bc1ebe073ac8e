//! The subset of the OpenAI-compatible completion API that tests need.

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::{Deserialize, Serialize};

use super::{EngineRequest, OutputKind, RunStream};
use oatpier_types::prefix::prefix_chain;

use crate::answer::{prompt_hash, prompt_tokens, token_text};
use crate::serve::{
    Answer, AnswerBody, BufferedRequest, CallerIds, DropConnection, json, with_body,
};

/// Tokens of an answer whose request sets no maximum.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Body of a request for a completion. Other members are ignored.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct CompletionBody {
    model: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    prompt: String,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

/// Data of a request that is needed to format its answer.
#[derive(Debug)]
pub(super) struct AnswerFormat {
    id: String,
    model: String,
    chat: bool,
    prompt_hash: u64,
    max_tokens: u32,
    pub(super) stream: bool,
}

/// An answer, or one event of a streamed one.
#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [CompletionChoice; 1],
}

#[derive(Default)]
#[derive(Serialize)]
struct CompletionChoice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatText>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatText>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct ChatText {
    role: &'static str,
    content: String,
}

impl CompletionBody {
    /// Returns the prompt: the text, or the contents of the messages, one per line.
    fn prompt(&self, chat: bool) -> String {
        if !chat {
            return self.prompt.clone();
        }
        let contents: Vec<&str> = self
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect();
        contents.join("\n")
    }

    pub(super) fn into_request(
        self,
        request: &BufferedRequest,
        chat: bool,
    ) -> (EngineRequest, AnswerFormat) {
        let ids = CallerIds::of(request);
        let prompt = self.prompt(chat);
        let max_tokens = self.max_tokens.or(self.max_completion_tokens);
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let number = |name| request.header(name).and_then(|value| value.parse().ok());
        let format = AnswerFormat {
            id: ids.attempt.to_string(),
            model: self.model.clone(),
            chat,
            prompt_hash: prompt_hash(&prompt),
            max_tokens,
            stream: self.stream,
        };
        let engine_request = EngineRequest {
            attempt: ids.attempt,
            request: ids.request,
            key: request.header("idempotency-key").map(str::to_owned),
            prompt_hash: format.prompt_hash,
            prompt_tokens: prompt_tokens(&prompt),
            prefix: prefix_chain(&self.model, &prompt),
            target: self.model,
            max_tokens,
            priority: number("x-priority").unwrap_or(0),
            resume_after: number("x-resume-after").unwrap_or(0),
        };
        (engine_request, format)
    }
}

impl AnswerFormat {
    fn completion(&self, object: &'static str, choice: CompletionChoice) -> Completion<'_> {
        Completion {
            id: &self.id,
            object,
            model: &self.model,
            choices: [choice],
        }
    }

    /// Returns one token as a server-sent event. The event of the last token has a finish reason.
    fn token_event(&self, index: u32) -> String {
        let text = token_text(self.prompt_hash, index);
        let mut choice = self.choice(text, true);
        choice.finish_reason = (index + 1 == self.max_tokens).then_some("length");
        let object = if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let json = serde_json::to_string(&self.completion(object, choice));
        format!("data: {}\n\n", json.unwrap_or_default())
    }

    fn choice(&self, text: String, streamed: bool) -> CompletionChoice {
        let mut choice = CompletionChoice::default();
        if !self.chat {
            choice.text = Some(text);
            return choice;
        }
        let chat = ChatText {
            role: "assistant",
            content: text,
        };
        if streamed {
            choice.delta = Some(chat);
        } else {
            choice.message = Some(chat);
        }
        choice
    }
}

/// Creates an answer of server-sent events, with one token per event.
pub(super) fn streamed_answer(format: AnswerFormat, run: RunStream) -> Response<AnswerBody> {
    let frames = stream::unfold(Some((format, run)), |state| async move {
        let (format, mut run) = state?;
        match run.next().await {
            Some(OutputKind::Token(index)) => {
                let event = format.token_event(index);
                Some((Ok(data(event)), Some((format, run))))
            }
            Some(OutputKind::Done) => Some((Ok(data("data: [DONE]\n\n")), None)),
            Some(OutputKind::Interrupted) | None => {
                // When a body fails, the server discards data that it has not yet flushed. A pending
                // body makes it flush, so that the tokens before the interruption arrive.
                tokio::task::yield_now().await;
                Some((Err(DropConnection), None))
            }
        }
    });
    let body = StreamBody::new(frames.boxed()).boxed_unsync();
    with_body(StatusCode::OK, "text/event-stream", body)
}

fn data(text: impl Into<Bytes>) -> Frame<Bytes> {
    Frame::data(text.into())
}

/// Creates an answer that is not streamed.
pub(super) async fn full_answer(format: AnswerFormat, mut run: RunStream) -> Answer {
    let mut text = String::new();
    loop {
        match run.next().await {
            Some(OutputKind::Token(index)) => text += &token_text(format.prompt_hash, index),
            Some(OutputKind::Done) => break,
            Some(OutputKind::Interrupted) | None => return Err(DropConnection),
        }
    }
    let mut choice = format.choice(text, false);
    choice.finish_reason = Some("length");
    let object = if format.chat {
        "chat.completion"
    } else {
        "text_completion"
    };
    Ok(json(StatusCode::OK, &format.completion(object, choice)))
}
