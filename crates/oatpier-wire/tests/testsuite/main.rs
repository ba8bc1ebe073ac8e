//! Tests of the HTTP glue, over loopback sockets.

mod attempt_answers;
mod attempt_codec;
mod client_verdicts;
mod event_splitter;
mod peer_calls;
mod server_limits;
mod server_shutdown;
mod support;
