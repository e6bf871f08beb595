//! Exchanges over TCP, for plans, rosters and messages that are too large for a datagram.
//!
//! Each exchange has its own connection and a time limit, so that a silent connection can't go
//! unnoticed.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use buckthornweir_members::Roster;
use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use prost::Message as _;
use quick_error::quick_error;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::messages::{
    MAX_FRAME_BYTES, PeerBody, PeerMessage, PlanMessage, PlanRequestMessage, RosterRequestMessage,
};

/// Time limit for an exchange: a plan of 1 MB takes 1.6 s on a link of 5 Mbit/s.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for opening a connection, and the delay after one could not be accepted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of connections served concurrently.
const MAX_CONNECTIONS: usize = 256;

quick_error! {
    /// The reason why an exchange with another process failed.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "quick_error supports no narrower visibility")]
    pub enum LinkError {
        /// The connection failed.
        Io(source: std::io::Error) {
            from()
            display("{source}")
            source(source)
        }
        /// The other process sent an unexpected or malformed message.
        Malformed {
            display("the response is malformed")
        }
        /// The other process did not respond in time.
        TimedOut {
            display("no answer in time")
        }
    }
}

/// The result of an exchange.
pub(crate) type Result<T> = std::result::Result<T, LinkError>;

/// A message that arrived over a connection, with the channel for its response.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) from: SocketAddr,
    pub(crate) body: PeerBody,
    pub(crate) response: oneshot::Sender<PeerBody>,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Sends a message from the address `source`, without waiting for a response.
pub(crate) async fn send(source: Option<Ipv4Addr>, to: SocketAddr, body: PeerBody) -> Result<()> {
    let exchange = async {
        let mut framed = connect(source, to).await?;
        framed.send(encode(body)).await?;
        SinkExt::<Bytes>::close(&mut framed).await?;
        Ok(())
    };
    with_time_limit(exchange).await
}

/// Requests a plan above a revision from another process. Returns `None` if it has none.
///
/// The first byte of the response must arrive within `first_byte_timeout`. The rest may take
/// longer, since a large plan takes some time on a slow link.
pub(crate) async fn fetch_plan(
    source: Option<Ipv4Addr>,
    from: SocketAddr,
    above: u64,
    first_byte_timeout: Duration,
) -> Result<Option<PlanMessage>> {
    let request = PeerBody::PlanRequest(PlanRequestMessage { above });
    match send_request(source, from, request, first_byte_timeout).await? {
        PeerBody::Plan(plan) => Ok((plan.revision > above).then_some(plan)),
        _ => Err(LinkError::Malformed),
    }
}

/// Requests the members that are unknown here from another process.
pub(crate) async fn fetch_roster(
    source: Option<Ipv4Addr>,
    from: SocketAddr,
    request: RosterRequestMessage,
) -> Result<Roster> {
    let request = PeerBody::RosterRequest(request);
    match send_request(source, from, request, EXCHANGE_TIMEOUT).await? {
        PeerBody::Roster(roster) => roster.read().map_err(|_| LinkError::Malformed),
        _ => Err(LinkError::Malformed),
    }
}

/// Sends a request and reads the response, whose first byte must arrive within
/// `first_byte_timeout`.
async fn send_request(
    source: Option<Ipv4Addr>,
    from: SocketAddr,
    request: PeerBody,
    first_byte_timeout: Duration,
) -> Result<PeerBody> {
    let exchange = async {
        let opening = async {
            let mut framed = connect(source, from).await?;
            framed.send(encode(request)).await?;
            framed.get_ref().readable().await?;
            Ok::<_, LinkError>(framed)
        };
        let opened = timeout(first_byte_timeout, opening).await;
        let mut framed = opened.map_err(|_| LinkError::TimedOut)??;
        read(&mut framed).await
    };
    with_time_limit(exchange).await
}

/// Serves connections until `stop` is cancelled.
pub(crate) async fn serve(
    listener: TcpListener,
    inbox: mpsc::Sender<Incoming>,
    stop: CancellationToken,
) {
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match (accepted, permits.clone().try_acquire_owned()) {
            (Ok((stream, from)), Ok(permit)) => {
                let inbox = inbox.clone();
                tokio::spawn(async move {
                    if let Err(error) = with_time_limit(serve_connection(stream, from, inbox)).await
                    {
                        tracing::debug!(event = "link_failed", %from, %error);
                    }
                    drop(permit);
                });
            }
            (Ok((_, from)), Err(_)) => tracing::warn!(event = "link_refused", %from),
            (Err(error), _) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(CONNECT_TIMEOUT).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    from: SocketAddr,
    inbox: mpsc::Sender<Incoming>,
) -> Result<()> {
    let mut framed = Framed::new(stream, codec());
    let body = read(&mut framed).await?;
    let needs_response = matches!(body, PeerBody::PlanRequest(_) | PeerBody::RosterRequest(_));
    let (response, responded) = oneshot::channel();
    let incoming = Incoming {
        from,
        body,
        response,
    };
    if inbox.send(incoming).await.is_err() || !needs_response {
        return Ok(());
    }
    if let Ok(body) = responded.await {
        framed.send(encode(body)).await?;
        SinkExt::<Bytes>::close(&mut framed).await?;
    }
    Ok(())
}

async fn connect(
    source: Option<Ipv4Addr>,
    to: SocketAddr,
) -> Result<Framed<TcpStream, LengthDelimitedCodec>> {
    let socket = TcpSocket::new_v4()?;
    if let Some(source) = source {
        socket.bind(SocketAddr::from((source, 0)))?;
    }
    let stream = timeout(CONNECT_TIMEOUT, socket.connect(to)).await;
    let stream = stream.map_err(|_| LinkError::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(Framed::new(stream, codec()))
}

async fn read(framed: &mut Framed<TcpStream, LengthDelimitedCodec>) -> Result<PeerBody> {
    use futures_util::StreamExt;
    let frame: BytesMut = framed.next().await.ok_or(LinkError::Malformed)??;
    let message = PeerMessage::decode(frame).map_err(|_| LinkError::Malformed)?;
    message.body.ok_or(LinkError::Malformed)
}

fn encode(body: PeerBody) -> Bytes {
    PeerMessage::new(body).encode_to_vec().into()
}

async fn with_time_limit<T>(exchange: impl Future<Output = Result<T>>) -> Result<T> {
    match timeout(EXCHANGE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(LinkError::TimedOut),
    }
}
