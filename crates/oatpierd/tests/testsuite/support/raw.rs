//! A caller on a raw socket, to send slow or malformed HTTP.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Read timeout of a raw caller.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

pub struct RawCaller {
    pub stream: TcpStream,
}

impl RawCaller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Self { stream }
    }

    /// Writes the text, as far as the peer accepts it.
    pub fn write(&mut self, text: &str) {
        // The peer may answer and close the connection before it has read everything.
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Reads until the peer closes or resets the connection.
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

    /// Reads the first bytes that arrive.
    pub fn read_some(&mut self) -> String {
        let mut buffer = [0; 4096];
        let count = self.stream.read(&mut buffer).unwrap();
        String::from_utf8_lossy(&buffer[..count]).into_owned()
    }
}
