//! Long-lived links between processes over TCP: authenticated frames in both directions.

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

/// The length in bytes of the random number that each end sends first.
const NONCE_BYTES: usize = 32;

/// The random number of one end.
type Nonce = [u8; NONCE_BYTES];

/// The number of the first frame. The number before it belongs to the proof of the key that ends
/// the handshake.
const FIRST_FRAME: u64 = 1;

/// The number under which the proof of the key is tagged.
const PROOF: u64 = 0;

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
    count: u64,
}

/// The sending half of a link.
#[derive(Debug)]
pub struct LinkWriter {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    key: TagKey,
    direction: u8,
    count: u64,
}

/// Frames that the dialing end sends carry this byte under their tag.
const FROM_DIALER: u8 = 1;

/// Frames that the accepting end sends carry this byte under their tag.
const FROM_ACCEPTOR: u8 = 2;

impl Link {
    /// Connects to `peer`, giving up after `limit`. Both ends have shown that they hold the key
    /// when this returns.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Forged`] when the other end has another key, [`WireError::Io`] or
    /// [`WireError::TimedOut`].
    pub async fn dial(peer: SocketAddr, key: &ClusterKey, limit: Duration) -> Result<Self> {
        let work = async {
            let mut stream = TcpStream::connect(peer).await?;
            let (own, other) = exchange_nonces(&mut stream).await?;
            let key = key.for_link(&own, &other);
            exchange_proofs(&mut stream, &key, FROM_DIALER, FROM_ACCEPTOR).await?;
            Ok(Self::new(stream, key, FROM_DIALER, FROM_ACCEPTOR))
        };
        within(limit, work).await
    }

    /// Takes a connection that another process dialed, giving up after `limit`. Both ends have
    /// shown that they hold the key when this returns; nothing longer is read before.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Forged`] when the other end has another key, [`WireError::Io`] or
    /// [`WireError::TimedOut`].
    pub async fn accept(mut stream: TcpStream, key: &ClusterKey, limit: Duration) -> Result<Self> {
        let work = async {
            let (own, other) = exchange_nonces(&mut stream).await?;
            let key = key.for_link(&other, &own);
            exchange_proofs(&mut stream, &key, FROM_ACCEPTOR, FROM_DIALER).await?;
            Ok(Self::new(stream, key, FROM_ACCEPTOR, FROM_DIALER))
        };
        within(limit, work).await
    }

    fn new(stream: TcpStream, key: TagKey, sends: u8, receives: u8) -> Self {
        let (read, write) = stream.into_split();
        Self {
            reader: LinkReader {
                frames: FramedRead::new(read, codec()),
                key: key.clone(),
                direction: receives,
                count: FIRST_FRAME,
            },
            writer: LinkWriter {
                frames: FramedWrite::new(write, codec()),
                key,
                direction: sends,
                count: FIRST_FRAME,
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

    /// Receives one message, giving up after `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::TimedOut`] and the errors of [`LinkReader::receive`].
    pub async fn receive(&mut self, limit: Duration) -> Result<Envelope> {
        within(limit, self.reader.receive()).await
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
    /// Returns [`WireError::Closed`] at the end of the link, [`WireError::Forged`] for a frame that
    /// was changed, left out or came twice, [`WireError::Malformed`], or [`WireError::Io`].
    pub async fn receive(&mut self) -> Result<Envelope> {
        let frame = match self.frames.next().await {
            Some(frame) => frame?,
            None => return Err(WireError::Closed),
        };
        let prefix = prefix(self.direction, self.count);
        let bytes = self.key.check(&prefix, &frame)?;
        self.count += 1;
        Ok(Envelope::decode(bytes)?)
    }
}

impl LinkWriter {
    /// Sends one message. When this is cancelled, the message is sent whole or not at all, and the
    /// link stays usable.
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
        poll_fn(|cx| self.frames().poll_ready(cx)).await?;
        let frame = self.frame(envelope, length);
        self.frames().start_send(frame)?;
        Ok(poll_fn(|cx| self.frames().poll_flush(cx)).await?)
    }

    /// Returns the frames as a sink of one type.
    fn frames(&mut self) -> Pin<&mut impl Sink<Bytes, Error = io::Error>> {
        Pin::new(&mut self.frames)
    }

    /// Writes the next frame. It must be sent, since it takes a number.
    fn frame(&mut self, envelope: &Envelope, length: usize) -> Bytes {
        let mut frame = Vec::with_capacity(length);
        frame.extend_from_slice(&[0; TAG_BYTES]);
        // Encoding into a vector cannot fail.
        let _ = envelope.encode(&mut frame);
        let prefix = prefix(self.direction, self.count);
        let tag = self.key.tag(&[&prefix, &frame[TAG_BYTES..]]);
        frame[..TAG_BYTES].copy_from_slice(&tag);
        self.count += 1;
        Bytes::from(frame)
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

fn prefix(direction: u8, count: u64) -> [u8; 9] {
    let mut prefix = [direction; 9];
    prefix[1..].copy_from_slice(&count.to_be_bytes());
    prefix
}

/// Sends a fresh random number and returns it with that of the other end.
async fn exchange_nonces(stream: &mut TcpStream) -> Result<(Nonce, Nonce)> {
    stream.set_nodelay(true)?;
    let own: Nonce = rand::random();
    let mut other = [0; NONCE_BYTES];
    stream.write_all(&own).await?;
    stream.read_exact(&mut other).await?;
    Ok((own, other))
}

/// Shows the other end that this one holds the key, and checks that the other end does.
async fn exchange_proofs(
    stream: &mut TcpStream,
    key: &TagKey,
    sends: u8,
    receives: u8,
) -> Result<()> {
    let mut other = [0; TAG_BYTES];
    stream.write_all(&key.tag(&[&prefix(sends, PROOF)])).await?;
    stream.read_exact(&mut other).await?;
    key.check(&prefix(receives, PROOF), &other)?;
    Ok(())
}

async fn within<T>(limit: Duration, work: impl Future<Output = Result<T>>) -> Result<T> {
    match timeout(limit, work).await {
        Ok(result) => result,
        Err(_) => Err(WireError::TimedOut),
    }
}
