//! JSON Lines logs on one of the standard streams.
//!
//! Entries and agents export spans to standard output. Their logs go to standard error, so that the two can be
//! separated without parsing. Gateways and sidecars write all lines to standard output.

use std::sync::Arc;

use oatpier_types::names::DaemonName;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};

/// Configures all logging of this process as JSON Lines on standard error, under the given name.
///
/// # Panics
///
/// Panics if the logger can't be built.
pub fn install_on_stderr(name: &DaemonName) {
    install_on(StdStream::Stderr, name);
}

/// Same as [`install_on_stderr`], on standard output.
///
/// # Panics
///
/// Panics if the logger can't be built.
pub fn install_on_stdout(name: &DaemonName) {
    install_on(StdStream::Stdout, name);
}

fn install_on(stream: StdStream, name: &DaemonName) {
    let sink = StdStreamSink::builder()
        .std_stream(stream)
        .formatter(JsonFormatter::new())
        .build_arc()
        .expect("the standard stream can be used");
    let logger = Logger::builder()
        .name(name.as_str().replace(['.', ':', '/'], "-"))
        .sink(sink)
        .build_arc()
        .expect("the logger's parts are complete");
    spdlog::set_default_logger(Arc::clone(&logger));
}
