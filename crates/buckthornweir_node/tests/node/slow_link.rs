//! The load after a start of all VMs, when each balancer fetches a large plan over a slow link.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use buckthornweir_members::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

use crate::support::{PEER_PORT, TestNet, wait_until};

/// Time that the plan takes on the link.
const TRANSFER_TIME: Duration = Duration::from_millis(1_000);

/// Interval at which a simulated control VM that knows no other process introduces itself.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Number of parts in which the plan is sent.
const PLAN_PARTS: u32 = 20;

/// First bytes of the peer messages that the simulated control VMs read and write.
const MEMBERS: u8 = 0x0a;
const PLAN_REQUEST: u8 = 0x42;
const PLAN: u8 = 0x4a;
const ROSTER: u8 = 0x5a;

fn varint(mut number: usize, out: &mut Vec<u8>) {
    while number >= 128 {
        out.push(number as u8 | 128);
        number >>= 7;
    }
    out.push(number as u8);
}

fn field(tag: u8, bytes: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    varint(bytes.len(), &mut out);
    out.extend(bytes);
    out
}

/// The plan fetches that the simulated control VMs have observed.
#[derive(Default)]
struct Fetches {
    started: AtomicUsize,
    finished: AtomicUsize,
    first: OnceLock<Instant>,
}

/// Simulates a control VM, with the real membership core, that sends its plan slowly and announces
/// it if `announces` is set.
///
/// It introduces itself to `other`, since a process contacts silent seeds only at random.
async fn run_control(
    address: SocketAddr,
    domain: &str,
    announces: bool,
    other: SocketAddr,
    fetches: Arc<Fetches>,
) {
    let record = Record::new(
        u64::from(address.port()) + u64::from(announces),
        domain,
        address,
    )
    .with_roles(Roles::CONTROL | Roles::AGENT)
    .with_domain(domain)
    .with_service("desk")
    .with_incarnation(9)
    .with_state(MemberState::Ready);
    let config = Config::default().with_join_interval(JOIN_INTERVAL);
    let mut core = Members::new(config, record, vec![other], 3);
    if announces {
        let stamp = BundleStamp {
            version: 5,
            digest: [5; 32],
        };
        core.announce(Duration::ZERO, Announcement::Bundle(stamp));
    }
    let listener = TcpListener::bind(address)
        .await
        .expect("the address is in use");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, fetches.clone()));
        }
    });
    let socket = UdpSocket::bind(address)
        .await
        .expect("the address is in use");
    let (began, mut buffer) = (Instant::now(), [0; 2_048]);
    loop {
        let received = timeout(JOIN_INTERVAL, socket.recv_from(&mut buffer)).await;
        let now = began.elapsed();
        let actions = match received {
            Ok(received) => {
                let (length, from) = received.expect("receive failed");
                // A tag of one byte, then a length of one or two bytes.
                let skip = if buffer[1] < 128 { 2 } else { 3 };
                match (buffer[0], Message::decode(&buffer[skip..length])) {
                    (MEMBERS, Ok(message)) => core.handle(now, from, message),
                    _ => continue,
                }
            }
            Err(_) => core.tick(now),
        };
        for action in actions {
            if let Action::Send { to, message } = action {
                let bytes = field(MEMBERS, &message.encode());
                // The core retransmits lost messages.
                let _ = socket.send_to(&bytes, to).await;
            }
        }
    }
}

async fn serve_connection(mut stream: TcpStream, fetches: Arc<Fetches>) -> std::io::Result<()> {
    let length = stream.read_u32().await?;
    let mut request = vec![0; length as usize];
    stream.read_exact(&mut request).await?;
    if request.first() != Some(&PLAN_REQUEST) {
        let roster = field(ROSTER, &[]);
        stream.write_u32(roster.len() as u32).await?;
        return stream.write_all(&roster).await;
    }
    fetches.first.get_or_init(Instant::now);
    fetches.started.fetch_add(1, Ordering::Relaxed);
    // Revision 5, version 1, and a padded text that contains the version.
    let mut text = vec![b' '; 4_000];
    text[0] = b'1';
    let mut plan = vec![0x08, 5, 0x10, 1];
    plan.extend(field(0x1a, &text));
    let plan = field(PLAN, &plan);
    stream.write_u32(plan.len() as u32).await?;
    for part in plan.chunks(plan.len() / PLAN_PARTS as usize + 1) {
        stream.write_all(part).await?;
        stream.flush().await?;
        tokio::time::sleep(TRANSFER_TIME / PLAN_PARTS).await;
    }
    fetches.finished.fetch_add(1, Ordering::Relaxed);
    Ok(())
}

/// The control VM of the own failure domain is asked first. Its response begins at once, but takes
/// longer than the time limit for the first byte.
#[tokio::test]
async fn large_plan_is_fetched_only_once_over_a_slow_link() {
    let net = TestNet::claim();
    let fetches = Arc::new(Fetches::default());
    let peer_addr = |host| SocketAddr::from((net.ip(host), PEER_PORT));
    let local = run_control(peer_addr(1), "odd", false, peer_addr(11), fetches.clone());
    tokio::spawn(local);
    let balancer = net.balancer(11).await;
    // The control VM that announces the plan starts once the local one is known.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let remote = run_control(peer_addr(2), "even", true, peer_addr(11), fetches.clone());
    tokio::spawn(remote);
    wait_until("the plan", || balancer.handle.is_ready()).await;
    let took = fetches.first.get().map(Instant::elapsed);
    assert_eq!(fetches.started.load(Ordering::Relaxed), 1, "{took:?}");
    assert!(took < Some(TRANSFER_TIME * 2), "{took:?}");
    // The sender returns some milliseconds after its last part.
    let finished = || fetches.finished.load(Ordering::Relaxed) == 1;
    wait_until("the end of the only fetch", finished).await;
}
