//! Connections of callers on the fabric, with and without packet faults.

use std::io::ErrorKind;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::peer::{self, Behavior};
use buckthornweir_standins::{Fabric, FabricConfig, FabricError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SEED: u64 = 11;

fn config() -> FabricConfig {
    FabricConfig::new("127.0.0.1:0".parse().unwrap(), SEED)
}

/// Sends bytes to the service and returns all bytes that it sends until it closes.
async fn echo(fabric: &Fabric, service: &str, sent: &[u8]) -> Vec<u8> {
    let stream = fabric.connect(service.parse().unwrap()).await.unwrap();
    let (mut reader, mut writer) = tokio::io::split(stream);
    let write = async {
        writer.write_all(sent).await.unwrap();
        writer.shutdown().await.unwrap();
    };
    let mut received = Vec::new();
    let (read, ()) = tokio::join!(reader.read_to_end(&mut received), write);
    read.unwrap();
    received
}

#[tokio::test]
async fn all_bytes_are_echoed_despite_loss_and_duplicates() {
    let cases = [
        ("no fault", 0.0, 0.0, "10.100.0.1:80", 3),
        ("loss", 0.03, 0.0, "10.100.0.1:80", 3),
        ("duplicates", 0.0, 0.3, "10.100.0.1:80", 3),
        ("both", 0.03, 0.3, "10.100.0.1:80", 3),
        ("one balancer", 0.0, 0.0, "10.100.0.1:80", 1),
        ("IPv6", 0.0, 0.0, "[fd00::1]:80", 3),
    ];
    let sent: Vec<u8> = (0..40_000u32).map(|index| (index % 251) as u8).collect();
    for (case, loss, duplicates, service, balancers) in cases {
        let peer = peer::start(Behavior::Echo, balancers).await;
        let config = config().with_balancers(peer.addrs.clone());
        let fabric = Fabric::start(config.with_loss(loss).with_duplicates(duplicates)).await;
        let fabric = fabric.unwrap();
        let received = echo(&fabric, service, &sent).await;
        assert!(
            received == sent,
            "{case}: {} of {} bytes",
            received.len(),
            sent.len()
        );
        assert!(
            peer.packet_counts
                .iter()
                .all(|count| count.load(Ordering::Relaxed) > 0),
            "{case}: a balancer received no packet"
        );
        assert_eq!(fabric.counters().dropped > 0, loss > 0.0, "{case}");
    }
}

#[tokio::test]
async fn concurrent_callers_receive_their_own_bytes() {
    let peer = peer::start(Behavior::Echo, 2).await;
    let fabric = Fabric::start(config().with_balancers(peer.addrs.clone()))
        .await
        .unwrap();
    let mut tasks = Vec::new();
    for number in 0..20 {
        let fabric = fabric.clone();
        tasks.push(tokio::spawn(async move {
            let sent = format!("caller {number}").into_bytes();
            assert_eq!(echo(&fabric, "10.100.0.1:80", &sent).await, sent);
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
}

#[tokio::test]
async fn callers_have_distinct_addresses() {
    let peer = peer::start(Behavior::Echo, 1).await;
    let fabric = Fabric::start(config().with_balancers(peer.addrs.clone()))
        .await
        .unwrap();
    let service = "10.100.0.1:80".parse().unwrap();
    let first = fabric.connect(service).await.unwrap();
    let second = fabric.connect(service).await.unwrap();
    assert_ne!(first.local_addr(), second.local_addr());
    assert_eq!(fabric.connections(), 2);
}

#[tokio::test]
async fn a_reset_by_the_peer_is_reported_as_connection_reset() {
    let peer = peer::start(Behavior::Reset, 1).await;
    let fabric = Fabric::start(config().with_balancers(peer.addrs.clone()))
        .await
        .unwrap();
    let mut stream = fabric
        .connect("10.100.0.1:80".parse().unwrap())
        .await
        .unwrap();
    stream.write_all(b"x").await.unwrap();
    let error = stream.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn refused_and_unanswered_connects_fail_with_distinct_errors() {
    let timeout = Duration::from_millis(50);
    for (behavior, port, refused) in [
        (Behavior::Echo, 81, true),
        (Behavior::Unresponsive, 80, false),
    ] {
        let peer = peer::start(behavior, 1).await;
        let config = config().with_balancers(peer.addrs.clone());
        let config = if refused {
            config
        } else {
            config.with_connect_timeout(timeout)
        };
        let fabric = Fabric::start(config).await.unwrap();
        let service = format!("10.100.0.1:{port}").parse().unwrap();
        let error = fabric.connect(service).await.err().unwrap();
        match error {
            FabricError::Refused(_) => assert!(refused),
            FabricError::TimedOut(_) => assert!(!refused),
            other => panic!("{other}"),
        }
    }
}

#[tokio::test]
async fn unacknowledged_bytes_time_out() {
    let peer = peer::start(Behavior::Echo, 1).await;
    let config = config().with_balancers(peer.addrs.clone());
    let fabric = Fabric::start(config.with_ack_timeout(Duration::from_millis(200)))
        .await
        .unwrap();
    let mut stream = fabric
        .connect("10.100.0.1:80".parse().unwrap())
        .await
        .unwrap();
    fabric.set_balancers(Vec::new());
    stream.write_all(b"x").await.unwrap();
    let error = stream.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}
