//! A backend server for `tcp` services that sends a banner and then echoes all bytes.

use std::convert::Infallible;
use std::net::SocketAddr;

use smol_str::SmolStr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::backend::{Error, Result};

/// A running echo server, which stops when it is dropped.
pub struct EchoBackend {
    addr: SocketAddr,
    banner: SmolStr,
    _guard: DropGuard,
}

impl EchoBackend {
    /// Binds the address and starts the server.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub async fn start(bind: SocketAddr, name: &str, service: &str) -> Result<Self> {
        let error = |err| Error::Bind(bind, err);
        let listener = TcpListener::bind(bind).await.map_err(error)?;
        let addr = listener.local_addr().map_err(error)?;
        let banner = SmolStr::from(format!("service={service} backend={name}\n"));
        let token = CancellationToken::new();
        let accept = accept(listener, banner.clone(), token.clone());
        tokio::spawn(token.clone().run_until_cancelled_owned(accept));
        Ok(Self {
            addr,
            banner,
            _guard: token.drop_guard(),
        })
    }

    /// Returns the address that the server is bound to.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the line that is sent first on each connection, including its line feed.
    #[must_use]
    pub fn banner(&self) -> &str {
        &self.banner
    }
}

async fn accept(listener: TcpListener, banner: SmolStr, token: CancellationToken) -> Infallible {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let echo = echo(stream, banner.clone());
        tokio::spawn(token.clone().run_until_cancelled_owned(echo));
    }
}

async fn echo(mut stream: TcpStream, banner: SmolStr) {
    if stream.write_all(banner.as_bytes()).await.is_err() {
        return;
    }
    let (mut reader, mut writer) = stream.split();
    // An error ends the connection in the same way as a close by the peer.
    drop(tokio::io::copy(&mut reader, &mut writer).await);
}
