//! JSON-line logs on one of the standard streams.
//!
//! Entries and agents export spans on the standard output, so their log lines go to the standard
//! error, and a reader splits the two without parsing. Gateways and sidecars write all their lines to
//! the standard output.

use std::sync::Arc;

use oatpier_types::names::DaemonName;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};

/// Makes JSON lines on the standard error the form of all logs of this process, under its name.
///
/// # Panics
///
/// Panics if the stream can't be used.
pub fn install(name: &DaemonName) {
    install_on(StdStream::Stderr, name);
}

/// As [`install`], on the standard output.
///
/// # Panics
///
/// Panics if the stream can't be used.
pub fn install_on_output(name: &DaemonName) {
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
