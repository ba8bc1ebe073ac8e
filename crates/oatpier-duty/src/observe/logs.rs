//! JSON-line logs on the standard error stream.
//!
//! Standard output carries the exported spans; a reader splits the two without parsing.

use std::sync::Arc;

use oatpier_types::names::DaemonName;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};

/// Makes JSON lines the form of all logs of this process, under its name.
///
/// # Panics
///
/// Panics if the standard error stream can't be used.
pub fn install(name: &DaemonName) {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build_arc()
        .expect("the standard error stream can be used");
    let logger = Logger::builder()
        .name(name.as_str().replace(['.', ':', '/'], "-"))
        .sink(sink)
        .build_arc()
        .expect("the logger's parts are complete");
    spdlog::set_default_logger(Arc::clone(&logger));
}
