//! Long-lived links between processes over TCP: authenticated frames in both directions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::envelope::Envelope;
use crate::fault::{Result, WireError};
use crate::key::{ClusterKey, TAG_BYTES};

/// The largest frame in bytes.
pub const FRAME_LIMIT: usize = 4 << 20;

/// The length in bytes of the random number that each end sends first.
const NONCE_BYTES: usize = 32;

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
    key: ClusterKey,
    direction: u8,
    count: u64,
}

/// The sending half of a link.
#[derive(Debug)]
pub struct LinkWriter {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    key: ClusterKey,
    direction: u8,
    count: u64,
}

/// Frames that the dialing end sends carry this byte under their tag.
const FROM_DIALER: u8 = 1;

/// Frames that the accepting end sends carry this byte under their tag.
const FROM_ACCEPTOR: u8 = 2;

impl Link {
    /// Connects to `peer`, giving up after `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Io`] or [`WireError::TimedOut`].
    pub async fn dial(peer: SocketAddr, key: &ClusterKey, limit: Duration) -> Result<Self> {
        let work = async {
            let mut stream = TcpStream::connect(peer).await?;
            let (own, other) = exchange_nonces(&mut stream).await?;
            let key = key.for_link(&own, &other);
            Ok(Self::new(stream, key, FROM_DIALER, FROM_ACCEPTOR))
        };
        within(limit, work).await
    }

    /// Takes a connection that another process dialed, giving up after `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Io`] or [`WireError::TimedOut`].
    pub async fn accept(mut stream: TcpStream, key: &ClusterKey, limit: Duration) -> Result<Self> {
        let work = async {
            let (own, other) = exchange_nonces(&mut stream).await?;
            let key = key.for_link(&other, &own);
            Ok(Self::new(stream, key, FROM_ACCEPTOR, FROM_DIALER))
        };
        within(limit, work).await
    }

    fn new(stream: TcpStream, key: ClusterKey, sends: u8, receives: u8) -> Self {
        let (read, write) = stream.into_split();
        Self {
            reader: LinkReader {
                frames: FramedRead::new(read, codec()),
                key: key.clone(),
                direction: receives,
                count: 0,
            },
            writer: LinkWriter {
                frames: FramedWrite::new(write, codec()),
                key,
                direction: sends,
                count: 0,
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
    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::Long`] or [`WireError::Io`].
    pub async fn send(&mut self, envelope: &Envelope) -> Result<()> {
        let length = TAG_BYTES + envelope.encoded_len();
        if length > FRAME_LIMIT {
            return Err(WireError::Long {
                length,
                limit: FRAME_LIMIT,
            });
        }
        let body = envelope.encode_to_vec();
        let tag = self.key.tag(&[&prefix(self.direction, self.count), &body]);
        self.count += 1;
        let mut frame = Vec::with_capacity(length);
        frame.extend_from_slice(&tag);
        frame.extend_from_slice(&body);
        Ok(self.frames.send(Bytes::from(frame)).await?)
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT)
        .new_codec()
}

fn prefix(direction: u8, count: u64) -> [u8; 9] {
    let mut prefix = [direction; 9];
    prefix[1..].copy_from_slice(&count.to_be_bytes());
    prefix
}

async fn exchange_nonces(stream: &mut TcpStream) -> Result<([u8; NONCE_BYTES], [u8; NONCE_BYTES])> {
    stream.set_nodelay(true)?;
    let own: [u8; NONCE_BYTES] = rand::random();
    let mut other = [0; NONCE_BYTES];
    stream.write_all(&own).await?;
    stream.read_exact(&mut other).await?;
    Ok((own, other))
}

async fn within<T>(limit: Duration, work: impl Future<Output = Result<T>>) -> Result<T> {
    match timeout(limit, work).await {
        Ok(result) => result,
        Err(_) => Err(WireError::TimedOut),
    }
}
