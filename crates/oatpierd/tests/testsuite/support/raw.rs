//! A caller that speaks HTTP badly: a bare socket.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a bare caller waits for anything.
const READ_WAIT: Duration = Duration::from_secs(20);

pub struct RawCaller {
    pub stream: TcpStream,
}

impl RawCaller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(READ_WAIT)).unwrap();
        Self { stream }
    }

    /// Writes as much as the other side takes.
    pub fn write(&mut self, text: &str) {
        // The other side may have answered and closed before it has read all.
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// What comes until the other side closes or resets the connection.
    pub fn read_to_close(&mut self) -> String {
        let mut text = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => text.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => break,
                Err(error) => panic!("the connection stays open: {error}"),
            }
        }
        String::from_utf8(text).unwrap()
    }

    /// The first bytes that come.
    pub fn read_some(&mut self) -> String {
        let mut buffer = [0; 4096];
        let count = self.stream.read(&mut buffer).unwrap();
        String::from_utf8_lossy(&buffer[..count]).into_owned()
    }
}
