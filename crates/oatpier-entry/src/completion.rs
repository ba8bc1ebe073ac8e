//! The fields of a completion request body that the policy needs.

use oatpier_types::prefix::BYTES_PER_TOKEN;
use oatpier_types::request::TokenDemand;
use serde::Deserialize;

/// Expected number of output tokens if the request sets no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The relevant fields of a completion request; the engine receives the complete body.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct CompletionBody {
    /// Name of the model or adapter.
    pub model: String,
    /// Whether the caller requests a streamed answer.
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
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Returns the parser's error message if the body is invalid.
    pub fn read(body: &[u8]) -> Result<Self, String> {
        serde_json::from_slice(body).map_err(|error| error.to_string())
    }

    /// Returns the prompt text for token estimates and prefix hashes: the contents of the messages,
    /// one per line, or the prompt.
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

    /// Returns the estimated size of the request in tokens.
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
