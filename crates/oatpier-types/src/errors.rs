//! Formatting of errors for log lines.

use std::error::Error;

/// Formats an error and its chain of sources on one line.
#[must_use]
pub fn error_chain(error: &dyn Error) -> String {
    let causes = std::iter::successors(Some(error), |&cause| cause.source());
    let texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}
