//! Datagrams between gateways and sidecars.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use oatpier_serving::message::InnerMessage;
use tokio::net::UdpSocket;

use crate::metrics::ServingMetrics;

/// Maximum size of a received datagram. It is far above the status update of an engine with many adapters, and above a
/// report of demand for five hundred models.
const MAX_DATAGRAM_BYTES: usize = 32 << 10;

/// Directions of messages, as values of metric labels.
const SENT: &str = "sent";
const RECEIVED: &str = "received";

/// Sends messages. Messages may be lost, so senders repeat them.
pub trait MessageOutlet: fmt::Debug + Send + Sync {
    /// Sends a message without waiting.
    fn send(&self, to: SocketAddr, message: &InnerMessage);
}

/// UDP socket for the messages between gateways and sidecars.
#[derive(Debug)]
pub struct MessageSocket {
    socket: UdpSocket,
    metrics: ServingMetrics,
    /// Whether an invalid datagram has been logged. Only the first one is logged, since its sender usually continues
    /// to send such datagrams.
    has_logged: AtomicBool,
}

impl MessageSocket {
    /// Registers a bound socket with the runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime does not accept the socket.
    pub fn new(socket: std::net::UdpSocket, metrics: ServingMetrics) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            metrics,
            has_logged: AtomicBool::new(false),
        })
    }

    /// Receives the next valid message. An invalid datagram comes from another version or from an unrelated sender;
    /// it is skipped and counted, and the first one is logged.
    pub async fn receive(&self) -> (SocketAddr, InnerMessage) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let Ok((length, from)) = received else {
                // The error reports an earlier datagram that its receiver rejected. The next receive may succeed.
                continue;
            };
            match rmp_serde::from_slice::<InnerMessage>(&buffer[..length]) {
                Ok(message) => {
                    self.metrics.count_message(message.kind(), RECEIVED, length);
                    return (from, message);
                }
                Err(error) => self.count_unreadable(from, length, &error),
            }
        }
    }
}

impl MessageSocket {
    fn count_unreadable(&self, from: SocketAddr, length: usize, error: &dyn std::error::Error) {
        self.metrics.count_message("unreadable", RECEIVED, length);
        if !self.has_logged.swap(true, Ordering::Relaxed) {
            let error = error.to_string();
            spdlog::warn!("received an invalid datagram; further ones are only counted", kv: { from:, length:, error: });
        }
    }
}

impl MessageOutlet for MessageSocket {
    fn send(&self, to: SocketAddr, message: &InnerMessage) {
        let bytes = match rmp_serde::to_vec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                spdlog::error!("failed to encode a message", kv: { error: = error.to_string() });
                return;
            }
        };
        self.metrics
            .count_message(message.kind(), SENT, bytes.len());
        // The buffer is full or the receiver unreachable. The message is repeated anyway.
        let _ = self.socket.try_send_to(&bytes, to);
    }
}
