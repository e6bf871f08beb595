//! A flow from the caller to the backend server and back, while the processes between them change.

use std::time::Duration;

use buckthornweir_forward::backend::ReportState;

use crate::support::{Net, Running, give, order, report, until};

struct Path {
    net: Net,
    data: tempfile::TempDir,
    control: Vec<Running>,
    balancers: Vec<Running>,
    agents: Vec<Running>,
}

/// Three control VMs (1 to 3), balancers 11 and 12, agents 21 and 22 with their backend servers.
async fn path(net: u8) -> Path {
    let (net, data) = (
        Net(net),
        tempfile::tempdir().expect("a working test set-up"),
    );
    let mut path = Path {
        net,
        control: Vec::new(),
        balancers: Vec::new(),
        agents: Vec::new(),
        data,
    };
    for host in 1..=3 {
        path.control
            .push(net.control(host, path.data.path(), true).await);
    }
    for host in [11, 12] {
        path.balancers.push(net.balancer(host).await);
    }
    for host in [21, 22] {
        net.backend(host);
        path.agents.push(net.agent(host).await);
    }
    give(&path.control.iter().collect::<Vec<_>>(), order(1)).await;
    for agent in &path.agents {
        assert!(agent.handle.report(report(1, ReportState::Ready)).await);
    }
    until("ready balancers", || {
        path.balancers.iter().all(|b| b.handle.is_ready())
    })
    .await;
    path
}

#[tokio::test]
async fn flows_stay_at_their_backend_server() {
    let mut path = path(91).await;
    let caller = path.net.caller(31).await;
    let (first, second) = (path.net.ip(11), path.net.ip(12));
    // Each balancer prefers the agent of its own failure domain, once it has heard that it takes flows.
    let mut flows = Vec::new();
    let mut holders = std::collections::BTreeSet::new();
    for port in (1..10_000).step_by(2) {
        for (port, balancer) in [(port, first), (port + 1, second)] {
            let opened = caller.open(balancer, port).await;
            assert!(!opened.rst);
            holders.insert(opened.sequence);
            flows.push((port, opened));
        }
        if holders.len() == 2 && flows.len() >= 20 {
            break;
        }
    }
    assert_eq!(holders.len(), 2, "both backend servers got flows");
    // The other balancer finds them too.
    for (port, opened) in &flows {
        let other = if port % 2 == 0 { second } else { first };
        let answer = caller.request(other, *port, opened).await;
        assert_eq!(answer.sequence, opened.sequence);
    }
    // A balancer restarts.
    path.balancers.remove(0).kill().await;
    path.balancers.push(path.net.balancer(11).await);
    // An agent restarts and has lost its flows.
    path.agents.remove(0).kill().await;
    path.agents.push(path.net.agent(21).await);
    path.agents[1]
        .handle
        .report(report(2, ReportState::Ready))
        .await;
    for (port, opened) in &flows {
        let answer = caller.request(first, *port, opened).await;
        assert_eq!((answer.sequence, answer.rst), (opened.sequence, false));
    }
}

/// Longer than it takes until the other processes hold a silent one as dead.
const LONG_STOP: Duration = Duration::from_secs(4);

#[tokio::test]
async fn flows_outlive_a_long_planned_stop_of_their_agent() {
    let mut path = path(95).await;
    path.net.backend(23);
    path.agents.push(path.net.agent(23).await);
    let third = &path.agents[2].handle;
    assert!(third.report(report(1, ReportState::Ready)).await);
    let caller = path.net.caller(31).await;
    let balancer = path.net.ip(11);
    // The balancer gives flows to the agent once it has heard that it takes them.
    let mut flows = Vec::new();
    for port in 1..10_000 {
        let opened = caller.open(balancer, port).await;
        if opened.sequence == 21 << 16 {
            flows.push((port, opened));
        }
        if flows.len() == 5 {
            break;
        }
    }
    assert_eq!(flows.len(), 5, "the agent got flows");
    path.agents.remove(0).stop().await;
    let back = async {
        tokio::time::sleep(LONG_STOP).await;
        let agent = path.net.agent(21).await;
        agent.handle.report(report(2, ReportState::Ready)).await;
        agent
    };
    let requests = async {
        for (port, opened) in &flows {
            let answer = caller.request(balancer, *port, opened).await;
            assert_eq!((answer.sequence, answer.rst), (opened.sequence, false));
        }
    };
    let (agent, ()) = tokio::join!(back, requests);
    path.agents.push(agent);
}

#[tokio::test]
async fn a_draining_backend_server_gets_no_new_flows_and_keeps_its_own() {
    let path = path(92).await;
    let caller = path.net.caller(31).await;
    let balancer = path.net.ip(11);
    let mut flows = Vec::new();
    for port in 1..=10 {
        flows.push((port, caller.open(balancer, port).await));
    }
    path.agents[0]
        .handle
        .report(report(2, ReportState::Draining))
        .await;
    for port in 101..=120 {
        let opened = caller.open(balancer, port).await;
        assert_eq!(opened.sequence, 22 << 16, "the other backend server");
    }
    for (port, opened) in &flows {
        let answer = caller.request(balancer, *port, opened).await;
        assert_eq!((answer.sequence, answer.rst), (opened.sequence, false));
    }
}

#[tokio::test]
async fn flows_go_on_while_control_is_gone() {
    let mut path = path(93).await;
    let caller = path.net.caller(31).await;
    let opened = caller.open(path.net.ip(11), 1).await;
    for node in path.control.drain(..) {
        node.kill().await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = caller.request(path.net.ip(11), 1, &opened).await;
    assert_eq!(answer.sequence, opened.sequence);
    assert!(!caller.open(path.net.ip(12), 2).await.rst);
}

#[tokio::test]
async fn a_route_that_is_unknown_is_refused_at_once() {
    let path = path(94).await;
    let caller = path.net.caller(31).await;
    path.agents[0]
        .handle
        .report(report(2, ReportState::Draining))
        .await;
    path.agents[1]
        .handle
        .report(report(2, ReportState::Draining))
        .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let refused = caller.open_any(path.net.ip(11), 5).await;
    assert!(refused.rst, "no backend server takes new flows");
}
