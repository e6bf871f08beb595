//! The wire between processes: what passes, what is lost, what waits.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use buckthornweir_standins::{Plan, PlannedNode, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

/// How long something that is to come may take.
const LIMIT: Duration = Duration::from_secs(10);

/// How long something that is not to come is waited for.
const WHILE: Duration = Duration::from_millis(100);

struct Ends {
    wire: Proxy,
    one: PlannedNode,
    other: PlannedNode,
}

impl Ends {
    fn new() -> Self {
        let mut plan = Plan::new("00").with_announced();
        let one = plan.balancer("one", "gulberg");
        let other = plan.balancer("other", "johar");
        let wire = Proxy::new();
        wire.add(&one).unwrap();
        wire.add(&other).unwrap();
        // This process dials as `one`.
        wire.set_process("one", std::process::id());
        Self { wire, one, other }
    }

    /// Dials `other` and returns both ends.
    async fn connect(&self, listener: &TcpListener) -> (TcpStream, TcpStream) {
        let dial = TcpStream::connect(self.other.links.announced);
        let (dialed, taken) = tokio::join!(dial, listener.accept());
        (dialed.unwrap(), taken.unwrap().0)
    }
}

async fn arrives(from: &mut TcpStream, to: &mut TcpStream) {
    from.write_all(b"x").await.unwrap();
    assert_eq!(waiting(to).await, b'x');
}

async fn is_held(from: &mut TcpStream, to: &mut TcpStream) {
    from.write_all(b"x").await.unwrap();
    assert!(timeout(WHILE, to.read_u8()).await.is_err());
}

/// Returns how long something is waited for.
fn limit(is_expected: bool) -> Duration {
    if is_expected { LIMIT } else { WHILE }
}

async fn waiting(to: &mut TcpStream) -> u8 {
    timeout(LIMIT, to.read_u8()).await.unwrap().unwrap()
}

/// What is to happen on the wire, and whether a datagram passes there and back afterwards.
#[tokio::test]
async fn datagrams_pass_by_the_rules() {
    type Step = fn(&Proxy);
    let rows: [(&str, Step, bool, bool); 5] = [
        ("nothing", |_| {}, true, true),
        (
            "one way",
            |w| w.cut_one_way(&["one"], &["other"]),
            false,
            true,
        ),
        ("both ways", |w| w.cut(&["one"], &["other"]), false, false),
        ("healed", Proxy::heal, true, true),
        (
            "delay",
            |w| w.set_delay(Duration::from_millis(20)),
            true,
            true,
        ),
    ];
    let ends = Ends::new();
    let one = UdpSocket::bind(ends.one.gossip.bind).await.unwrap();
    let other = UdpSocket::bind(ends.other.gossip.bind).await.unwrap();
    let to_one = ends.one.gossip.announced;
    let to_other = ends.other.gossip.announced;
    for (what, step, there, back) in rows {
        step(&ends.wire);
        let mut buffer = [0; 8];
        one.send_to(b"there", to_other).await.unwrap();
        let got = timeout(limit(there), other.recv_from(&mut buffer)).await;
        let from = got.ok().map(|got| got.unwrap().1);
        assert_eq!(from, there.then_some(to_one), "{what}, there");
        other.send_to(b"back", to_one).await.unwrap();
        let got = timeout(limit(back), one.recv_from(&mut buffer)).await;
        let from = got.ok().map(|got| got.unwrap().1);
        assert_eq!(from, back.then_some(to_other), "{what}, back");
    }
    assert_eq!(ends.wire.hits(), 3);
}

/// Bytes of an open connection wait for the end of a cut, one way or both.
#[tokio::test]
async fn bytes_wait_for_the_end_of_a_cut() {
    let ends = Ends::new();
    let listener = TcpListener::bind(ends.other.links.bind).await.unwrap();
    let (mut one, mut other) = ends.connect(&listener).await;
    arrives(&mut one, &mut other).await;
    arrives(&mut other, &mut one).await;
    ends.wire.cut_one_way(&["one"], &["other"]);
    is_held(&mut one, &mut other).await;
    arrives(&mut other, &mut one).await;
    ends.wire.cut_one_way(&["other"], &["one"]);
    is_held(&mut other, &mut one).await;
    ends.wire.heal();
    assert_eq!(waiting(&mut other).await, b'x');
    assert_eq!(waiting(&mut one).await, b'x');
    drop(one);
    let mut rest = Vec::new();
    timeout(LIMIT, other.read_to_end(&mut rest))
        .await
        .unwrap()
        .unwrap();
    assert!(rest.is_empty());
}

/// No connection comes up during a cut, whichever way it is.
#[tokio::test]
async fn no_connection_comes_up_during_a_cut() {
    let ends = Ends::new();
    let listener = TcpListener::bind(ends.other.links.bind).await.unwrap();
    let ways: [(&[&str], &[&str]); 2] = [(&["one"], &["other"]), (&["other"], &["one"])];
    for (from, to) in ways {
        ends.wire.cut_one_way(from, to);
        let dialed = TcpStream::connect(ends.other.links.announced).await;
        assert!(timeout(WHILE, listener.accept()).await.is_err());
        ends.wire.heal();
        timeout(LIMIT, listener.accept()).await.unwrap().unwrap();
        drop(dialed);
    }
}

/// Silenced connections carry nothing any more, not even their end; new ones work.
#[tokio::test]
async fn old_connections_are_silent_for_good_while_new_ones_work() {
    let ends = Ends::new();
    let listener = TcpListener::bind(ends.other.links.bind).await.unwrap();
    let (mut one, mut other) = ends.connect(&listener).await;
    arrives(&mut one, &mut other).await;
    ends.wire.silence(&["one"], &["other"]);
    let (mut new_one, mut new_other) = ends.connect(&listener).await;
    is_held(&mut one, &mut other).await;
    is_held(&mut other, &mut one).await;
    arrives(&mut new_one, &mut new_other).await;
    arrives(&mut new_other, &mut new_one).await;
    drop(one);
    assert!(timeout(WHILE, other.read_u8()).await.is_err());
}
