//! A flow from the caller to the backend server and back, while the processes between them change.

use std::time::{Duration, Instant};

use buckthornweir_forward::backend::ReportState;
use buckthornweir_forward::segment::Segment;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};
use tokio::task::JoinHandle;

use crate::support::{
    Caller, INNER, Net, OUTBOUND, PACKETS, Running, give, newest, order, report, until,
};

struct Path {
    net: Net,
    data: tempfile::TempDir,
    control: Vec<Running>,
    balancers: Vec<Running>,
    agents: Vec<Running>,
    servers: Vec<JoinHandle<()>>,
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
        servers: Vec::new(),
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
        path.servers.push(net.backend(host));
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

/// How long an agent is awaited whose backend server stays.
const AWAITED: Duration = Duration::from_secs(8);

/// A path with a third agent, 23, in the failure domain of 21.
async fn path_of_three(net: u8) -> Path {
    let mut path = path(net).await;
    path.net.backend(23);
    path.agents.push(path.net.agent(23).await);
    let third = &path.agents[2].handle;
    assert!(third.report(report(1, ReportState::Ready)).await);
    path
}

/// Opens five flows at agent 21. The balancer gives it flows once it has heard that it takes them.
async fn flows_of_21(path: &Path, caller: &Caller) -> Vec<(u16, Segment)> {
    let mut flows = Vec::new();
    for port in 1..10_000 {
        let opened = caller.open(path.net.ip(11), port).await;
        if opened.sequence == 21 << 16 {
            flows.push((port, opened));
        }
        if flows.len() == 5 {
            break;
        }
    }
    assert_eq!(flows.len(), 5, "the agent got flows");
    flows
}

#[tokio::test]
async fn flows_end_with_a_backend_server_that_crashed_before_its_agent_stopped() {
    let mut path = path_of_three(96).await;
    let caller = path.net.caller(31).await;
    let flows = flows_of_21(&path, &caller).await;
    path.servers.remove(0).abort();
    let began = Instant::now();
    path.agents.remove(0).stop().await;
    for (port, opened) in &flows {
        let answer = caller.request(path.net.ip(11), *port, opened).await;
        assert!(answer.rst);
    }
    assert!(began.elapsed() < AWAITED, "{:?}", began.elapsed());
}

/// After a loss of power the VM's agent is back, its backend server is not: what it held is gone.
#[tokio::test]
async fn flows_end_with_a_backend_server_that_is_not_back() {
    let mut path = path_of_three(97).await;
    let caller = path.net.caller(31).await;
    let flows = flows_of_21(&path, &caller).await;
    path.servers.remove(0).abort();
    path.agents.remove(0).kill().await;
    path.agents.push(path.net.agent(21).await);
    for (port, opened) in &flows {
        let answer = caller.request(path.net.ip(11), *port, opened).await;
        assert!(answer.rst);
    }
}

#[tokio::test]
async fn flows_outlive_a_long_planned_stop_of_their_agent() {
    let mut path = path_of_three(95).await;
    let caller = path.net.caller(31).await;
    let balancer = path.net.ip(11);
    let flows = flows_of_21(&path, &caller).await;
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

/// First bytes of messages between processes that name no address to answer to.
const MESSAGE_TAGS: [u8; 7] = [0x0a, 0x1a, 0x22, 0x3a, 0x42, 0x4a, 0x5a];

/// Returns bytes that mean nothing, half of them with the head of a message.
fn noise(rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = vec![0; rng.random_range(0..1_300)];
    rng.fill_bytes(&mut bytes);
    if let [tag, length, ..] = bytes.as_mut_slice()
        && rng.random_bool(0.5)
    {
        *tag = MESSAGE_TAGS[rng.random_range(0..MESSAGE_TAGS.len())];
        *length %= 64;
    }
    bytes
}

/// Malformed messages arrive at each listener of each process while it serves.
#[tokio::test]
async fn malformed_messages_end_no_process() {
    let path = path(95).await;
    let caller = path.net.caller(31).await;
    let balancer = path.net.ip(11);
    let opened = caller.open(balancer, 7).await;
    let mut rng = StdRng::seed_from_u64(95);
    let socket = UdpSocket::bind((path.net.ip(41), 0)).await;
    let socket = socket.expect("a working test set-up");
    for round in 0..150 {
        for host in [1, 2, 3, 11, 12, 21, 22] {
            for port in [INNER, PACKETS, OUTBOUND] {
                // Not every process listens at each port.
                let _ = socket
                    .send_to(&noise(&mut rng), (path.net.ip(host), port))
                    .await;
            }
            if round % 10 == 0 {
                let link = TcpStream::connect((path.net.ip(host), INNER)).await;
                let mut link = link.expect("the process listens");
                let bytes = noise(&mut rng);
                let length = u32::try_from(bytes.len()).expect("short");
                let length = if round % 20 == 0 { length } else { u32::MAX };
                link.write_all(&length.to_be_bytes())
                    .await
                    .expect("it reads");
                // The process may hang up at once.
                let _ = link.write_all(&bytes).await;
            }
        }
        let answer = caller.request(balancer, 7, &opened).await;
        assert_eq!(
            (answer.sequence, answer.rst),
            (opened.sequence, false),
            "round {round}"
        );
    }
    let control: Vec<_> = path.control.iter().collect();
    give(&control, order(2)).await;
    assert_eq!(newest(&control).await, 2);
}
