//! Forwarding of datagrams and connections by the proxy under faults.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use buckthornweir_standins::{Plan, PlannedNode, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

/// Timeout for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a test waits to see that nothing arrives.
const QUIET_PERIOD: Duration = Duration::from_millis(100);

struct Harness {
    proxy: Proxy,
    one: PlannedNode,
    other: PlannedNode,
}

impl Harness {
    fn new() -> Self {
        let mut plan = Plan::new("00").with_announced();
        let one = plan.balancer("one", "gulberg");
        let other = plan.balancer("other", "johar");
        let proxy = Proxy::new();
        proxy.add(&one).unwrap();
        proxy.add(&other).unwrap();
        // The connections that this test dials count as those of `one`.
        proxy.set_process("one", std::process::id());
        Self { proxy, one, other }
    }

    /// Connects to `other` and returns both ends of the connection.
    async fn connect(&self, listener: &TcpListener) -> (TcpStream, TcpStream) {
        let dial = TcpStream::connect(self.other.links.announced);
        let (dialed, accepted) = tokio::join!(dial, listener.accept());
        (dialed.unwrap(), accepted.unwrap().0)
    }
}

async fn assert_delivered(from: &mut TcpStream, to: &mut TcpStream) {
    from.write_all(b"x").await.unwrap();
    assert_eq!(read_byte(to).await, b'x');
}

async fn assert_blocked(from: &mut TcpStream, to: &mut TcpStream) {
    from.write_all(b"x").await.unwrap();
    assert!(timeout(QUIET_PERIOD, to.read_u8()).await.is_err());
}

/// Returns how long to wait for an event.
fn wait_time(is_expected: bool) -> Duration {
    if is_expected {
        EVENT_TIMEOUT
    } else {
        QUIET_PERIOD
    }
}

async fn read_byte(to: &mut TcpStream) -> u8 {
    timeout(EVENT_TIMEOUT, to.read_u8()).await.unwrap().unwrap()
}

/// Each row has a step and whether a datagram passes in each direction after it.
#[tokio::test]
async fn datagrams_pass_only_in_directions_that_are_not_cut() {
    type Step = fn(&Proxy);
    let rows: [(&str, Step, bool, bool); 5] = [
        ("nothing", |_| {}, true, true),
        (
            "one way",
            |w| w.cut_one_way(&["one"], &["other"]),
            false,
            true,
        ),
        (
            "both directions",
            |w| w.cut(&["one"], &["other"]),
            false,
            false,
        ),
        ("healed", Proxy::heal, true, true),
        (
            "delay",
            |w| w.set_delay(Duration::from_millis(20)),
            true,
            true,
        ),
    ];
    let harness = Harness::new();
    let one = UdpSocket::bind(harness.one.gossip.bind).await.unwrap();
    let other = UdpSocket::bind(harness.other.gossip.bind).await.unwrap();
    let to_one = harness.one.gossip.announced;
    let to_other = harness.other.gossip.announced;
    for (case, step, there, back) in rows {
        step(&harness.proxy);
        let mut buffer = [0; 8];
        one.send_to(b"there", to_other).await.unwrap();
        let received = timeout(wait_time(there), other.recv_from(&mut buffer)).await;
        let from = received.ok().map(|received| received.unwrap().1);
        assert_eq!(from, there.then_some(to_one), "{case}, there");
        other.send_to(b"back", to_one).await.unwrap();
        let received = timeout(wait_time(back), one.recv_from(&mut buffer)).await;
        let from = received.ok().map(|received| received.unwrap().1);
        assert_eq!(from, back.then_some(to_other), "{case}, back");
    }
    assert_eq!(harness.proxy.hits(), 3);
}

/// Checks cuts of one direction and of both on an open connection.
#[tokio::test]
async fn bytes_of_open_connections_arrive_after_the_cut_ends() {
    let harness = Harness::new();
    let listener = TcpListener::bind(harness.other.links.bind).await.unwrap();
    let (mut one, mut other) = harness.connect(&listener).await;
    assert_delivered(&mut one, &mut other).await;
    assert_delivered(&mut other, &mut one).await;
    harness.proxy.cut_one_way(&["one"], &["other"]);
    assert_blocked(&mut one, &mut other).await;
    assert_delivered(&mut other, &mut one).await;
    harness.proxy.cut_one_way(&["other"], &["one"]);
    assert_blocked(&mut other, &mut one).await;
    harness.proxy.heal();
    assert_eq!(read_byte(&mut other).await, b'x');
    assert_eq!(read_byte(&mut one).await, b'x');
    drop(one);
    let mut rest = Vec::new();
    timeout(EVENT_TIMEOUT, other.read_to_end(&mut rest))
        .await
        .unwrap()
        .unwrap();
    assert!(rest.is_empty());
}

/// A cut of either direction alone is enough to hold back new connections.
#[tokio::test]
async fn connections_are_not_established_during_a_cut() {
    let harness = Harness::new();
    let listener = TcpListener::bind(harness.other.links.bind).await.unwrap();
    let directions: [(&[&str], &[&str]); 2] = [(&["one"], &["other"]), (&["other"], &["one"])];
    for (from, to) in directions {
        harness.proxy.cut_one_way(from, to);
        let dialed = TcpStream::connect(harness.other.links.announced).await;
        assert!(timeout(QUIET_PERIOD, listener.accept()).await.is_err());
        harness.proxy.heal();
        timeout(EVENT_TIMEOUT, listener.accept())
            .await
            .unwrap()
            .unwrap();
        drop(dialed);
    }
}

/// A silenced connection forwards neither bytes nor its close.
#[tokio::test]
async fn silenced_connections_stay_silent_while_new_ones_work() {
    let harness = Harness::new();
    let listener = TcpListener::bind(harness.other.links.bind).await.unwrap();
    let (mut one, mut other) = harness.connect(&listener).await;
    assert_delivered(&mut one, &mut other).await;
    harness.proxy.silence(&["one"], &["other"]);
    let (mut new_one, mut new_other) = harness.connect(&listener).await;
    assert_blocked(&mut one, &mut other).await;
    assert_blocked(&mut other, &mut one).await;
    assert_delivered(&mut new_one, &mut new_other).await;
    assert_delivered(&mut new_other, &mut new_one).await;
    drop(one);
    assert!(timeout(QUIET_PERIOD, other.read_u8()).await.is_err());
}
