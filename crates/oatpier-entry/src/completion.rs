//! The body of a completion request, as far as the decisions need it.

use oatpier_types::prefix::BYTES_PER_TOKEN;
use oatpier_types::request::TokenDemand;
use serde::Deserialize;

/// The output that a request is expected to have if it names no bound.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The fields of a completion request that matter here; the engine gets the whole body.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct CompletionBody {
    /// The model or adapter.
    pub model: String,
    /// Whether the answer is to be a stream.
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    prompt: Option<TextContent>,
}

#[derive(Debug, Clone)]
#[derive(Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: Option<TextContent>,
}

#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(untagged)]
enum TextContent {
    Whole(String),
    Parts(Vec<TextPart>),
    Other(serde_json::Value),
}

#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(untagged)]
enum TextPart {
    Plain(String),
    Typed {
        #[serde(default)]
        text: String,
    },
}

impl TextContent {
    fn append_to(&self, text: &mut String) {
        match self {
            Self::Whole(whole) => text.push_str(whole),
            Self::Parts(parts) => parts.iter().for_each(|part| match part {
                TextPart::Plain(piece) | TextPart::Typed { text: piece } => text.push_str(piece),
            }),
            Self::Other(value) => text.push_str(&value.to_string()),
        }
    }
}

impl CompletionBody {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn read(body: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(body).map_err(|error| error.to_string())
    }

    /// The text that the model reads, for estimates and prefixes: the contents of the messages,
    /// one a line, or the prompt.
    #[must_use]
    pub fn prompt_text(&self) -> String {
        let mut text = String::new();
        let contents = self.messages.iter().map(|message| &message.content);
        for (place, content) in contents.chain([&self.prompt]).flatten().enumerate() {
            if place > 0 {
                text.push('\n');
            }
            content.append_to(&mut text);
        }
        text
    }

    /// The request's size.
    #[must_use]
    pub fn demand(&self, prompt: &str) -> TokenDemand {
        let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
        TokenDemand {
            prompt: u32::try_from(tokens).unwrap_or(u32::MAX),
            output: self
                .max_completion_tokens
                .or(self.max_tokens)
                .unwrap_or(DEFAULT_OUTPUT_TOKENS),
        }
    }
}
