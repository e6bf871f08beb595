//! Links over loopback with a process in the middle that alters what passes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_wire::prelude::*;
use buckthornweir_wire::{MAX_FRAME_BYTES, TAG_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// How long a step may take before a test fails.
const LIMIT: Duration = Duration::from_secs(20);

/// The length in bytes of what each end sends before the first frame.
const HANDSHAKE: usize = 32 + TAG_BYTES;

/// One frame with its length in front, as it travels.
type Frame = Vec<u8>;

/// What the process in the middle sends on in place of three frames of the dialer.
#[derive(Default)]
struct Altered {
    to_acceptor: Vec<u8>,
    to_dialer: Vec<u8>,
}

fn key(byte: u8) -> ClusterKey {
    ClusterKey::new([byte; 32])
}

fn message(from: u64) -> Envelope {
    Envelope::new(from, Body::Heartbeat(Heartbeat {}))
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn word(received: &Result<Envelope, WireError>) -> String {
    match received {
        Ok(envelope) => envelope.from.to_string(),
        Err(WireError::Forged) => "forged".into(),
        Err(WireError::Short { .. }) => "short".into(),
        Err(WireError::Malformed(_)) => "malformed".into(),
        Err(WireError::Closed) => "closed".into(),
        Err(WireError::TimedOut) => "timed out".into(),
        Err(WireError::Io(_)) => "connection".into(),
        Err(other) => other.to_string(),
    }
}

/// Accepts one link and lists what it receives, up to the first error.
async fn acceptor(listener: TcpListener) -> String {
    let (stream, _) = listener.accept().await.unwrap();
    let mut link = Link::accept(stream, &key(1), LIMIT).await.unwrap();
    let mut words = Vec::new();
    loop {
        let received = link.receive(LIMIT).await;
        words.push(word(&received));
        if received.is_err() {
            return words.join(" ");
        }
    }
}

/// Dials a link, sends three messages and returns what the first answer is.
async fn dialer(address: SocketAddr) -> String {
    let mut link = Link::dial(address, &key(1), LIMIT).await.unwrap();
    for from in 1..=3 {
        link.send(&message(from)).await.unwrap();
    }
    word(&link.receive(LIMIT).await)
}

async fn read_frame(stream: &mut TcpStream) -> Frame {
    let length = stream.read_u32().await.unwrap();
    let mut frame = length.to_be_bytes().to_vec();
    frame.resize(4 + usize::try_from(length).unwrap(), 0);
    stream.read_exact(&mut frame[4..]).await.unwrap();
    frame
}

/// Passes the handshake on unchanged, and `alter`s the frames.
async fn middle(listener: TcpListener, to: SocketAddr, alter: impl FnOnce(Vec<Frame>) -> Altered) {
    let (mut dialer, _) = listener.accept().await.unwrap();
    let mut acceptor = TcpStream::connect(to).await.unwrap();
    let (mut dialer_read, mut dialer_write) = dialer.split();
    let (mut acceptor_read, mut acceptor_write) = acceptor.split();
    let mut there = (&mut dialer_read).take(HANDSHAKE as u64);
    let mut back = (&mut acceptor_read).take(HANDSHAKE as u64);
    let (there, back) = tokio::join!(
        copy(&mut there, &mut acceptor_write),
        copy(&mut back, &mut dialer_write)
    );
    assert_eq!((there.unwrap(), back.unwrap()), (48, 48));
    let mut frames = Vec::new();
    for _ in 0..3 {
        frames.push(read_frame(&mut dialer).await);
    }
    let altered = alter(frames);
    acceptor.write_all(&altered.to_acceptor).await.unwrap();
    dialer.write_all(&altered.to_dialer).await.unwrap();
    acceptor.shutdown().await.unwrap();
    dialer.shutdown().await.unwrap();
}

/// Returns what the acceptor and the dialer received.
async fn through(alter: impl FnOnce(Vec<Frame>) -> Altered) -> (String, String) {
    let (own, address) = listener().await;
    let (between, entry) = listener().await;
    let work = async {
        let (received, answer, ()) = tokio::join!(
            acceptor(own),
            dialer(entry),
            middle(between, address, alter)
        );
        (received, answer)
    };
    timeout(LIMIT, work).await.unwrap()
}

fn to_acceptor(bytes: Vec<u8>) -> Altered {
    Altered {
        to_acceptor: bytes,
        ..Altered::default()
    }
}

#[tokio::test]
async fn what_the_middle_alters_is_noticed() {
    type Row = (&'static str, fn(Vec<Frame>) -> Vec<u8>, &'static str);
    let rows: [Row; 10] = [
        ("whole", |f| f.concat(), "1 2 3 closed"),
        ("nothing", |_| Vec::new(), "closed"),
        ("left out", |f| [&f[0][..], &f[2]].concat(), "1 forged"),
        ("first left out", |f| f[1..].concat(), "forged"),
        ("doubled", |f| [&f[0][..], &f[0]].concat(), "1 forged"),
        ("swapped", |f| [&f[1][..], &f[0]].concat(), "forged"),
        ("without a tag", |_| vec![0, 0, 0, 2, 8, 1], "short"),
        ("cut", |f| f[0][..f[0].len() - 1].to_vec(), "connection"),
        ("header cut", |f| [&f[0][..], &[0]].concat(), "1 connection"),
        (
            "oversize",
            |_| (MAX_FRAME_BYTES + 1).to_be_bytes()[4..].to_vec(),
            "connection",
        ),
    ];
    for (name, alter, expected) in rows {
        let (received, answer) = through(|frames| to_acceptor(alter(frames))).await;
        assert_eq!(received, expected, "{name}");
        assert_eq!(answer, "closed", "{name}");
    }
}

#[tokio::test]
async fn each_changed_byte_is_noticed() {
    // Bytes 0 to 3 are the length, which decides where the frame ends.
    for at in 4..(4 + TAG_BYTES + 4) {
        let change = |mut frames: Vec<Frame>| {
            frames[1][at] ^= 0x10;
            to_acceptor(frames.concat())
        };
        assert_eq!(through(change).await.0, "1 forged", "byte {at}");
    }
}

#[tokio::test]
async fn frames_are_worth_nothing_elsewhere() {
    let mut recorded = Vec::new();
    through(|frames| {
        recorded = frames.concat();
        to_acceptor(frames.concat())
    })
    .await;
    let (received, _) = through(|_| to_acceptor(recorded)).await;
    assert_eq!(received, "forged", "replayed from another link");
    let reflect = |frames: Vec<Frame>| Altered {
        to_dialer: frames.concat(),
        ..Altered::default()
    };
    let (received, answer) = through(reflect).await;
    assert_eq!(
        (received.as_str(), answer.as_str()),
        ("closed", "forged"),
        "reflected"
    );
}

/// What a stranger does on a connection in place of the handshake.
#[derive(Clone, Copy, Debug)]
enum Stranger {
    Silent,
    Closes,
    HalfNonce,
    NoProof,
    WrongProof,
    Reflects,
    Frames,
    OtherKey,
}

async fn be_stranger(mut stream: TcpStream, stranger: Stranger) -> usize {
    let mut seen = [0; HANDSHAKE];
    match stranger {
        Stranger::Silent => {}
        Stranger::Closes => return 0,
        Stranger::HalfNonce => stream.write_all(&[7; 16]).await.unwrap(),
        Stranger::NoProof => stream.write_all(&[7; 32]).await.unwrap(),
        Stranger::WrongProof => stream.write_all(&[7; HANDSHAKE]).await.unwrap(),
        Stranger::Frames => stream.write_all(&[0; 4 * HANDSHAKE]).await.unwrap(),
        Stranger::Reflects => {
            stream.read_exact(&mut seen[..32]).await.unwrap();
            stream.write_all(&seen[..32]).await.unwrap();
            stream.read_exact(&mut seen[32..]).await.unwrap();
            stream.write_all(&seen[32..]).await.unwrap();
        }
        Stranger::OtherKey => {
            let forged = Link::accept(stream, &key(2), LIMIT).await;
            assert!(matches!(forged, Err(WireError::Forged)));
            return 0;
        }
    }
    // A reset after unread bytes also ends what the stranger hears.
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    rest.len()
}

#[tokio::test]
async fn a_stranger_gets_no_link_and_no_answer() {
    let rows = [
        (Stranger::Silent, "timed out"),
        (Stranger::Closes, "connection"),
        (Stranger::HalfNonce, "timed out"),
        (Stranger::NoProof, "timed out"),
        (Stranger::WrongProof, "forged"),
        (Stranger::Reflects, "forged"),
        (Stranger::Frames, "forged"),
        (Stranger::OtherKey, "forged"),
    ];
    for (stranger, expected) in rows {
        let limit = if expected == "timed out" {
            Duration::from_millis(100)
        } else {
            LIMIT
        };
        let (own, address) = listener().await;
        let accepting = async {
            let (stream, _) = own.accept().await.unwrap();
            Link::accept(stream, &key(1), limit)
                .await
                .map(|_| message(0))
        };
        let strange = async {
            let stream = TcpStream::connect(address).await.unwrap();
            be_stranger(stream, stranger).await
        };
        let (accepted, heard) = tokio::join!(accepting, strange);
        assert_eq!(word(&accepted), expected, "accepting {stranger:?}");
        assert!(heard <= HANDSHAKE, "{stranger:?} heard {heard} bytes");
        let (own, address) = listener().await;
        let dialing = async {
            Link::dial(address, &key(1), limit)
                .await
                .map(|_| message(0))
        };
        let strange = async {
            let (stream, _) = own.accept().await.unwrap();
            be_stranger(stream, stranger).await
        };
        let (dialed, heard) = tokio::join!(dialing, strange);
        assert_eq!(word(&dialed), expected, "dialing {stranger:?}");
        assert!(heard <= HANDSHAKE, "{stranger:?} heard {heard} bytes");
    }
}

async fn pair() -> (Link, Link) {
    let (own, address) = listener().await;
    let accepting = async {
        let (stream, _) = own.accept().await.unwrap();
        Link::accept(stream, &key(1), LIMIT).await.unwrap()
    };
    let key = key(1);
    let (accepted, dialed) = tokio::join!(accepting, Link::dial(address, &key, LIMIT));
    (dialed.unwrap(), accepted)
}

#[tokio::test]
async fn silence_and_the_end_are_told_apart() {
    let (dialed, mut accepted) = pair().await;
    let silent = accepted.receive(Duration::from_millis(50)).await;
    assert_eq!(word(&silent), "timed out");
    drop(dialed);
    assert_eq!(word(&accepted.receive(LIMIT).await), "closed");
}

#[tokio::test]
async fn both_directions_carry_messages_and_large_ones_are_refused() {
    let (mut dialed, mut accepted) = pair().await;
    for from in 1..=3 {
        dialed.send(&message(from)).await.unwrap();
        accepted.send(&message(from + 10)).await.unwrap();
        assert_eq!(word(&accepted.receive(LIMIT).await), from.to_string());
        assert_eq!(word(&dialed.receive(LIMIT).await), (from + 10).to_string());
    }
    let large = Envelope::new(4, Body::Members(vec![0; MAX_FRAME_BYTES]));
    assert!(matches!(
        dialed.send(&large).await,
        Err(WireError::Long { .. })
    ));
    dialed.send(&message(5)).await.unwrap();
    assert_eq!(
        word(&accepted.receive(LIMIT).await),
        "5",
        "the link stays usable"
    );
}

#[tokio::test]
async fn a_cancelled_send_leaves_the_link_usable() {
    let (mut dialed, mut accepted) = pair().await;
    let large = |from| Envelope::new(from, Body::Members(vec![0; 1 << 20]));
    let mut cancelled = 0;
    for from in 0..30 {
        let sent = timeout(Duration::from_millis(5), dialed.send(&large(from))).await;
        cancelled += u32::from(sent.is_err());
    }
    assert!(cancelled > 1, "the connection's buffers fill up");
    let sending = async { dialed.send(&message(99)).await.unwrap() };
    let receiving = async {
        let mut last = None;
        while last != Some(99) {
            let from = accepted.receive(LIMIT).await.unwrap().from;
            assert!(last < Some(from), "{from} after {last:?}");
            last = Some(from);
        }
    };
    tokio::join!(sending, receiving);
}
