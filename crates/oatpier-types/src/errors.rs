//! Errors as log lines show them.

use std::error::Error;

/// An error with its causes, in one line.
#[must_use]
pub fn error_chain(error: &dyn Error) -> String {
    let causes = std::iter::successors(Some(error), |&cause| cause.source());
    let texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}
