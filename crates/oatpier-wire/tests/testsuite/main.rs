//! Tests of the HTTP client, the server and the messages, over loopback sockets.

mod attempt_codec;
mod attempt_responses;
mod body_memory;
mod client_endless;
mod client_verdicts;
mod crowds;
mod disconnects;
mod event_splitter;
mod many_connections;
mod peer_calls;
mod server_limits;
mod server_shutdown;
mod support;
