//! The load right after a start of all VMs: each balancer fetches a large plan over a small link.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use buckthornweir_members::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

use crate::support::{INNER, Net, until};

/// How long the plan takes on the link.
const TRANSFER: Duration = Duration::from_millis(1_000);

/// How often a stand-in that knows nobody greets the process under test.
const GREETING: Duration = Duration::from_millis(100);

/// Parts in which the plan arrives.
const PARTS: u32 = 20;

/// First bytes of the messages between processes that the stand-in reads and writes.
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

/// What the stand-ins saw of fetches of plans.
#[derive(Default)]
struct Fetches {
    begun: AtomicUsize,
    whole: AtomicUsize,
    first: OnceLock<Instant>,
}

/// A control VM that speaks membership by the real core, announces a plan or not, and gives one slowly. It
/// greets `other` by itself: the seeds that a process has not heard are contacted by chance.
async fn control(
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
    let config = Config::default().with_join_interval(GREETING);
    let mut core = Members::new(config, record, vec![other], 3);
    if announces {
        let stamp = BundleStamp {
            version: 5,
            digest: [5; 32],
        };
        core.announce(Duration::ZERO, Announcement::Bundle(stamp));
    }
    let listener = TcpListener::bind(address).await.expect("a free address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, fetches.clone()));
        }
    });
    let socket = UdpSocket::bind(address).await.expect("a free address");
    let (began, mut buffer) = (Instant::now(), [0; 2_048]);
    loop {
        let received = timeout(GREETING, socket.recv_from(&mut buffer)).await;
        let now = began.elapsed();
        let actions = match received {
            Ok(received) => {
                let (length, from) = received.expect("a bound socket");
                // One byte of tag, and one or two of length.
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
                // A lost datagram is sent again.
                let _ = socket.send_to(&bytes, to).await;
            }
        }
    }
}

async fn answer(mut stream: TcpStream, fetches: Arc<Fetches>) -> std::io::Result<()> {
    let length = stream.read_u32().await?;
    let mut request = vec![0; length as usize];
    stream.read_exact(&mut request).await?;
    if request.first() != Some(&PLAN_REQUEST) {
        let roster = field(ROSTER, &[]);
        stream.write_u32(roster.len() as u32).await?;
        return stream.write_all(&roster).await;
    }
    fetches.first.get_or_init(Instant::now);
    fetches.begun.fetch_add(1, Ordering::Relaxed);
    // Revision 5, version 1, and a text that names the version and is padded.
    let mut text = vec![b' '; 4_000];
    text[0] = b'1';
    let mut plan = vec![0x08, 5, 0x10, 1];
    plan.extend(field(0x1a, &text));
    let plan = field(PLAN, &plan);
    stream.write_u32(plan.len() as u32).await?;
    for part in plan.chunks(plan.len() / PARTS as usize + 1) {
        stream.write_all(part).await?;
        stream.flush().await?;
        tokio::time::sleep(TRANSFER / PARTS).await;
    }
    fetches.whole.fetch_add(1, Ordering::Relaxed);
    Ok(())
}

/// The near control VM is asked first; its answer begins at once, and takes longer than it may take to begin.
#[tokio::test]
async fn a_large_plan_is_fetched_once_although_its_link_is_small() {
    let net = Net(96);
    let fetches = Arc::new(Fetches::default());
    let at = |host| SocketAddr::from((net.ip(host), INNER));
    let near = control(at(1), "odd", false, at(11), fetches.clone());
    tokio::spawn(near);
    let balancer = net.balancer(11).await;
    // The one that announces the plan is heard when the near one is known.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let far = control(at(2), "even", true, at(11), fetches.clone());
    tokio::spawn(far);
    until("the plan", || balancer.handle.is_ready()).await;
    let took = fetches.first.get().map(Instant::elapsed);
    assert_eq!(fetches.begun.load(Ordering::Relaxed), 1, "{took:?}");
    assert!(took < Some(TRANSFER * 2), "{took:?}");
    // The stand-in ends some milliseconds after its last part.
    let whole = || fetches.whole.load(Ordering::Relaxed) == 1;
    until("the end of the only fetch", whole).await;
}
