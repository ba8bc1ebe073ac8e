//! A link that passes bytes on, late, or not at all.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a link does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// It passes all on.
    Open,
    /// Each piece comes this much later.
    Delayed(Duration),
    /// Connections are reset, new ones too.
    Reset,
    /// Connections stay, and nothing passes either way.
    Silent,
    /// Requests pass and answers don't.
    OneWay,
}

/// A link before one address.
#[derive(Debug)]
pub struct FaultLink {
    mode: watch::Sender<LinkMode>,
}

impl FaultLink {
    /// Listens and passes connections on to `target`.
    ///
    /// # Errors
    ///
    /// The address can't be listened on.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let (mode, seen) = watch::channel(LinkMode::Open);
        tokio::spawn(accept(listener, target, seen));
        Ok(Self { mode })
    }

    /// Changes what the link does, for open connections too.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<LinkMode>) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(pass(near, target, mode.clone()));
    }
}

async fn pass(near: TcpStream, target: SocketAddr, mode: watch::Receiver<LinkMode>) {
    // Both sides are closed by a reset, as a link that breaks would; an orderly end passes through.
    if near.set_zero_linger().is_err() || *mode.borrow() == LinkMode::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let requests = copy(near_read, far_write, mode.clone(), false);
    let answers = copy(far_read, near_write, mode.clone(), true);
    tokio::select! {
        _ = futures::future::join(requests, answers) => {}
        () = reset(mode) => {}
    }
}

async fn reset(mut mode: watch::Receiver<LinkMode>) {
    // An error says that the link is gone, which resets as well.
    let _ = mode.wait_for(|mode| *mode == LinkMode::Reset).await;
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut mode: watch::Receiver<LinkMode>,
    is_answer: bool,
) {
    let mut piece = vec![0; 16 << 10];
    loop {
        let Ok(read) = from.read(&mut piece).await else {
            return;
        };
        let holds = |mode: &LinkMode| match mode {
            LinkMode::Silent => true,
            LinkMode::OneWay => is_answer,
            LinkMode::Open | LinkMode::Delayed(_) | LinkMode::Reset => false,
        };
        if mode.wait_for(|mode| !holds(mode)).await.is_err() {
            return;
        }
        let present = *mode.borrow();
        if let LinkMode::Delayed(late) = present {
            tokio::time::sleep(late).await;
        }
        if read == 0 {
            // The other side is gone already if this fails.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&piece[..read]).await.is_err() {
            return;
        }
    }
}
