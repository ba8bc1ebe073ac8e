//! A TCP proxy that forwards bytes, delays them, holds them back, repeats refusals or resets connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// How a link treats its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards everything.
    Open,
    /// Forwards each chunk after this delay.
    Delayed(Duration),
    /// Resets open and new connections.
    Reset,
    /// Keeps connections open and forwards nothing in either direction.
    Silent,
    /// Forwards requests and holds back responses.
    OneWay,
    /// Forwards everything. A refusal is sent once more where the response to the next request is expected.
    RepeatRefusals,
}

/// The beginnings of responses that say that a request did not run.
const REFUSALS: [&[u8]; 3] = [b"HTTP/1.1 421 ", b"HTTP/1.1 429 ", b"HTTP/1.1 503 "];

/// Size of the pieces that are forwarded, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// The end of a response without a body.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A proxy in front of one address.
#[derive(Debug)]
pub struct FaultLink {
    mode: watch::Sender<LinkMode>,
}

impl FaultLink {
    /// Listens on `listen` and forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let (mode, mode_receiver) = watch::channel(LinkMode::Open);
        tokio::spawn(accept(listener, target, mode_receiver));
        Ok(Self { mode })
    }

    /// Changes the mode, for open connections too.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<LinkMode>) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(forward(client, target, mode.clone()));
    }
}

async fn forward(client: TcpStream, target: SocketAddr, mode: watch::Receiver<LinkMode>) {
    // With zero linger, dropping the client's connection sends a reset, as a broken link would. An orderly shutdown is
    // forwarded.
    if client.set_zero_linger().is_err() || *mode.borrow() == LinkMode::Reset {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let requested = Notify::new();
    let requests = copy_requests(client_read, upstream_write, mode.clone(), &requested);
    let responses = copy_responses(upstream_read, client_write, mode.clone(), &requested);
    tokio::select! {
        _ = futures::future::join(requests, responses) => {}
        () = wait_for_reset(mode) => {}
    }
}

async fn wait_for_reset(mut mode: watch::Receiver<LinkMode>) {
    // An error means that the link was dropped, which resets the connection as well.
    let _ = mode.wait_for(|mode| *mode == LinkMode::Reset).await;
}

async fn copy_requests(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<LinkMode>,
    requested: &Notify,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(read) = from.read(&mut chunk).await {
        if pass(&chunk[..read], &mut to, &mut mode, false)
            .await
            .is_none()
        {
            return;
        }
        requested.notify_one();
    }
}

async fn copy_responses(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<LinkMode>,
    requested: &Notify,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut refusal: Option<Vec<u8>> = None;
    loop {
        tokio::select! {
            biased;
            () = requested.notified(), if refusal.is_some() => {
                let repeated = refusal.take().filter(|_| *mode.borrow() == LinkMode::RepeatRefusals);
                if let Some(repeated) = repeated && to.write_all(&repeated).await.is_err() {
                    return;
                }
            }
            read = from.read(&mut chunk) => {
                let Ok(read) = read else { return };
                let bytes = &chunk[..read];
                if pass(bytes, &mut to, &mut mode, true).await.is_none() {
                    return;
                }
                let is_refusal = REFUSALS.iter().any(|start| bytes.starts_with(start));
                refusal = (is_refusal && bytes.ends_with(HEAD_END)).then(|| bytes.to_vec());
            }
        }
    }
}

/// Passes bytes on as the mode says, or the end of the connection if there are none. Returns `None` if that was the end.
async fn pass(
    bytes: &[u8],
    to: &mut (impl AsyncWrite + Unpin),
    mode: &mut watch::Receiver<LinkMode>,
    is_response: bool,
) -> Option<()> {
    let is_held = |mode: &LinkMode| match mode {
        LinkMode::Silent => true,
        LinkMode::OneWay => is_response,
        LinkMode::Open | LinkMode::Delayed(_) | LinkMode::Reset | LinkMode::RepeatRefusals => false,
    };
    mode.wait_for(|mode| !is_held(mode)).await.ok()?;
    let current = *mode.borrow();
    if let LinkMode::Delayed(delay) = current {
        tokio::time::sleep(delay).await;
    }
    if bytes.is_empty() {
        // A failure means that the other side has already closed.
        let _ = to.shutdown().await;
        return None;
    }
    to.write_all(bytes).await.ok()
}
