//! Callers on the fabric against an echo peer, with the fabric's faults in a table.

use std::io::ErrorKind;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::peer::{self, Peer};
use buckthornweir_standins::{Fabric, FabricConfig, FabricError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const SEED: u64 = 11;

fn config() -> FabricConfig {
    FabricConfig::new("127.0.0.1:0".parse().unwrap(), SEED)
}

/// Sends bytes to the service and returns what comes back until the end.
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
async fn bytes_come_back_whole_under_faults() {
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
        let peer = peer::start(Peer::Echo, balancers).await;
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
            peer.counts
                .iter()
                .all(|count| count.load(Ordering::Relaxed) > 0),
            "{case}: a balancer got no packet"
        );
        assert_eq!(fabric.counters().dropped > 0, loss > 0.0, "{case}");
    }
}

#[tokio::test]
async fn many_callers_get_their_own_bytes() {
    let peer = peer::start(Peer::Echo, 2).await;
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
async fn callers_have_addresses_of_their_own() {
    let peer = peer::start(Peer::Echo, 1).await;
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
async fn a_reset_is_seen_as_one() {
    let peer = peer::start(Peer::Reset, 1).await;
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
async fn failures_to_connect_have_a_type() {
    let limit = Duration::from_millis(50);
    for (peer, port, refused) in [(Peer::Echo, 81, true), (Peer::Deaf, 80, false)] {
        let peer = peer::start(peer, 1).await;
        let config = config().with_balancers(peer.addrs.clone());
        let config = if refused {
            config
        } else {
            config.with_connect_timeout(limit)
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
    let peer = peer::start(Peer::Echo, 1).await;
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
