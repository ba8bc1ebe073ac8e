//! A TCP proxy that forwards bytes, delays them, holds them back or resets connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

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
}

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
    let requests = copy(client_read, upstream_write, mode.clone(), false);
    let responses = copy(upstream_read, client_write, mode.clone(), true);
    tokio::select! {
        _ = futures::future::join(requests, responses) => {}
        () = wait_for_reset(mode) => {}
    }
}

async fn wait_for_reset(mut mode: watch::Receiver<LinkMode>) {
    // An error means that the link was dropped, which resets the connection as well.
    let _ = mode.wait_for(|mode| *mode == LinkMode::Reset).await;
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<LinkMode>,
    is_response: bool,
) {
    let mut chunk = vec![0; 16 << 10];
    loop {
        let Ok(read) = from.read(&mut chunk).await else {
            return;
        };
        let is_held = |mode: &LinkMode| match mode {
            LinkMode::Silent => true,
            LinkMode::OneWay => is_response,
            LinkMode::Open | LinkMode::Delayed(_) | LinkMode::Reset => false,
        };
        if mode.wait_for(|mode| !is_held(mode)).await.is_err() {
            return;
        }
        let current = *mode.borrow();
        if let LinkMode::Delayed(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if read == 0 {
            // A failure means that the other side has already closed.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
