//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or the head of a response: the start line and the headers with lower-case names.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn content_length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"))
    }
}

/// A request with its whole body.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub head: Head,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name)
    }

    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found
            .next()
            .map_or(String::new(), |(_, value)| decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads lines up to the empty one. Returns `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
    }
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default().to_owned();
    let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok(data)
}

/// Reads a body to its end; an error if it breaks off.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Head,
    mut each: impl FnMut(&[u8]),
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            each(&chunk);
            body.extend(chunk);
        }
    }
    let Some(length) = head.content_length() else {
        return Ok(body);
    };
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    each(&body);
    Ok(body)
}

/// Reads the next request of a connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(head) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = head.start.split(' ');
    let target = words.nth(1).unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let body = read_body(reader, &head, |_| {})?;
    Ok(Some(Request {
        head,
        path,
        query,
        body,
    }))
}

/// Handles a request on its connection. Returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(Request, &mut TcpStream) -> bool + Send + Sync>;

/// Serves an address, with a thread for each connection.
pub fn serve(address: SocketAddr, handler: Handler) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(())
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Ok(Some(request)) = read_request(&mut reader) {
        if !handler(request, &mut stream) {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Writes a whole response. Returns whether it was written.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut text = format!(
        "HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Begins a response that is sent in chunks.
pub fn begin_chunked(stream: &mut TcpStream, headers: &[(&str, &str)]) -> bool {
    let mut text = String::from("HTTP/1.1 200 Answer\r\nTransfer-Encoding: chunked\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    stream.write_all(text.as_bytes()).is_ok()
}

/// Writes a chunk; an empty one ends the body.
pub fn write_chunk(stream: &mut TcpStream, data: &str) -> bool {
    stream
        .write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())
        .is_ok()
}

/// The response that a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub head: Head,
    pub body: String,
    /// Whether the body is complete.
    pub is_whole: bool,
}

/// A connection of a client that is kept for several requests.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// How a call on a kept connection has ended.
#[derive(Debug, Clone)]
pub enum CallEnd {
    Answered(Answer),
    /// The connection has ended before a complete answer.
    Closed(String),
    TimedOut,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Self { stream, reader })
    }

    pub fn call(&mut self, text: &str, timeout: Duration) -> CallEnd {
        let _ = self.stream.set_read_timeout(Some(timeout));
        if let Err(error) = self.stream.write_all(text.as_bytes()) {
            return CallEnd::Closed(error.to_string());
        }
        let ended = |error: io::Error| match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => CallEnd::TimedOut,
            _ => CallEnd::Closed(error.to_string()),
        };
        let head = match read_head(&mut self.reader) {
            Ok(Some(head)) => head,
            Ok(None) => return CallEnd::Closed("end of the connection".to_owned()),
            Err(error) => return ended(error),
        };
        match read_body(&mut self.reader, &head, |_| {}) {
            Ok(body) => {
                let body = String::from_utf8_lossy(&body).into_owned();
                CallEnd::Answered(Answer {
                    head,
                    body,
                    is_whole: true,
                })
            }
            Err(error) => ended(error),
        }
    }
}

/// Sends a request on a new connection and reads the response. `None` if no head arrived.
pub fn call(address: SocketAddr, text: &str, timeout: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok()??;
    let mut partial = Vec::new();
    let read = read_body(&mut reader, &head, |chunk| partial.extend_from_slice(chunk));
    let is_whole = read.is_ok();
    let body = String::from_utf8_lossy(&partial).into_owned();
    Some(Answer {
        head,
        body,
        is_whole,
    })
}

/// Waits until the peer has closed the connection, or until the time is over. Returns whether it has.
pub fn is_closed(stream: &TcpStream, wait: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(wait.max(Duration::from_millis(1))));
    let mut byte = [0; 1];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_read_timeout(None);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => !matches!(
            error.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
        ),
    }
}
