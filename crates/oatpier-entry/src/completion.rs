//! The fields of a completion request body that the policy needs.

use oatpier_types::prefix::BYTES_PER_TOKEN;
use oatpier_types::request::TokenDemand;
use serde::Deserialize;
use smallvec::SmallVec;

use crate::prompt_text::{ContentText, parse_messages, parse_prompt};

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
    #[serde(default, deserialize_with = "parse_messages")]
    messages: ContentText,
    #[serde(default, deserialize_with = "parse_prompt")]
    prompt: ContentText,
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
        let lines = [self.messages.lines(), self.prompt.lines()];
        let lines: SmallVec<[&str; 2]> = lines.into_iter().flatten().collect();
        lines.join("\n")
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
