//! Percent-encoding of texts that become part of a request's path or query.

/// Encodes a text, such as a key, so that it stands for itself in a path or as a value in a query: all bytes but unreserved
/// characters, `/` and `:` are percent-encoded.
#[must_use]
pub fn encode(text: &str) -> String {
    text.bytes().fold(String::new(), |mut encoded, byte| {
        if byte.is_ascii_alphanumeric() || b"-._~/:".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push('%');
            encoded.push(hex_digit(byte >> 4));
            encoded.push(hex_digit(byte & 0xf));
        }
        encoded
    })
}

fn hex_digit(value: u8) -> char {
    char::from_digit(u32::from(value), 16).map_or('0', |digit| digit.to_ascii_uppercase())
}
