//! Long-lived links between processes: authenticated frames in both directions over TCP.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Sink, StreamExt};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::envelope::Envelope;
use crate::fault::{Result, WireError};
use crate::key::{ClusterKey, TAG_BYTES, TagKey};

/// The largest frame in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// The length in bytes of the nonce that each end sends first.
const NONCE_BYTES: usize = 32;

/// The random number that one end contributes to the key of a link.
type Nonce = [u8; NONCE_BYTES];

/// The sequence number of the first frame, after that of the key confirmation in the handshake.
const FIRST_SEQUENCE: u64 = 1;

/// The sequence number of the key confirmation that completes the handshake.
const CONFIRMATION_SEQUENCE: u64 = 0;

/// A link to another process.
#[derive(Debug)]
pub struct Link {
    reader: LinkReader,
    writer: LinkWriter,
}

/// The receiving half of a link.
#[derive(Debug)]
pub struct LinkReader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    key: TagKey,
    direction: u8,
    sequence: u64,
}

/// The sending half of a link.
#[derive(Debug)]
pub struct LinkWriter {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    key: TagKey,
    direction: u8,
    sequence: u64,
}

/// The direction byte in the tags of frames from the dialing end.
const FROM_DIALER: u8 = 1;

/// The direction byte in the tags of frames from the accepting end.
const FROM_ACCEPTOR: u8 = 2;

impl Link {
    /// Connects to `peer` and completes the handshake within `time_limit`.
    ///
    /// On return, both ends have confirmed that they hold the key.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Forged`] when the peer has another key, [`WireError::Io`] or
    /// [`WireError::TimedOut`].
    pub async fn dial(peer: SocketAddr, key: &ClusterKey, time_limit: Duration) -> Result<Self> {
        let handshake = async {
            let mut stream = TcpStream::connect(peer).await?;
            let (local, remote) = exchange_nonces(&mut stream).await?;
            let key = key.link_key(&local, &remote);
            exchange_confirmations(&mut stream, &key, FROM_DIALER, FROM_ACCEPTOR).await?;
            Ok(Self::new(stream, key, FROM_DIALER, FROM_ACCEPTOR))
        };
        within(time_limit, handshake).await
    }

    /// Completes the handshake on a connection from another process within `time_limit`.
    ///
    /// On return, both ends have confirmed that they hold the key. Until then, only the fixed-size
    /// nonce and confirmation are read, so an unauthenticated peer cannot send frames.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Forged`] when the peer has another key, [`WireError::Io`] or
    /// [`WireError::TimedOut`].
    pub async fn accept(
        mut stream: TcpStream,
        key: &ClusterKey,
        time_limit: Duration,
    ) -> Result<Self> {
        let handshake = async {
            let (local, remote) = exchange_nonces(&mut stream).await?;
            let key = key.link_key(&remote, &local);
            exchange_confirmations(&mut stream, &key, FROM_ACCEPTOR, FROM_DIALER).await?;
            Ok(Self::new(stream, key, FROM_ACCEPTOR, FROM_DIALER))
        };
        within(time_limit, handshake).await
    }

    fn new(stream: TcpStream, key: TagKey, send_direction: u8, receive_direction: u8) -> Self {
        let (read, write) = stream.into_split();
        Self {
            reader: LinkReader {
                frames: FramedRead::new(read, codec()),
                key: key.clone(),
                direction: receive_direction,
                sequence: FIRST_SEQUENCE,
            },
            writer: LinkWriter {
                frames: FramedWrite::new(write, codec()),
                key,
                direction: send_direction,
                sequence: FIRST_SEQUENCE,
            },
        }
    }

    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Long`] or [`WireError::Io`].
    pub async fn send(&mut self, envelope: &Envelope) -> Result<()> {
        self.writer.send(envelope).await
    }

    /// Receives one message within `time_limit`.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::TimedOut`] and the errors of [`LinkReader::receive`].
    pub async fn receive(&mut self, time_limit: Duration) -> Result<Envelope> {
        within(time_limit, self.reader.receive()).await
    }

    /// Splits the link into its halves.
    pub fn split(self) -> (LinkReader, LinkWriter) {
        (self.reader, self.writer)
    }
}

impl LinkReader {
    /// Receives one message.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Closed`] at the end of the link, [`WireError::Forged`] for an altered,
    /// lost or duplicated frame, [`WireError::Malformed`], or [`WireError::Io`].
    pub async fn receive(&mut self) -> Result<Envelope> {
        let frame = match self.frames.next().await {
            Some(frame) => frame?,
            None => return Err(WireError::Closed),
        };
        let prefix = tag_prefix(self.direction, self.sequence);
        let bytes = self.key.verify(&prefix, &frame)?;
        self.sequence += 1;
        Ok(Envelope::decode(bytes)?)
    }
}

impl LinkWriter {
    /// Sends one message.
    ///
    /// This method is cancel safe: a cancelled message is sent completely or not at all, and the
    /// link remains usable.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Long`] or [`WireError::Io`].
    pub async fn send(&mut self, envelope: &Envelope) -> Result<()> {
        let length = TAG_BYTES + envelope.encoded_len();
        if length > MAX_FRAME_BYTES {
            return Err(WireError::Long {
                length,
                limit: MAX_FRAME_BYTES,
            });
        }
        poll_fn(|cx| self.sink().poll_ready(cx)).await?;
        let frame = self.encode_frame(envelope, length);
        self.sink().start_send(frame)?;
        Ok(poll_fn(|cx| self.sink().poll_flush(cx)).await?)
    }

    /// Returns the codec as a sink of `Bytes`, which fixes the item type of its generic `Sink`
    /// implementation.
    fn sink(&mut self) -> Pin<&mut impl Sink<Bytes, Error = io::Error>> {
        Pin::new(&mut self.frames)
    }

    /// Encodes the next frame. The caller must send it, since encoding uses up a sequence number.
    fn encode_frame(&mut self, envelope: &Envelope, length: usize) -> Bytes {
        let mut frame = Vec::with_capacity(length);
        frame.extend_from_slice(&[0; TAG_BYTES]);
        // Encoding into a vector cannot fail.
        let _ = envelope.encode(&mut frame);
        let prefix = tag_prefix(self.direction, self.sequence);
        let tag = self.key.tag(&[&prefix, &frame[TAG_BYTES..]]);
        frame[..TAG_BYTES].copy_from_slice(&tag);
        self.sequence += 1;
        Bytes::from(frame)
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

fn tag_prefix(direction: u8, sequence: u64) -> [u8; 9] {
    let mut prefix = [direction; 9];
    prefix[1..].copy_from_slice(&sequence.to_be_bytes());
    prefix
}

/// Exchanges nonces with the peer and returns the local and the remote one.
async fn exchange_nonces(stream: &mut TcpStream) -> Result<(Nonce, Nonce)> {
    stream.set_nodelay(true)?;
    let local: Nonce = rand::random();
    let mut remote = [0; NONCE_BYTES];
    stream.write_all(&local).await?;
    stream.read_exact(&mut remote).await?;
    Ok((local, remote))
}

/// Confirms the key to the peer, and verifies the confirmation of the peer.
async fn exchange_confirmations(
    stream: &mut TcpStream,
    key: &TagKey,
    send_direction: u8,
    receive_direction: u8,
) -> Result<()> {
    let mut received = [0; TAG_BYTES];
    stream
        .write_all(&key.tag(&[&tag_prefix(send_direction, CONFIRMATION_SEQUENCE)]))
        .await?;
    stream.read_exact(&mut received).await?;
    key.verify(
        &tag_prefix(receive_direction, CONFIRMATION_SEQUENCE),
        &received,
    )?;
    Ok(())
}

async fn within<T>(time_limit: Duration, future: impl Future<Output = Result<T>>) -> Result<T> {
    match timeout(time_limit, future).await {
        Ok(result) => result,
        Err(_) => Err(WireError::TimedOut),
    }
}
