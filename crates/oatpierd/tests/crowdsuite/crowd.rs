//! Callers that send a request's head and body, and keep their connections open.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// How long a caller waits for a process that doesn't read. The process counts as hanging only if an ordinary request
/// isn't answered either.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between the connections of two callers. A gateway closes connections unread while it is late in serving others.
const CONNECT_INTERVAL: Duration = Duration::from_millis(4);

/// How the callers of a crowd send their bodies.
#[derive(Debug, Clone, Copy)]
pub enum BodyForm {
    /// In chunks of this many bytes.
    Chunks(usize),
    /// With a length, in writes of this many bytes.
    Pieces(usize),
}

/// What a crowd sends.
#[derive(Debug, Clone)]
pub struct CrowdPlan {
    /// The number of callers.
    pub callers: usize,
    /// The forms of the callers' bodies, in turn.
    pub forms: [BodyForm; 2],
    /// The size of each body, in bytes.
    pub body_bytes: usize,
    /// The request line and the headers, without the framing of the body.
    pub head: &'static str,
    /// Of this many callers one completes its request.
    pub complete_interval: usize,
    /// What a caller sends after a complete request, in bytes.
    pub trailing_bytes: usize,
}

/// The open connections of a crowd.
#[derive(Debug)]
pub struct OpenCrowd {
    _connections: Vec<TcpStream>,
}

impl CrowdPlan {
    /// Creates a crowd of callers most of which hold back the end of their bodies.
    pub fn incomplete(
        callers: usize,
        forms: [BodyForm; 2],
        body_bytes: usize,
        head: &'static str,
    ) -> Self {
        Self {
            callers,
            forms,
            body_bytes,
            head,
            complete_interval: 6,
            trailing_bytes: 0,
        }
    }

    /// Sends all requests side by side, and returns when each caller has sent what it sends or can't send more.
    pub fn send(&self, target: SocketAddr) -> OpenCrowd {
        let callers: Vec<_> = (0..self.callers)
            .map(|number| {
                let call = self.call(number);
                thread::sleep(CONNECT_INTERVAL);
                thread::spawn(move || call.send(target))
            })
            .collect();
        let connections = callers
            .into_iter()
            .filter_map(|caller| caller.join().unwrap());
        OpenCrowd {
            _connections: connections.collect(),
        }
    }

    fn call(&self, number: usize) -> CrowdCall {
        CrowdCall {
            number,
            form: self.forms[number % self.forms.len()],
            body_bytes: self.body_bytes,
            head: self.head,
            is_complete: number.is_multiple_of(self.complete_interval),
            trailing_bytes: self.trailing_bytes,
        }
    }
}

struct CrowdCall {
    number: usize,
    form: BodyForm,
    body_bytes: usize,
    head: &'static str,
    is_complete: bool,
    trailing_bytes: usize,
}

impl CrowdCall {
    /// Returns the connection unless it was refused.
    fn send(&self, target: SocketAddr) -> Option<TcpStream> {
        let mut connection = TcpStream::connect(target).ok()?;
        connection.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
        connection.set_nodelay(true).unwrap();
        match self.write_to(&mut connection) {
            Ok(()) => {}
            Err(error) if is_refusal(error.kind()) => {}
            Err(error) => panic!("caller {} can't send: {error}", self.number),
        }
        Some(connection)
    }

    fn write_to(&self, connection: &mut TcpStream) -> std::io::Result<()> {
        let (framing, piece) = match self.form {
            BodyForm::Chunks(size) => ("transfer-encoding: chunked".to_owned(), size),
            BodyForm::Pieces(size) => (format!("content-length: {}", self.body_bytes), size),
        };
        let head = self.head.replace("NUMBER", &format!("{:08x}", self.number));
        connection.write_all(format!("{head}{framing}\r\n\r\n").as_bytes())?;
        // An incomplete body lacks its last byte, or the mark of its end.
        let is_chunked = matches!(self.form, BodyForm::Chunks(_));
        let missing = usize::from(!self.is_complete && !is_chunked);
        let mut left = self.body_bytes - missing;
        let mut output = Vec::new();
        while left > 0 {
            let size = piece.min(left);
            if is_chunked {
                output.extend_from_slice(format!("{size:x}\r\n").as_bytes());
            }
            output.resize(output.len() + size, b'x');
            if is_chunked {
                output.extend_from_slice(b"\r\n");
            }
            left -= size;
            if output.len() >= MIN_WRITE_BYTES || !is_chunked {
                connection.write_all(&output)?;
                output.clear();
            }
        }
        if is_chunked && self.is_complete {
            output.extend_from_slice(b"0\r\n\r\n");
        }
        if self.is_complete {
            output.resize(output.len() + self.trailing_bytes, b'x');
        }
        connection.write_all(&output)
    }
}

/// Chunks are written together up to this size, in bytes.
const MIN_WRITE_BYTES: usize = 16 << 10;

fn is_refusal(kind: ErrorKind) -> bool {
    // A write timeout is reported as either of the last two.
    matches!(
        kind,
        ErrorKind::BrokenPipe
            | ErrorKind::ConnectionReset
            | ErrorKind::WouldBlock
            | ErrorKind::TimedOut
    )
}
