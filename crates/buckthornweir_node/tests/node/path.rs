//! Flows between callers and backend servers while balancers, agents and control VMs stop or
//! restart.

use std::time::{Duration, Instant};

use buckthornweir_forward::backend::ReportState;
use buckthornweir_forward::segment::Segment;
use buckthornweir_node::ReportOutcome;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};
use tokio::task::JoinHandle;

use crate::support::{
    Caller, OUTBOUND_PORT, PACKET_PORT, PEER_PORT, RunningNode, TestNet, newest_version, order,
    report, submit, wait_until,
};

struct Fixture {
    net: TestNet,
    data: tempfile::TempDir,
    control: Vec<RunningNode>,
    balancers: Vec<RunningNode>,
    agents: Vec<RunningNode>,
    servers: Vec<JoinHandle<()>>,
}

/// Starts control VMs 1 to 3, balancers 11 and 12, and agents 21 and 22 with their backend servers.
async fn start() -> Fixture {
    let (net, data) = (
        TestNet::claim(),
        tempfile::tempdir().expect("test setup failed"),
    );
    let mut fixture = Fixture {
        net,
        control: Vec::new(),
        balancers: Vec::new(),
        agents: Vec::new(),
        servers: Vec::new(),
        data,
    };
    for host in 1..=3 {
        fixture
            .control
            .push(net.control(host, fixture.data.path(), true).await);
    }
    for host in [11, 12] {
        fixture.balancers.push(net.balancer(host).await);
    }
    for host in [21, 22] {
        fixture.servers.push(net.backend(host));
        fixture.agents.push(net.agent(host).await);
    }
    submit(&fixture.control.iter().collect::<Vec<_>>(), order(1)).await;
    for agent in &fixture.agents {
        assert_eq!(
            agent.handle.report(report(1, ReportState::Ready)).await,
            ReportOutcome::Taken
        );
    }
    wait_until("ready balancers", || {
        fixture.balancers.iter().all(|b| b.handle.is_ready())
    })
    .await;
    fixture
}

#[tokio::test]
async fn flows_stay_at_their_backend_server() {
    let mut fixture = start().await;
    let caller = fixture.net.caller(31).await;
    let (first, second) = (fixture.net.ip(11), fixture.net.ip(12));
    // Each balancer prefers the agent of its own failure domain, once it has heard that the agent
    // accepts flows.
    let mut flows = Vec::new();
    let mut owners = std::collections::BTreeSet::new();
    for port in (1..10_000).step_by(2) {
        for (port, balancer) in [(port, first), (port + 1, second)] {
            let opened = caller.open(balancer, port).await;
            assert!(!opened.rst);
            owners.insert(opened.sequence);
            flows.push((port, opened));
        }
        if owners.len() == 2 && flows.len() >= 20 {
            break;
        }
    }
    assert_eq!(owners.len(), 2, "both backend servers got flows");
    // Packets through the other balancer reach the same backend server.
    for (port, opened) in &flows {
        let other = if port % 2 == 0 { second } else { first };
        let response = caller.request(other, *port, opened).await;
        assert_eq!(response.sequence, opened.sequence);
    }
    // A balancer restarts.
    fixture.balancers.remove(0).kill().await;
    fixture.balancers.push(fixture.net.balancer(11).await);
    // An agent restarts without its flow table.
    fixture.agents.remove(0).kill().await;
    fixture.agents.push(fixture.net.agent(21).await);
    fixture.agents[1]
        .handle
        .report(report(2, ReportState::Ready))
        .await;
    for (port, opened) in &flows {
        let response = caller.request(first, *port, opened).await;
        assert_eq!((response.sequence, response.rst), (opened.sequence, false));
    }
}

/// Longer than it takes until a silent process is considered dead.
const LONG_STOP: Duration = Duration::from_secs(4);

/// How long an agent that stopped as planned is awaited while its backend server keeps running.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Like [`start`], with a third agent, 23, in the failure domain of 21.
async fn start_with_third_agent() -> Fixture {
    let mut fixture = start().await;
    fixture.net.backend(23);
    fixture.agents.push(fixture.net.agent(23).await);
    let third = &fixture.agents[2].handle;
    assert_eq!(
        third.report(report(1, ReportState::Ready)).await,
        ReportOutcome::Taken
    );
    fixture
}

async fn open_flows_at_21(fixture: &Fixture, caller: &Caller) -> Vec<(u16, Segment)> {
    open_flows_at(21, fixture, caller).await
}

/// Opens five flows at an agent. The balancer assigns it flows only once it has heard that the
/// agent accepts them.
async fn open_flows_at(host: u32, fixture: &Fixture, caller: &Caller) -> Vec<(u16, Segment)> {
    let mut flows = Vec::new();
    for port in 1..10_000 {
        let opened = caller.open(fixture.net.ip(11), port).await;
        if opened.sequence == host << 16 {
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
async fn flows_are_reset_if_the_backend_server_crashed_before_its_agent_stopped() {
    let mut fixture = start_with_third_agent().await;
    let caller = fixture.net.caller(31).await;
    let flows = open_flows_at_21(&fixture, &caller).await;
    fixture.servers.remove(0).abort();
    let began = Instant::now();
    fixture.agents.remove(0).stop().await;
    for (port, opened) in &flows {
        let response = caller.request(fixture.net.ip(11), *port, opened).await;
        assert!(response.rst);
    }
    assert!(began.elapsed() < STOP_TIMEOUT, "{:?}", began.elapsed());
}

/// After a power failure the agent may return without its backend server, whose flows are then
/// lost.
#[tokio::test]
async fn flows_are_reset_if_the_agent_restarts_without_its_backend_server() {
    let mut fixture = start_with_third_agent().await;
    let caller = fixture.net.caller(31).await;
    let flows = open_flows_at_21(&fixture, &caller).await;
    fixture.servers.remove(0).abort();
    fixture.agents.remove(0).kill().await;
    fixture.agents.push(fixture.net.agent(21).await);
    for (port, opened) in &flows {
        let response = caller.request(fixture.net.ip(11), *port, opened).await;
        assert!(response.rst);
    }
}

/// Starts the agent again after a long stop, and checks that requests sent from the stop on are
/// answered on the flows that are open there.
async fn assert_flows_survive(
    fixture: &mut Fixture,
    caller: &Caller,
    host: u8,
    flows: &[(u16, Segment)],
) {
    let balancer = fixture.net.ip(11);
    let restart = async {
        tokio::time::sleep(LONG_STOP).await;
        let agent = fixture.net.agent(host).await;
        agent.handle.report(report(2, ReportState::Ready)).await;
        agent
    };
    let requests = async {
        for (port, opened) in flows {
            let response = caller.request(balancer, *port, opened).await;
            assert_eq!((response.sequence, response.rst), (opened.sequence, false));
        }
    };
    let (agent, ()) = tokio::join!(restart, requests);
    fixture.agents.push(agent);
}

#[tokio::test]
async fn flows_survive_a_long_planned_stop_of_their_agent() {
    let mut fixture = start_with_third_agent().await;
    let caller = fixture.net.caller(31).await;
    let flows = open_flows_at_21(&fixture, &caller).await;
    fixture.agents.remove(0).stop().await;
    assert_flows_survive(&mut fixture, &caller, 21, &flows).await;
}

/// Guards against resets by agents that were told, before the backend server of another one started,
/// that it had none. They went on believing this when that agent had flows and was stopped.
#[tokio::test]
async fn flows_survive_a_planned_stop_of_an_agent_that_once_had_no_backend_server() {
    let mut fixture = start().await;
    let caller = fixture.net.caller(31).await;
    let balancer = fixture.net.ip(11);
    fixture.agents.push(fixture.net.agent(23).await);
    let opened = caller.open(balancer, 20_000).await;
    // Agents 21 and 22 look up flows that nobody holds, and ask agent 23.
    for port in 20_001..20_020 {
        assert!(caller.request(balancer, port, &opened).await.rst);
    }
    fixture.servers.push(fixture.net.backend(23));
    let late = fixture.agents.pop().expect("there are three agents");
    late.handle.report(report(1, ReportState::Ready)).await;
    let flows = open_flows_at(23, &fixture, &caller).await;
    late.stop().await;
    assert_flows_survive(&mut fixture, &caller, 23, &flows).await;
}

/// Guards against an agent that announced at its planned stop that it had left for good, since the
/// reports of its backend server were overdue, so that others reset the flows still open there.
#[tokio::test]
async fn flows_survive_a_planned_stop_while_reports_are_overdue() {
    let mut fixture = start_with_third_agent().await;
    let caller = fixture.net.caller(31).await;
    let period = Duration::from_millis(700);
    fixture.agents.remove(0).stop().await;
    let agent = fixture.net.agent_with_reports(21, period).await;
    agent.handle.report(report(2, ReportState::Ready)).await;
    let reports = async {
        for sequence in 3.. {
            tokio::time::sleep(period).await;
            agent
                .handle
                .report(report(sequence, ReportState::Ready))
                .await;
        }
    };
    let flows = tokio::select! {
        flows = open_flows_at_21(&fixture, &caller) => flows,
        () = reports => unreachable!("reports have no end"),
    };
    tokio::time::sleep(period * 4).await;
    agent.stop().await;
    assert_flows_survive(&mut fixture, &caller, 21, &flows).await;
}

#[tokio::test]
async fn draining_backend_server_gets_no_new_flows_and_keeps_its_own() {
    let fixture = start().await;
    let caller = fixture.net.caller(31).await;
    let balancer = fixture.net.ip(11);
    let mut flows = Vec::new();
    for port in 1..=10 {
        flows.push((port, caller.open(balancer, port).await));
    }
    fixture.agents[0]
        .handle
        .report(report(2, ReportState::Draining))
        .await;
    for port in 101..=120 {
        let opened = caller.open(balancer, port).await;
        assert_eq!(
            opened.sequence,
            22 << 16,
            "the flow was not opened at the other backend server"
        );
    }
    for (port, opened) in &flows {
        let response = caller.request(balancer, *port, opened).await;
        assert_eq!((response.sequence, response.rst), (opened.sequence, false));
    }
}

#[tokio::test]
async fn flows_continue_without_control() {
    let mut fixture = start().await;
    let caller = fixture.net.caller(31).await;
    let opened = caller.open(fixture.net.ip(11), 1).await;
    for node in fixture.control.drain(..) {
        node.kill().await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let response = caller.request(fixture.net.ip(11), 1, &opened).await;
    assert_eq!(response.sequence, opened.sequence);
    assert!(!caller.open(fixture.net.ip(12), 2).await.rst);
}

#[tokio::test]
async fn flows_are_refused_while_all_backend_servers_are_draining() {
    let fixture = start().await;
    let caller = fixture.net.caller(31).await;
    fixture.agents[0]
        .handle
        .report(report(2, ReportState::Draining))
        .await;
    fixture.agents[1]
        .handle
        .report(report(2, ReportState::Draining))
        .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let refused = caller.try_open(fixture.net.ip(11), 5).await;
    assert!(refused.rst, "the flow was not refused");
}

/// First bytes of peer messages that contain no address to respond to.
const MESSAGE_TAGS: [u8; 7] = [0x0a, 0x1a, 0x22, 0x3a, 0x42, 0x4a, 0x5a];

/// Returns random bytes, which start with a message tag in half of the cases.
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

/// Guards against crashes by malformed messages, which are sent to each port of each process while a
/// flow is in use.
#[tokio::test]
async fn malformed_messages_stop_no_process() {
    let fixture = start().await;
    let caller = fixture.net.caller(31).await;
    let balancer = fixture.net.ip(11);
    let opened = caller.open(balancer, 7).await;
    let mut rng = StdRng::seed_from_u64(95);
    let socket = UdpSocket::bind((fixture.net.ip(41), 0)).await;
    let socket = socket.expect("test setup failed");
    for round in 0..150 {
        for host in [1, 2, 3, 11, 12, 21, 22] {
            for port in [PEER_PORT, PACKET_PORT, OUTBOUND_PORT] {
                // Not every process listens on each port.
                let _ = socket
                    .send_to(&noise(&mut rng), (fixture.net.ip(host), port))
                    .await;
            }
            if round % 10 == 0 {
                let stream = TcpStream::connect((fixture.net.ip(host), PEER_PORT)).await;
                let mut stream = stream.expect("the process does not listen");
                let bytes = noise(&mut rng);
                let length = u32::try_from(bytes.len()).expect("length exceeds u32");
                let length = if round % 20 == 0 { length } else { u32::MAX };
                stream
                    .write_all(&length.to_be_bytes())
                    .await
                    .expect("the process does not read");
                // The process may close the connection at once.
                let _ = stream.write_all(&bytes).await;
            }
        }
        let response = caller.request(balancer, 7, &opened).await;
        assert_eq!(
            (response.sequence, response.rst),
            (opened.sequence, false),
            "round {round}"
        );
    }
    let control: Vec<_> = fixture.control.iter().collect();
    submit(&control, order(2)).await;
    assert_eq!(newest_version(&control).await, 2);
}
