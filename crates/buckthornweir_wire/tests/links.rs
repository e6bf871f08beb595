//! Links over loopback, through a proxy that tampers with frames and with unauthenticated peers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_wire::prelude::*;
use buckthornweir_wire::{MAX_FRAME_BYTES, TAG_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// The time limit of each step of a test.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The number of bytes that each end sends before the first frame: a nonce and a confirmation.
const HANDSHAKE_BYTES: usize = 32 + TAG_BYTES;

/// One encoded frame with its length prefix.
type Frame = Vec<u8>;

/// The bytes that the proxy sends to each end in place of the dialer's three frames.
#[derive(Default)]
struct Tampered {
    to_acceptor: Vec<u8>,
    to_dialer: Vec<u8>,
}

fn key(byte: u8) -> ClusterKey {
    ClusterKey::new([byte; 32])
}

fn message(from: u64) -> Envelope {
    Envelope::new(from, Body::Heartbeat(Heartbeat {}))
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn outcome(received: &Result<Envelope, WireError>) -> String {
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

/// Accepts one link and returns the outcomes of its receive calls up to the first error.
async fn acceptor(listener: TcpListener) -> String {
    let (stream, _) = listener.accept().await.unwrap();
    let mut link = Link::accept(stream, &key(1), TIMEOUT).await.unwrap();
    let mut outcomes = Vec::new();
    loop {
        let received = link.receive(TIMEOUT).await;
        outcomes.push(outcome(&received));
        if received.is_err() {
            return outcomes.join(" ");
        }
    }
}

/// Dials a link, sends three messages and returns the outcome of the first receive call.
async fn dialer(address: SocketAddr) -> String {
    let mut link = Link::dial(address, &key(1), TIMEOUT).await.unwrap();
    for from in 1..=3 {
        link.send(&message(from)).await.unwrap();
    }
    outcome(&link.receive(TIMEOUT).await)
}

async fn read_frame(stream: &mut TcpStream) -> Frame {
    let length = stream.read_u32().await.unwrap();
    let mut frame = length.to_be_bytes().to_vec();
    frame.resize(4 + usize::try_from(length).unwrap(), 0);
    stream.read_exact(&mut frame[4..]).await.unwrap();
    frame
}

/// Relays the handshake unchanged, and replaces the dialer's frames with the result of `tamper`.
async fn proxy(
    listener: TcpListener,
    target: SocketAddr,
    tamper: impl FnOnce(Vec<Frame>) -> Tampered,
) {
    let (mut dialer, _) = listener.accept().await.unwrap();
    let mut acceptor = TcpStream::connect(target).await.unwrap();
    let (mut dialer_read, mut dialer_write) = dialer.split();
    let (mut acceptor_read, mut acceptor_write) = acceptor.split();
    let mut upstream = (&mut dialer_read).take(HANDSHAKE_BYTES as u64);
    let mut downstream = (&mut acceptor_read).take(HANDSHAKE_BYTES as u64);
    let (upstream, downstream) = tokio::join!(
        copy(&mut upstream, &mut acceptor_write),
        copy(&mut downstream, &mut dialer_write)
    );
    assert_eq!((upstream.unwrap(), downstream.unwrap()), (48, 48));
    let mut frames = Vec::new();
    for _ in 0..3 {
        frames.push(read_frame(&mut dialer).await);
    }
    let tampered = tamper(frames);
    acceptor.write_all(&tampered.to_acceptor).await.unwrap();
    dialer.write_all(&tampered.to_dialer).await.unwrap();
    acceptor.shutdown().await.unwrap();
    dialer.shutdown().await.unwrap();
}

/// Runs an acceptor and a dialer through a tampering proxy, and returns what each received.
async fn send_through_proxy(tamper: impl FnOnce(Vec<Frame>) -> Tampered) -> (String, String) {
    let (listener, address) = listen().await;
    let (proxy_listener, proxy_address) = listen().await;
    let work = async {
        let (received, answer, ()) = tokio::join!(
            acceptor(listener),
            dialer(proxy_address),
            proxy(proxy_listener, address, tamper)
        );
        (received, answer)
    };
    timeout(TIMEOUT, work).await.unwrap()
}

fn to_acceptor(bytes: Vec<u8>) -> Tampered {
    Tampered {
        to_acceptor: bytes,
        ..Tampered::default()
    }
}

#[tokio::test]
async fn altered_frame_sequences_are_rejected() {
    type Row = (&'static str, fn(Vec<Frame>) -> Vec<u8>, &'static str);
    let rows: [Row; 10] = [
        ("whole", |f| f.concat(), "1 2 3 closed"),
        ("nothing", |_| Vec::new(), "closed"),
        ("dropped", |f| [&f[0][..], &f[2]].concat(), "1 forged"),
        ("first dropped", |f| f[1..].concat(), "forged"),
        ("duplicated", |f| [&f[0][..], &f[0]].concat(), "1 forged"),
        ("swapped", |f| [&f[1][..], &f[0]].concat(), "forged"),
        ("missing tag", |_| vec![0, 0, 0, 2, 8, 1], "short"),
        (
            "truncated",
            |f| f[0][..f[0].len() - 1].to_vec(),
            "connection",
        ),
        (
            "truncated header",
            |f| [&f[0][..], &[0]].concat(),
            "1 connection",
        ),
        (
            "oversize",
            |_| (MAX_FRAME_BYTES + 1).to_be_bytes()[4..].to_vec(),
            "connection",
        ),
    ];
    for (name, tamper, expected) in rows {
        let (received, answer) = send_through_proxy(|frames| to_acceptor(tamper(frames))).await;
        assert_eq!(received, expected, "{name}");
        assert_eq!(answer, "closed", "{name}");
    }
}

#[tokio::test]
async fn altered_bytes_fail_authentication() {
    // Bytes 0 to 3 are the length prefix, which sets the frame boundary and has no tag.
    for at in 4..(4 + TAG_BYTES + 4) {
        let change = |mut frames: Vec<Frame>| {
            frames[1][at] ^= 0x10;
            to_acceptor(frames.concat())
        };
        assert_eq!(send_through_proxy(change).await.0, "1 forged", "byte {at}");
    }
}

#[tokio::test]
async fn replayed_and_reflected_frames_are_rejected() {
    let mut recorded = Vec::new();
    send_through_proxy(|frames| {
        recorded = frames.concat();
        to_acceptor(frames.concat())
    })
    .await;
    let (received, _) = send_through_proxy(|_| to_acceptor(recorded)).await;
    assert_eq!(received, "forged", "replayed from another link");
    let reflect = |frames: Vec<Frame>| Tampered {
        to_dialer: frames.concat(),
        ..Tampered::default()
    };
    let (received, answer) = send_through_proxy(reflect).await;
    assert_eq!(
        (received.as_str(), answer.as_str()),
        ("closed", "forged"),
        "reflected"
    );
}

/// What an unauthenticated peer does instead of a valid handshake.
#[derive(Clone, Copy, Debug)]
enum RoguePeer {
    Silent,
    Closes,
    HalfNonce,
    NoConfirmation,
    WrongConfirmation,
    Reflects,
    Frames,
    OtherKey,
}

async fn run_rogue_peer(mut stream: TcpStream, peer: RoguePeer) -> usize {
    let mut seen = [0; HANDSHAKE_BYTES];
    match peer {
        RoguePeer::Silent => {}
        RoguePeer::Closes => return 0,
        RoguePeer::HalfNonce => stream.write_all(&[7; 16]).await.unwrap(),
        RoguePeer::NoConfirmation => stream.write_all(&[7; 32]).await.unwrap(),
        RoguePeer::WrongConfirmation => stream.write_all(&[7; HANDSHAKE_BYTES]).await.unwrap(),
        RoguePeer::Frames => stream.write_all(&[0; 4 * HANDSHAKE_BYTES]).await.unwrap(),
        RoguePeer::Reflects => {
            stream.read_exact(&mut seen[..32]).await.unwrap();
            stream.write_all(&seen[..32]).await.unwrap();
            stream.read_exact(&mut seen[32..]).await.unwrap();
            stream.write_all(&seen[32..]).await.unwrap();
        }
        RoguePeer::OtherKey => {
            let result = Link::accept(stream, &key(2), TIMEOUT).await;
            assert!(matches!(result, Err(WireError::Forged)));
            return 0;
        }
    }
    // Closing a socket with unread bytes resets the connection, so this read may also fail.
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    rest.len()
}

#[tokio::test]
async fn unauthenticated_peers_get_no_link_and_no_frames() {
    let rows = [
        (RoguePeer::Silent, "timed out"),
        (RoguePeer::Closes, "connection"),
        (RoguePeer::HalfNonce, "timed out"),
        (RoguePeer::NoConfirmation, "timed out"),
        (RoguePeer::WrongConfirmation, "forged"),
        (RoguePeer::Reflects, "forged"),
        (RoguePeer::Frames, "forged"),
        (RoguePeer::OtherKey, "forged"),
    ];
    for (peer, expected) in rows {
        let limit = if expected == "timed out" {
            Duration::from_millis(100)
        } else {
            TIMEOUT
        };
        let (listener, address) = listen().await;
        let accepting = async {
            let (stream, _) = listener.accept().await.unwrap();
            Link::accept(stream, &key(1), limit)
                .await
                .map(|_| message(0))
        };
        let rogue = async {
            let stream = TcpStream::connect(address).await.unwrap();
            run_rogue_peer(stream, peer).await
        };
        let (accepted, received) = tokio::join!(accepting, rogue);
        assert_eq!(outcome(&accepted), expected, "accepting {peer:?}");
        assert!(
            received <= HANDSHAKE_BYTES,
            "{peer:?} received {received} bytes"
        );
        let (listener, address) = listen().await;
        let dialing = async {
            Link::dial(address, &key(1), limit)
                .await
                .map(|_| message(0))
        };
        let rogue = async {
            let (stream, _) = listener.accept().await.unwrap();
            run_rogue_peer(stream, peer).await
        };
        let (dialed, received) = tokio::join!(dialing, rogue);
        assert_eq!(outcome(&dialed), expected, "dialing {peer:?}");
        assert!(
            received <= HANDSHAKE_BYTES,
            "{peer:?} received {received} bytes"
        );
    }
}

async fn pair() -> (Link, Link) {
    let (listener, address) = listen().await;
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        Link::accept(stream, &key(1), TIMEOUT).await.unwrap()
    };
    let key = key(1);
    let (accepted, dialed) = tokio::join!(accepting, Link::dial(address, &key, TIMEOUT));
    (dialed.unwrap(), accepted)
}

#[tokio::test]
async fn silent_link_times_out_and_dropped_link_is_closed() {
    let (dialed, mut accepted) = pair().await;
    let silent = accepted.receive(Duration::from_millis(50)).await;
    assert_eq!(outcome(&silent), "timed out");
    drop(dialed);
    assert_eq!(outcome(&accepted.receive(TIMEOUT).await), "closed");
}

#[tokio::test]
async fn links_carry_messages_both_ways_and_refuse_oversized_ones() {
    let (mut dialed, mut accepted) = pair().await;
    for from in 1..=3 {
        dialed.send(&message(from)).await.unwrap();
        accepted.send(&message(from + 10)).await.unwrap();
        assert_eq!(outcome(&accepted.receive(TIMEOUT).await), from.to_string());
        assert_eq!(
            outcome(&dialed.receive(TIMEOUT).await),
            (from + 10).to_string()
        );
    }
    let large = Envelope::new(4, Body::Members(vec![0; MAX_FRAME_BYTES]));
    assert!(matches!(
        dialed.send(&large).await,
        Err(WireError::Long { .. })
    ));
    dialed.send(&message(5)).await.unwrap();
    assert_eq!(
        outcome(&accepted.receive(TIMEOUT).await),
        "5",
        "the link should remain usable"
    );
}

#[tokio::test]
async fn cancelled_send_leaves_the_link_usable() {
    let (mut dialed, mut accepted) = pair().await;
    let large = |from| Envelope::new(from, Body::Members(vec![0; 1 << 20]));
    let mut cancelled = 0;
    for from in 0..30 {
        let sent = timeout(Duration::from_millis(5), dialed.send(&large(from))).await;
        cancelled += u32::from(sent.is_err());
    }
    assert!(cancelled > 1, "the socket buffers should fill up");
    let sending = async { dialed.send(&message(99)).await.unwrap() };
    let receiving = async {
        let mut last = None;
        while last != Some(99) {
            let from = accepted.receive(TIMEOUT).await.unwrap().from;
            assert!(last < Some(from), "{from} after {last:?}");
            last = Some(from);
        }
    };
    tokio::join!(sending, receiving);
}
