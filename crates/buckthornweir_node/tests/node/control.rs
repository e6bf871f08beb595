//! The control role: founding, orders, reads, and what survives.

use std::time::Duration;

use buckthornweir_node::prelude::*;

use crate::support::{Net, Running, give, newest, order};

async fn five(net: Net, data: &std::path::Path) -> Vec<Running> {
    let mut nodes = Vec::new();
    for host in 1..=5 {
        nodes.push(net.control(host, data, true).await);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    nodes
}

#[tokio::test]
async fn orders_survive_a_majority_and_their_disks() {
    let (net, data) = (Net(81), tempfile::tempdir().unwrap());
    let mut nodes = five(net, data.path()).await;
    give(&nodes.iter().collect::<Vec<_>>(), order(7)).await;
    give(&nodes.iter().collect::<Vec<_>>(), order(9)).await;
    // An older one is accepted and changes nothing.
    give(&nodes.iter().collect::<Vec<_>>(), order(8)).await;
    assert_eq!(newest(&nodes.iter().collect::<Vec<_>>()).await, 9);

    // All are killed; two lose their disks.
    for node in nodes.drain(..) {
        node.kill().await;
    }
    for host in ["1", "4"] {
        std::fs::remove_dir_all(data.path().join(host)).unwrap();
    }
    for host in 1..=5 {
        // A VM with an empty disk may not found a second log.
        nodes.push(net.control(host, data.path(), false).await);
    }
    let all: Vec<_> = nodes.iter().collect();
    assert_eq!(newest(&all).await, 9);
    give(&all, order(10)).await;
    assert_eq!(newest(&all).await, 10);
}

#[tokio::test]
async fn a_minority_neither_reads_nor_takes_orders() {
    let (net, data) = (Net(82), tempfile::tempdir().unwrap());
    let mut nodes = five(net, data.path()).await;
    give(&nodes.iter().collect::<Vec<_>>(), order(3)).await;
    for node in nodes.drain(2..) {
        node.kill().await;
    }
    // At no time does one of them answer; for a while a follower may still name the leader that it had.
    let refused = async || {
        let mut all_know = true;
        for node in &nodes {
            let read = node.handle.read().await;
            assert!(!matches!(read, ReadOutcome::Newest(_)), "{read:?}");
            let taken = node.handle.order(order(4)).await;
            assert_ne!(taken, OrderOutcome::Accepted);
            all_know &= read == ReadOutcome::Unavailable && taken == OrderOutcome::Unavailable;
        }
        all_know
    };
    let mut in_a_row = 0;
    let limit = tokio::time::Instant::now() + Duration::from_secs(20);
    while in_a_row < 20 {
        assert!(
            tokio::time::Instant::now() < limit,
            "they never say that they can't"
        );
        in_a_row = if refused().await { in_a_row + 1 } else { 0 };
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_failure_domain_goes_out_and_comes_back() {
    let (net, data) = (Net(83), tempfile::tempdir().unwrap());
    let nodes = five(net, data.path()).await;
    let all: Vec<_> = nodes.iter().collect();
    give(&all, order(3)).await;
    let domain = |out| Order::Domain {
        name: "even".into(),
        out,
    };
    let domains = async || loop {
        for node in &all {
            if let ReadOutcome::Newest(document) = node.handle.read().await {
                return document.domains_out;
            }
        }
    };
    give(&all, domain(true)).await;
    give(&all, domain(true)).await;
    assert_eq!(domains().await, ["even"]);
    give(&all, domain(false)).await;
    assert!(domains().await.is_empty());
}

/// A VM that is gone for good makes room for one at another address, and the log bears two more losses.
#[tokio::test]
async fn a_lost_control_vm_is_replaced() {
    let (net, data) = (Net(84), tempfile::tempdir().unwrap());
    let mut nodes = five(net, data.path()).await;
    give(&nodes.iter().collect::<Vec<_>>(), order(3)).await;
    nodes.remove(4).kill().await;
    nodes.push(net.control(6, data.path(), false).await);
    tokio::time::sleep(Duration::from_secs(5)).await;
    give(&nodes.iter().collect::<Vec<_>>(), order(4)).await;
    for _ in 0..2 {
        nodes.remove(0).kill().await;
    }
    give(&nodes.iter().collect::<Vec<_>>(), order(5)).await;
    assert_eq!(newest(&nodes.iter().collect::<Vec<_>>()).await, 5);
}
