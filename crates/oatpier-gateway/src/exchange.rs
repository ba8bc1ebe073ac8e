//! Datagrams between gateways and sidecars.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use oatpier_serving::message::InnerMessage;
use tokio::net::UdpSocket;

use crate::metrics::ServingMetrics;

/// The largest datagram that is read: far above a pulse of an engine with many adapters, and a
/// report of demand for five hundred models.
const DATAGRAM_BYTES: usize = 32 << 10;

/// The directions of messages, as metrics name them.
const SENT: &str = "sent";
const RECEIVED: &str = "received";

/// Where messages go out. They may be lost on the way: whoever sends them repeats them.
pub trait MessageOutlet: fmt::Debug + Send + Sync {
    /// Sends a message, without waiting.
    fn send(&self, to: SocketAddr, message: &InnerMessage);
}

/// The socket on which a process hears gateways and sidecars.
#[derive(Debug)]
pub struct InnerSocket {
    socket: UdpSocket,
    metrics: ServingMetrics,
    /// Whether a datagram that can't be read was logged: whoever sends one goes on sending.
    has_logged: AtomicBool,
}

impl InnerSocket {
    /// Takes a bound socket over.
    ///
    /// # Errors
    ///
    /// The runtime does not take the socket.
    pub fn new(socket: std::net::UdpSocket, metrics: ServingMetrics) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            metrics,
            has_logged: AtomicBool::new(false),
        })
    }

    /// The next message that can be read. What can't be is of another version or of a stranger; it is skipped and
    /// counted, and the first one is logged.
    pub async fn receive(&self) -> (SocketAddr, InnerMessage) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let Ok((length, from)) = received else {
                // An earlier datagram was turned away by its receiver. This one may be fine.
                continue;
            };
            match rmp_serde::from_slice::<InnerMessage>(&buffer[..length]) {
                Ok(message) => {
                    self.metrics.exchanged(message.kind(), RECEIVED, length);
                    return (from, message);
                }
                Err(error) => self.skip(from, length, &error),
            }
        }
    }
}

impl InnerSocket {
    fn skip(&self, from: SocketAddr, length: usize, error: &dyn std::error::Error) {
        self.metrics.exchanged("unreadable", RECEIVED, length);
        if !self.has_logged.swap(true, Ordering::Relaxed) {
            let error = error.to_string();
            spdlog::warn!("a datagram can't be read, and further ones are only counted", kv: { from:, length:, error: });
        }
    }
}

impl MessageOutlet for InnerSocket {
    fn send(&self, to: SocketAddr, message: &InnerMessage) {
        let bytes = match rmp_serde::to_vec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                spdlog::error!("a message can't be encoded", kv: { error: = error.to_string() });
                return;
            }
        };
        self.metrics.exchanged(message.kind(), SENT, bytes.len());
        // A full buffer or an unreachable receiver: the message is repeated anyway.
        let _ = self.socket.try_send_to(&bytes, to);
    }
}
