//! An HTTP client whose errors say whether the request may have run.
//!
//! A pooling client of a library hides when it retries on a new connection and whether a message
//! was written before the connection broke; a "not run" built on it would be a guess. This client
//! stays one step lower: it sends through `SendRequest::try_send_request`, which hands the message
//! back exactly when `hyper` never took it from its queue. A message that was handed back was not
//! written and is sent anew or reported as not run; one that was taken may have run, even where
//! the connection had been idle and the peer had closed it long before.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response};
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
mod pool;

pub use body::AnswerBody;
use pool::{ConnectionPool, PooledSender};

/// How a client treats its connections.
#[derive(Debug, Clone)]
pub struct ClientLimits {
    /// The longest wait for a connection.
    pub connect: Duration,
    /// How long an unused connection is kept. Shorter than the server's idle limit, so that the
    /// client is the one who closes: a server that closes first races with the next request, and
    /// that request's verdict is then "may have run".
    pub idle: Duration,
    /// The most unused connections kept for an address.
    pub idle_per_address: usize,
    /// Whether closing a connection discards what the peer has not received yet. A request that was
    /// given up may still be on its way to a peer that is frozen or cut off; after an orderly close it
    /// would arrive seconds later, when nobody waits for it any more. Connections that are closed
    /// unused have nothing on their way.
    pub discard_on_close: bool,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            idle: Duration::from_secs(20),
            idle_per_address: 32,
            discard_on_close: false,
        }
    }
}

/// Where a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendStage {
    /// No connection was made.
    Connect,
    /// A connection was made, and the request was handed back unwritten.
    Queue,
    /// The request was written, or may have been.
    Answer,
}

impl fmt::Display for SendStage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Connect => "connecting",
            Self::Queue => "sending",
            Self::Answer => "waiting for the answer",
        })
    }
}

/// A call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("the call to {address} failed while {stage} ({verdict}): {cause}")]
pub struct SendError {
    /// Whom the call was for.
    pub address: SocketAddr,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Where it failed.
    pub stage: SendStage,
    /// Whether it failed because time ran out.
    pub timed_out: bool,
    /// What happened.
    pub cause: String,
}

impl SendError {
    fn new(address: SocketAddr, stage: SendStage, cause: impl fmt::Display) -> Self {
        let verdict = match stage {
            SendStage::Connect | SendStage::Queue => RunVerdict::NotRun,
            SendStage::Answer => RunVerdict::MayHaveRun,
        };
        Self {
            address,
            verdict,
            stage,
            timed_out: false,
            cause: cause.to_string(),
        }
    }

    fn timeout(address: SocketAddr, stage: SendStage) -> Self {
        Self {
            timed_out: true,
            ..Self::new(address, stage, "no time is left")
        }
    }
}

/// An HTTP/1 client with a pool of connections for each address.
///
/// Cloning shares the pool. Its connections run on the runtime that opened them, so a client
/// belongs to one duty's runtime.
#[derive(Clone)]
pub struct HttpClient {
    limits: Arc<ClientLimits>,
    pool: Arc<ConnectionPool>,
    traffic: Arc<TrafficCounter>,
}

impl HttpClient {
    /// A client without connections yet.
    #[must_use]
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            pool: Arc::new(ConnectionPool::new(limits.idle, limits.idle_per_address)),
            limits: Arc::new(limits),
            traffic: Arc::default(),
        }
    }

    /// Counts all bytes of this client's connections.
    #[must_use]
    pub fn traffic(&self) -> &Arc<TrafficCounter> {
        &self.traffic
    }

    /// Sends a request whose URI is a path, and waits for the answer's head as long as it takes.
    ///
    /// # Errors
    ///
    /// Says whether the request may have run. Dropping the future leaves that unknown.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Response<AnswerBody>, SendError> {
        self.send_until(address, request, None).await
    }

    /// As [`HttpClient::send`], for at most `timeout` until the answer's head is here.
    ///
    /// # Errors
    ///
    /// Says whether the request may have run.
    pub async fn send_within(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<AnswerBody>, SendError> {
        let deadline = Instant::now() + timeout;
        self.send_until(address, request, Some(deadline)).await
    }

    /// Sends a request and reads the whole answer, of at most `limit` bytes, within `timeout`.
    ///
    /// # Errors
    ///
    /// Says whether the request may have run. An answer that is cut or too long is an error.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>, SendError> {
        let deadline = Instant::now() + timeout;
        let response = self.send_until(address, request, Some(deadline)).await?;
        let (parts, body) = response.into_parts();
        let collected = timeout_at(deadline, Limited::new(body, limit).collect())
            .await
            .map_err(|_| SendError::timeout(address, SendStage::Answer))?
            .map_err(|error| SendError::new(address, SendStage::Answer, error))?;
        Ok(Response::from_parts(parts, collected.to_bytes()))
    }

    async fn send_until(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        deadline: Option<Instant>,
    ) -> Result<Response<AnswerBody>, SendError> {
        let mut request = with_host(address, request).map(Full::new);
        loop {
            let mut sender = self.checkout(address, deadline).await?;
            let sending = sender.connection.try_send_request(request);
            let sent = match deadline {
                Some(deadline) => timeout_at(deadline, sending)
                    .await
                    .map_err(|_| SendError::timeout(address, SendStage::Answer))?,
                None => sending.await,
            };
            let mut failure = match sent {
                Ok(response) => return Ok(response.map(|body| self.answer(body, sender))),
                Err(failure) => failure,
            };
            // A peer may close a connection while it waits in the pool. Only a request that
            // hyper hands back is known to be unwritten, and only that one is sent anew.
            request = match failure.take_message() {
                Some(unsent) if sender.reused => unsent,
                Some(_) => {
                    return Err(SendError::new(address, SendStage::Queue, failure.error()));
                }
                None => {
                    return Err(SendError::new(address, SendStage::Answer, failure.error()));
                }
            };
        }
    }

    fn answer(&self, body: hyper::body::Incoming, sender: PooledSender) -> AnswerBody {
        AnswerBody::new(body, sender, Arc::clone(&self.pool))
    }

    async fn checkout(
        &self,
        address: SocketAddr,
        deadline: Option<Instant>,
    ) -> Result<PooledSender, SendError> {
        let connect_by = Instant::now() + self.limits.connect;
        let connect_by = deadline.map_or(connect_by, |deadline| deadline.min(connect_by));
        timeout_at(connect_by, self.reuse_or_connect(address))
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
        let refused = |error: &dyn fmt::Display| SendError::new(address, SendStage::Connect, error);
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| refused(&error))?;
        // Small messages must not wait for the acknowledgement of earlier ones.
        stream.set_nodelay(true).map_err(|error| refused(&error))?;
        if self.limits.discard_on_close {
            stream.set_zero_linger().map_err(|error| refused(&error))?;
        }
        let stream = MeteredStream::new(stream, Arc::clone(&self.traffic));
        let (connection, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| refused(&error))?;
        tokio::spawn(driver);
        Ok(PooledSender {
            address,
            connection,
            reused: false,
        })
    }
}

fn with_host(address: SocketAddr, mut request: Request<Bytes>) -> Request<Bytes> {
    if !request.headers().contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(&address.to_string())
    {
        request.headers_mut().insert(HOST, host);
    }
    request
}
