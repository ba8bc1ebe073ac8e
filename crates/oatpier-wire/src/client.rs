//! An HTTP client whose errors tell whether the request may have been executed.
//!
//! The pooling clients of libraries hide whether they retried on a new connection, and whether a message was written
//! before the connection broke, so [`RunVerdict::NotRun`] could not be reported reliably. This client uses the
//! lower-level `SendRequest::try_send_request`, which returns the message exactly if `hyper` never took it from its
//! queue. A returned message was not written; it is sent again or reported as not run. A message that was taken may
//! have been executed, even if the peer had closed the idle connection long before.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use oatpier_types::verdict::RunVerdict;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::stream::MeteredStream;
use crate::traffic::TrafficCounter;

mod body;
mod head_limit;
mod pool;

pub use body::ResponseBody;
pub(crate) use head_limit::HeadLimit;
use pool::{ConnectionPool, PooledSender};

/// The connection settings of a client.
#[derive(Debug, Clone)]
pub struct ClientLimits {
    /// The maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept. It must be shorter than the server's idle timeout, so that the client
    /// closes first: a server that closes first races with the next request, whose verdict is then
    /// [`RunVerdict::MayHaveRun`].
    pub idle_timeout: Duration,
    /// The maximum number of idle connections per address.
    pub max_idle_per_address: usize,
    /// Whether closing a connection discards data that the peer has not received yet. An abandoned request may still
    /// be in transit to a peer that is frozen or unreachable. After an orderly close it would arrive seconds later,
    /// although its response is no longer needed. Connections that are closed while idle have no data in transit.
    pub discard_on_close: bool,
    /// The maximum number of bytes of a response that are held for a reader that does not keep up, if limited.
    pub buffer_bytes: Option<usize>,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(20),
            max_idle_per_address: 32,
            discard_on_close: false,
            buffer_bytes: None,
        }
    }
}

/// Which connections a call may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle connection, or a new one if there is none.
    Any,
    /// Only a new connection, on which no response to an earlier request can arrive.
    New,
}

/// The stage at which a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendStage {
    /// No connection was established.
    Connect,
    /// A connection was established, but the request was returned unwritten.
    Queue,
    /// The request was written, or may have been written.
    Response,
}

impl fmt::Display for SendStage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Connect => "connecting",
            Self::Queue => "sending",
            Self::Response => "waiting for the response",
        })
    }
}

/// An error of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("the call to {address} failed while {stage} ({verdict}): {cause}")]
pub struct SendError {
    /// The address that was called.
    pub address: SocketAddr,
    /// Whether the request may have been executed.
    pub verdict: RunVerdict,
    /// The stage at which the call failed.
    pub stage: SendStage,
    /// Whether the call timed out.
    pub timed_out: bool,
    /// Whether the peer sent bytes that are no response, so it is running.
    pub is_malformed: bool,
    /// The cause of the failure.
    pub cause: String,
}

impl SendError {
    fn new(address: SocketAddr, stage: SendStage, cause: impl fmt::Display) -> Self {
        let verdict = match stage {
            SendStage::Connect | SendStage::Queue => RunVerdict::NotRun,
            SendStage::Response => RunVerdict::MayHaveRun,
        };
        Self {
            address,
            verdict,
            stage,
            timed_out: false,
            is_malformed: false,
            cause: cause.to_string(),
        }
    }

    fn response(address: SocketAddr, error: &hyper::Error) -> Self {
        Self {
            is_malformed: is_malformed(error),
            ..Self::new(address, SendStage::Response, error)
        }
    }

    fn status(address: SocketAddr, status: StatusCode) -> Self {
        Self {
            is_malformed: true,
            ..Self::new(
                address,
                SendStage::Response,
                format_args!("{status} is no status of a response"),
            )
        }
    }

    fn timeout(address: SocketAddr, stage: SendStage) -> Self {
        Self {
            timed_out: true,
            ..Self::new(address, stage, "the call timed out")
        }
    }
}

/// An HTTP/1 client with a connection pool for each address.
///
/// Clones share the pool. Connections run on the runtime that opened them, so a client belongs to the runtime of one
/// duty.
#[derive(Clone)]
pub struct HttpClient {
    limits: Arc<ClientLimits>,
    pool: Arc<ConnectionPool>,
    traffic: Arc<TrafficCounter>,
}

impl HttpClient {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            pool: Arc::new(ConnectionPool::new(
                limits.idle_timeout,
                limits.max_idle_per_address,
            )),
            limits: Arc::new(limits),
            traffic: Arc::default(),
        }
    }

    /// Returns the byte counters of this client's connections.
    #[must_use]
    pub fn traffic(&self) -> &Arc<TrafficCounter> {
        &self.traffic
    }

    /// Sends a request whose URI is a path, and waits for the response's head without a timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; its verdict tells whether the request may have been executed. If the future
    /// is dropped, that is unknown.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Response<ResponseBody>, SendError> {
        self.send_on(address, request, ConnectionChoice::Any).await
    }

    /// Same as [`HttpClient::send`], with a choice of connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; its verdict tells whether the request may have been executed.
    pub async fn send_on(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        choice: ConnectionChoice,
    ) -> Result<Response<ResponseBody>, SendError> {
        self.send_until(address, request, choice, None).await
    }

    /// Same as [`HttpClient::send`], with a timeout for the response's head.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or times out; its verdict tells whether the request may have been executed.
    pub async fn send_within(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<ResponseBody>, SendError> {
        let deadline = Instant::now() + timeout;
        let choice = ConnectionChoice::Any;
        self.send_until(address, request, choice, Some(deadline))
            .await
    }

    /// Sends a request and reads the whole response, of at most `limit` bytes, within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or times out, or the response is truncated or too long. The error's verdict
    /// tells whether the request may have been executed.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>, SendError> {
        let deadline = Instant::now() + timeout;
        let choice = ConnectionChoice::Any;
        let sending = self.send_until(address, request, choice, Some(deadline));
        let response = sending.await?;
        let (parts, body) = response.into_parts();
        let collected = timeout_at(deadline, Limited::new(body, limit).collect())
            .await
            .map_err(|_| SendError::timeout(address, SendStage::Response))?
            .map_err(|error| SendError::new(address, SendStage::Response, error))?;
        Ok(Response::from_parts(parts, collected.to_bytes()))
    }

    async fn send_until(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        choice: ConnectionChoice,
        deadline: Option<Instant>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let mut request = with_host(address, request).map(Full::new);
        loop {
            let mut sender = self.checkout(address, choice, deadline).await?;
            sender.head_limit.begin();
            let sending = sender.connection.try_send_request(request);
            let sent = match deadline {
                Some(deadline) => timeout_at(deadline, sending)
                    .await
                    .map_err(|_| SendError::timeout(address, SendStage::Response))?,
                None => sending.await,
            };
            let mut failure = match sent {
                Ok(response) if !is_final(response.status()) => {
                    return Err(SendError::status(address, response.status()));
                }
                Ok(response) => {
                    sender.head_limit.end();
                    return Ok(response.map(|body| self.response_body(body, sender)));
                }
                Err(failure) => failure,
            };
            // A peer may close a connection while it is idle in the pool. Only a request that
            // hyper returns is known to be unwritten, so only such a request is sent again.
            request = match failure.take_message() {
                Some(unsent) if sender.reused => unsent,
                Some(_) => {
                    return Err(SendError::new(address, SendStage::Queue, failure.error()));
                }
                None => {
                    return Err(SendError::response(address, failure.error()));
                }
            };
        }
    }

    fn response_body(&self, body: hyper::body::Incoming, sender: PooledSender) -> ResponseBody {
        ResponseBody::new(body, sender, Arc::clone(&self.pool))
    }

    async fn checkout(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
        deadline: Option<Instant>,
    ) -> Result<PooledSender, SendError> {
        let connect_by = Instant::now() + self.limits.connect_timeout;
        let connect_by = deadline.map_or(connect_by, |deadline| deadline.min(connect_by));
        let connecting = async {
            match choice {
                ConnectionChoice::Any => self.reuse_or_connect(address).await,
                ConnectionChoice::New => self.connect(address).await,
            }
        };
        timeout_at(connect_by, connecting)
            .await
            .map_err(|_| SendError::timeout(address, SendStage::Connect))?
    }

    async fn reuse_or_connect(&self, address: SocketAddr) -> Result<PooledSender, SendError> {
        while let Some(mut sender) = self.pool.take(address) {
            if sender.connection.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        self.connect(address).await
    }

    async fn connect(&self, address: SocketAddr) -> Result<PooledSender, SendError> {
        let connect_error =
            |error: &dyn fmt::Display| SendError::new(address, SendStage::Connect, error);
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| connect_error(&error))?;
        // Without TCP_NODELAY, small messages wait for the acknowledgement of earlier ones.
        stream
            .set_nodelay(true)
            .map_err(|error| connect_error(&error))?;
        if self.limits.discard_on_close {
            stream
                .set_zero_linger()
                .map_err(|error| connect_error(&error))?;
        }
        let head_limit = Arc::new(HeadLimit::default());
        let stream = MeteredStream::new(stream, Arc::clone(&self.traffic))
            .with_head_limit(Arc::clone(&head_limit));
        let mut builder = http1::Builder::new();
        if let Some(bytes) = self.limits.buffer_bytes {
            builder.max_buf_size(bytes);
        }
        let (connection, driver) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_error(&error))?;
        tokio::spawn(driver);
        Ok(PooledSender {
            address,
            connection,
            head_limit,
            reused: false,
        })
    }
}

/// Returns whether an error means that a peer sent something other than a response or the rest of its body. The peer is
/// running then, while a connection that broke may have broken with the peer.
#[must_use]
pub fn is_malformed(error: &hyper::Error) -> bool {
    let cause = std::error::Error::source(error);
    let cause = cause.and_then(|cause| cause.downcast_ref::<std::io::Error>());
    let is_invalid = cause.is_some_and(|cause| {
        matches!(
            cause.kind(),
            std::io::ErrorKind::InvalidData | std::io::ErrorKind::InvalidInput
        )
    });
    is_invalid || error.is_parse()
}

/// Returns whether a response with this status ends a request. No call asks for another protocol, so status 101 does not, and
/// statuses from 600 on are not defined.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

fn with_host(address: SocketAddr, mut request: Request<Bytes>) -> Request<Bytes> {
    if !request.headers().contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(&address.to_string())
    {
        request.headers_mut().insert(HOST, host);
    }
    request
}
