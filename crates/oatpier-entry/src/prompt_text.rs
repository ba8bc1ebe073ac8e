//! The text of a completion request's prompt, collected while the body is parsed.
//!
//! A body may have a value in every two bytes, for example a list of tokens. Values that are kept until the end of the
//! body would take many times its size.

use std::borrow::Cow;
use std::fmt::{self, Formatter, Write};

use serde::de::{DeserializeSeed, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// The field of a message with its content.
const CONTENT_FIELD: &str = "content";

/// The field of a part with its text.
const TEXT_FIELD: &str = "text";

/// The contents of a list of messages, or of a prompt, one per line.
#[derive(Debug, Clone, Default)]
pub struct ContentText {
    lines: Option<String>,
}

impl ContentText {
    /// Returns the lines; `None` if there is no content.
    #[must_use]
    pub fn lines(&self) -> Option<&str> {
        self.lines.as_deref()
    }

    fn begin_line(&mut self) -> &mut String {
        match &mut self.lines {
            Some(text) => text.push('\n'),
            none => *none = Some(String::new()),
        }
        self.lines.get_or_insert_default()
    }
}

/// Parses a prompt: a string, a list of strings, of tokens or of lists of tokens, or null.
///
/// # Errors
///
/// Returns the parser's error.
pub fn parse_prompt<'de, D: Deserializer<'de>>(input: D) -> Result<ContentText, D::Error> {
    let mut text = ContentText::default();
    ContentSeed(&mut text).deserialize(input)?;
    Ok(text)
}

/// Parses a list of messages.
///
/// # Errors
///
/// Returns the parser's error.
pub fn parse_messages<'de, D: Deserializer<'de>>(input: D) -> Result<ContentText, D::Error> {
    let mut text = ContentText::default();
    input.deserialize_seq(MessagesVisitor(&mut text))?;
    Ok(text)
}

struct MessagesVisitor<'t>(&'t mut ContentText);

impl<'de> Visitor<'de> for MessagesVisitor<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut messages: A) -> Result<(), A::Error> {
        while messages.next_element_seed(MessageSeed(self.0))?.is_some() {}
        Ok(())
    }
}

struct MessageSeed<'t>(&'t mut ContentText);

impl<'de> DeserializeSeed<'de> for MessageSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, input: D) -> Result<(), D::Error> {
        input.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for MessageSeed<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("a message")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        while let Some(FieldName(name)) = fields.next_key()? {
            if name == CONTENT_FIELD {
                fields.next_value_seed(ContentSeed(self.0))?;
            } else {
                fields.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
}

/// Parses a content or prompt that may be null, into a line of its own.
struct ContentSeed<'t>(&'t mut ContentText);

impl<'de> DeserializeSeed<'de> for ContentSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, input: D) -> Result<(), D::Error> {
        input.deserialize_option(self)
    }
}

impl<'de> Visitor<'de> for ContentSeed<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("a content or null")
    }

    fn visit_none<E: Error>(self) -> Result<(), E> {
        Ok(())
    }

    fn visit_some<D: Deserializer<'de>>(self, input: D) -> Result<(), D::Error> {
        TextSeed(self.0.begin_line()).deserialize(input)
    }
}

/// Appends the text of a value: strings, the text of parts, and tokens, each with a comma after it.
struct TextSeed<'t>(&'t mut String);

impl TextSeed<'_> {
    fn append_token<E: Error>(self, token: impl fmt::Display) -> Result<(), E> {
        write!(self.0, "{token},").map_err(E::custom)
    }
}

impl<'de> DeserializeSeed<'de> for TextSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, input: D) -> Result<(), D::Error> {
        input.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for TextSeed<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("text, parts or tokens")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<(), E> {
        self.0.push_str(text);
        Ok(())
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        Ok(())
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<(), E> {
        self.append_token(value)
    }

    fn visit_u64<E: Error>(self, token: u64) -> Result<(), E> {
        self.append_token(token)
    }

    fn visit_i64<E: Error>(self, token: i64) -> Result<(), E> {
        self.append_token(token)
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<(), E> {
        // Without an exponent, a number of a few bytes may have hundreds of digits.
        self.append_token(format_args!("{number:e}"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        while items.next_element_seed(TextSeed(self.0))?.is_some() {}
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        while let Some(FieldName(name)) = fields.next_key()? {
            if name == TEXT_FIELD {
                fields.next_value_seed(TextSeed(self.0))?;
            } else {
                fields.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
}

/// The name of a field, borrowed from the body unless it has escapes.
#[derive(Deserialize)]
struct FieldName<'n>(#[serde(borrow)] Cow<'n, str>);
