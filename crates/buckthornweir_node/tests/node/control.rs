//! The control role: founding of the log, orders, reads and recovery.

use std::time::Duration;

use buckthornweir_node::prelude::*;

use crate::support::{RunningNode, TestNet, await_voters, newest_version, order, submit};

async fn start_five(net: TestNet, data: &std::path::Path) -> Vec<RunningNode> {
    let mut nodes = Vec::new();
    for host in 1..=5 {
        nodes.push(net.control(host, data, true).await);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    // The log may be founded by fewer VMs, if the others start late.
    await_voters(net, &nodes, &[1, 2, 3, 4, 5]).await;
    nodes
}

#[tokio::test]
async fn orders_survive_a_restart_of_all_nodes_with_two_lost_disks() {
    let (net, data) = (TestNet::claim(), tempfile::tempdir().unwrap());
    let mut nodes = start_five(net, data.path()).await;
    submit(&nodes.iter().collect::<Vec<_>>(), order(7)).await;
    submit(&nodes.iter().collect::<Vec<_>>(), order(9)).await;
    // An older version is accepted, but changes nothing.
    submit(&nodes.iter().collect::<Vec<_>>(), order(8)).await;
    assert_eq!(newest_version(&nodes.iter().collect::<Vec<_>>()).await, 9);

    // All nodes are killed, and two lose their data folders.
    for node in nodes.drain(..) {
        node.kill().await;
    }
    for host in ["1", "4"] {
        std::fs::remove_dir_all(data.path().join(host)).unwrap();
    }
    for host in 1..=5 {
        // A VM without data must not found a second log.
        nodes.push(net.control(host, data.path(), false).await);
    }
    let all: Vec<_> = nodes.iter().collect();
    assert_eq!(newest_version(&all).await, 9);
    submit(&all, order(10)).await;
    assert_eq!(newest_version(&all).await, 10);
}

#[tokio::test]
async fn minority_refuses_reads_and_orders() {
    let (net, data) = (TestNet::claim(), tempfile::tempdir().unwrap());
    let mut nodes = start_five(net, data.path()).await;
    submit(&nodes.iter().collect::<Vec<_>>(), order(3)).await;
    for node in nodes.drain(2..) {
        node.kill().await;
    }
    // No node may ever succeed, but a follower may name its former leader for some time.
    let all_refuse = async || {
        let mut all_unavailable = true;
        for node in &nodes {
            let read = node.handle.read().await;
            assert!(!matches!(read, ReadOutcome::Newest(_)), "{read:?}");
            let ordered = node.handle.order(order(4)).await;
            assert_ne!(ordered, OrderOutcome::Accepted);
            all_unavailable &=
                read == ReadOutcome::Unavailable && ordered == OrderOutcome::Unavailable;
        }
        all_unavailable
    };
    let mut consecutive = 0;
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    while consecutive < 20 {
        assert!(
            tokio::time::Instant::now() < deadline,
            "the nodes never report that no quorum can be reached"
        );
        consecutive = if all_refuse().await {
            consecutive + 1
        } else {
            0
        };
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn orders_take_a_failure_domain_out_and_bring_it_back() {
    let (net, data) = (TestNet::claim(), tempfile::tempdir().unwrap());
    let nodes = start_five(net, data.path()).await;
    let all: Vec<_> = nodes.iter().collect();
    submit(&all, order(3)).await;
    let domain = |out| Order::Domain {
        name: "even".into(),
        out,
    };
    let domains_out = async || loop {
        for node in &all {
            if let ReadOutcome::Newest(document) = node.handle.read().await {
                return document.domains_out;
            }
        }
    };
    submit(&all, domain(true)).await;
    submit(&all, domain(true)).await;
    assert_eq!(domains_out().await, ["even"]);
    submit(&all, domain(false)).await;
    assert!(domains_out().await.is_empty());
}

/// A new VM at another address replaces a lost one, after which the log tolerates two more losses.
#[tokio::test]
async fn lost_control_vm_is_replaced() {
    let (net, data) = (TestNet::claim(), tempfile::tempdir().unwrap());
    let mut nodes = start_five(net, data.path()).await;
    submit(&nodes.iter().collect::<Vec<_>>(), order(3)).await;
    nodes.remove(4).kill().await;
    nodes.push(net.control(6, data.path(), false).await);
    await_voters(net, &nodes, &[1, 2, 3, 4, 6]).await;
    submit(&nodes.iter().collect::<Vec<_>>(), order(4)).await;
    for _ in 0..2 {
        nodes.remove(0).kill().await;
    }
    submit(&nodes.iter().collect::<Vec<_>>(), order(5)).await;
    assert_eq!(newest_version(&nodes.iter().collect::<Vec<_>>()).await, 5);
}

/// Starts three control VMs and a fourth, which becomes the fourth voter.
async fn start_four(net: TestNet, data: &std::path::Path) -> Vec<RunningNode> {
    let mut nodes = Vec::new();
    for host in 1..=3 {
        nodes.push(net.control(host, data, true).await);
    }
    submit(&nodes.iter().collect::<Vec<_>>(), order(3)).await;
    nodes.push(net.control(4, data, false).await);
    await_voters(net, &nodes, &[1, 2, 3, 4]).await;
    nodes
}

/// Kills the second VM and starts it again with an emptied disk; the log must go on.
async fn check_lost_disk(net: TestNet, data: &std::path::Path, mut nodes: Vec<RunningNode>) {
    nodes.remove(1).kill().await;
    std::fs::remove_dir_all(data.join("2")).expect("the VM has data");
    nodes.push(net.control(2, data, false).await);
    let all: Vec<_> = nodes.iter().collect();
    assert_eq!(newest_version(&all).await, 4);
    submit(&all, order(5)).await;
}

/// Guards against a VM that stays a voter after its planned stop until it counts as silent: the loss
/// of a disk meanwhile would leave two of four voters, and the log would be lost for good.
#[tokio::test]
async fn log_survives_a_lost_disk_right_after_a_planned_stop() {
    let (net, data) = (TestNet::claim(), tempfile::tempdir().unwrap());
    let mut nodes = start_four(net, data.path()).await;
    nodes.remove(2).stop().await;
    submit(&nodes.iter().collect::<Vec<_>>(), order(4)).await;
    check_lost_disk(net, data.path(), nodes).await;
}

/// Guards against the same loss when the VM ends without a planned stop, so that it is still a voter:
/// two of four voters go on once the third is known to have lost its disk.
#[tokio::test]
async fn log_survives_a_lost_disk_right_after_an_abrupt_end() {
    let (net, data) = (TestNet::claim(), tempfile::tempdir().unwrap());
    let mut nodes = start_four(net, data.path()).await;
    submit(&nodes.iter().collect::<Vec<_>>(), order(4)).await;
    nodes.remove(2).kill().await;
    check_lost_disk(net, data.path(), nodes).await;
}
