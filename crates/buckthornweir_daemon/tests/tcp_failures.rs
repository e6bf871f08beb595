//! A `tcp` service, whose bytes are relayed, during failures. The tests compare all bytes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_standins::free_tcp;
use buckthornweir_standins::prelude::*;
use buckthornweir_wire::{DrainRequest, PushOutcome, Reply, Request};
use support::deployment::deployment_permit;
use support::{Process, WAIT_TIMEOUT, alive, ask, plan, push, signed, status, wait_for};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{SemaphorePermit, mpsc};
use tokio::time::timeout;

/// The address of the service.
const SERVICE_ADDRESS: &str = "10.100.0.9:9100";

/// The failure domains, one for each agent.
const DOMAINS: [&str; 2] = ["gulberg", "johar"];

/// The number of bytes that a test sends in one direction.
const TOTAL_BYTES: usize = 200_000;

/// The number of bytes in one write.
const CHUNK_BYTES: usize = 2_000;

/// The delay after each chunk, so that events happen between chunks.
const CHUNK_DELAY: Duration = Duration::from_millis(15);

/// How long the fabric still sends packets to a killed balancer.
const FABRIC_DETECTION_DELAY: Duration = Duration::from_secs(1);

/// How long new flows may still go to an agent that is killed, draining or out.
const MEMBERSHIP_DELAY: Duration = Duration::from_secs(3);

/// Up to two agents in two failure domains, behind two balancers.
struct Cluster {
    plan: Plan,
    _folder: TempDir,
    fabric: Fabric,
    control: Process,
    balancers: Vec<Process>,
    agents: Vec<Process>,
    _permit: SemaphorePermit<'static>,
}

fn bundle(version: u64, out: &str) -> String {
    let mut text = format!("[bundle]\nversion = {version}\n");
    for domain in DOMAINS {
        let state = if domain == out { "out" } else { "in" };
        text += &format!("[domain {domain}]\nregion = lahore\nstate = {state}\n");
    }
    text += &format!("[service presses]\naddresses = {SERVICE_ADDRESS}\nprotocol = tcp\n");
    text + &format!("domains = {}\n", DOMAINS.join(", "))
}

impl Cluster {
    /// Starts one agent for each backend server.
    async fn start(backends: &[SocketAddr]) -> Self {
        let permit = deployment_permit().await;
        let mut plan = plan();
        let folder = tempfile::tempdir().unwrap();
        let bind = "127.0.0.1:0".parse().unwrap();
        let fabric = Fabric::start(FabricConfig::new(bind, 5)).await.unwrap();
        let data = folder.path().join("data");
        let control = Process::start(plan.control("control-1", DOMAINS[0], &data), &folder);
        let balancers: Vec<Process> = DOMAINS
            .iter()
            .map(|domain| plan.balancer(&format!("balancer-{domain}"), domain))
            .map(|planned| Process::start(planned, &folder))
            .collect();
        let mut agents = Vec::new();
        for (domain, backend) in DOMAINS.iter().zip(backends) {
            let name = format!("agent-{domain}");
            let planned = plan.agent(&name, domain, "presses", *backend, fabric.addr());
            agents.push(Process::start(planned, &folder));
        }
        let addresses = balancers.iter().filter_map(|b| b.planned.fabric);
        fabric.set_balancers(addresses.collect());
        let cluster = Self {
            plan,
            _folder: folder,
            fabric,
            control,
            balancers,
            agents,
            _permit: permit,
        };
        cluster.push(1, "").await;
        cluster.settle().await;
        cluster
    }

    async fn push(&self, version: u64, out: &str) {
        let key = self.plan.cluster_key();
        let address = self.control.planned.control;
        wait_for("control", async || status(address, key).await.is_some()).await;
        let reply = push(address, key, signed(&bundle(version, out))).await;
        assert_eq!(reply.outcome(), PushOutcome::Accepted);
    }

    /// Waits until every process knows all other processes and has a bundle.
    async fn settle(&self) {
        let key = self.plan.cluster_key();
        let all = || {
            let others = self.balancers.iter().chain(&self.agents);
            std::iter::once(&self.control).chain(others)
        };
        for process in all() {
            let address = process.planned.control;
            wait_for("the bundle", async || {
                status(address, key).await.is_some_and(|s| s.version > 0)
            })
            .await;
            let count = all().count();
            wait_for("all members", async || alive(address, key).await == count).await;
        }
    }

    /// Opens a flow, with retries until the processes are ready.
    async fn connect(&self) -> CallerStream {
        let service = SERVICE_ADDRESS.parse().unwrap();
        let mut stream = None;
        wait_for("a flow", async || {
            stream = self.fabric.connect(service).await.ok();
            stream.is_some()
        })
        .await;
        stream.unwrap()
    }

    /// Opens a flow to an echo server and identifies its agent by the banner.
    async fn open_echo_flow(&self, echoes: &[EchoBackend]) -> Flow {
        let mut stream = self.connect().await;
        let mut banner = vec![0; echoes[0].banner().len()];
        let read = stream.read_exact(&mut banner);
        timeout(WAIT_TIMEOUT, read).await.unwrap().unwrap();
        let agent = echoes.iter().position(|e| e.banner().as_bytes() == banner);
        Flow {
            agent: agent.unwrap(),
            stream,
        }
    }

    /// Opens flows until there is one at each agent.
    async fn flow_at_each_agent(&self, echoes: &[EchoBackend]) -> [Flow; 2] {
        let mut flows = [None, None];
        while flows.iter().any(Option::is_none) {
            let flow = self.open_echo_flow(echoes).await;
            let agent = flow.agent;
            flows[agent] = Some(flow);
        }
        flows.map(Option::unwrap)
    }
}

/// A flow whose backend server is an echo server.
struct Flow {
    agent: usize,
    stream: CallerStream,
}

/// The bytes that an echo server returned.
struct EchoResult {
    received: Vec<u8>,
    /// The kind of the error that ended the flow early.
    broken: Option<ErrorKind>,
}

impl EchoResult {
    fn assert_whole(&self, flow: &str) {
        assert_eq!(self.broken, None, "{flow}");
        assert!(self.received == test_bytes(), "{flow}: bytes differ");
    }

    /// Checks that the flow was reset and that the bytes before the reset are correct.
    fn assert_reset(&self, flow: &str) {
        assert_eq!(self.broken, Some(ErrorKind::ConnectionReset), "{flow}");
        assert!(
            test_bytes().starts_with(&self.received),
            "{flow}: bytes differ"
        );
    }
}

/// Returns test data in which missing, duplicated and reordered bytes are detected.
fn test_bytes() -> Vec<u8> {
    let test_bytes = (0..TOTAL_BYTES as u32 / 4).flat_map(u32::to_be_bytes);
    test_bytes.collect()
}

/// Sends all bytes in chunks, closes the sending direction, and reads to the end of the stream.
async fn echo(stream: CallerStream, chunk_delay: Duration) -> EchoResult {
    let (reader, writer) = tokio::io::split(stream);
    let send = tokio::spawn(send(writer, chunk_delay));
    let result = timeout(WAIT_TIMEOUT, receive(reader)).await.unwrap();
    let _writer = timeout(WAIT_TIMEOUT, send).await.unwrap().unwrap();
    result
}

async fn send(
    mut writer: WriteHalf<CallerStream>,
    chunk_delay: Duration,
) -> WriteHalf<CallerStream> {
    for chunk in test_bytes().chunks(CHUNK_BYTES) {
        if writer.write_all(chunk).await.is_err() {
            return writer;
        }
        tokio::time::sleep(chunk_delay).await;
    }
    writer.shutdown().await.unwrap();
    writer
}

async fn receive(mut reader: ReadHalf<CallerStream>) -> EchoResult {
    let mut received = Vec::new();
    let ended = reader.read_to_end(&mut received).await;
    let broken = ended.err().map(|error| error.kind());
    EchoResult { received, broken }
}

async fn echoes() -> Vec<EchoBackend> {
    let mut echoes = Vec::new();
    for number in 0..DOMAINS.len() {
        let name = format!("presses-{number}");
        let echo = EchoBackend::start(free_tcp(), &name, "presses").await;
        echoes.push(echo.unwrap());
    }
    echoes
}

fn addresses(echoes: &[EchoBackend]) -> Vec<SocketAddr> {
    echoes.iter().map(EchoBackend::addr).collect()
}

/// An event while each agent has an active flow. It affects the first agent or the first balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    BalancerKilled,
    AgentKilled,
    AgentDrained,
    DomainOut,
}

impl Event {
    /// Returns whether the event breaks the first agent's flow.
    fn breaks_flow(self) -> bool {
        matches!(self, Self::AgentKilled | Self::DomainOut)
    }

    async fn trigger(self, cluster: &mut Cluster) {
        match self {
            Self::BalancerKilled => {
                cluster.balancers[0].kill();
                // Half of the packets are lost until the fabric removes the balancer.
                tokio::time::sleep(FABRIC_DETECTION_DELAY).await;
                let left = cluster.balancers[1].planned.fabric;
                cluster.fabric.set_balancers(left.into_iter().collect());
            }
            Self::AgentKilled => cluster.agents[0].kill(),
            Self::AgentDrained => {
                let control = cluster.agents[0].planned.control;
                let request = Request::Drain(DrainRequest {});
                let reply = ask(control, cluster.plan.cluster_key(), request).await;
                assert!(matches!(reply, Some(Reply::Drain(reply)) if reply.draining));
            }
            Self::DomainOut => cluster.push(2, DOMAINS[0]).await,
        }
    }
}

/// Triggers the event while each agent has an active flow. Checks the bytes of both flows and the
/// agents of new flows.
async fn run(event: Event) {
    let echoes = echoes().await;
    let mut cluster = Cluster::start(&addresses(&echoes)).await;
    let [first, second] = cluster.flow_at_each_agent(&echoes).await;
    let first = tokio::spawn(echo(first.stream, CHUNK_DELAY));
    let second = tokio::spawn(echo(second.stream, CHUNK_DELAY));
    tokio::time::sleep(20 * CHUNK_DELAY).await;
    event.trigger(&mut cluster).await;
    let first = first.await.unwrap();
    second
        .await
        .unwrap()
        .assert_whole("the second agent's flow");
    if event.breaks_flow() {
        first.assert_reset("the first agent's flow");
    } else {
        first.assert_whole("the first agent's flow");
    }
    tokio::time::sleep(MEMBERSHIP_DELAY).await;
    for _ in 0..4 {
        let flow = cluster.open_echo_flow(&echoes).await;
        assert!(event == Event::BalancerKilled || flow.agent == 1);
        let result = echo(flow.stream, Duration::ZERO).await;
        result.assert_whole("a new flow");
    }
}

/// A killed balancer affects no flow: all bytes arrive exactly once and in order.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_byte_is_lost_when_a_balancer_is_killed() {
    run(Event::BalancerKilled).await;
}

/// The flow of a killed agent is reset, and the flow of the other agent continues.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn only_the_flow_of_a_killed_agent_is_reset() {
    run(Event::AgentKilled).await;
}

/// A drained agent keeps serving its flow and gets no new ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drained_agent_finishes_its_flow() {
    run(Event::AgentDrained).await;
}

/// The flow in a failure domain that is out is reset, and new flows go to the other domain.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn flow_is_reset_when_its_failure_domain_is_out() {
    run(Event::DomainOut).await;
}

/// The behaviour of a backend server on a connection.
#[derive(Clone, Copy, Debug)]
enum Script {
    /// Sends all bytes and closes.
    Closes,
    /// Sends all bytes, waits 1 s, and resets.
    Resets,
    /// Closes its sending direction at once and reads to the end.
    EndsFirst,
    /// Reads until the caller closes its sending direction, then sends all bytes.
    AnswersLast,
}

/// Serves connections according to `script` and reports the bytes received on each.
async fn serve(listener: TcpListener, script: Script, reports: mpsc::Sender<Vec<u8>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let reports = reports.clone();
        tokio::spawn(async move {
            // Health checks close connections without reading.
            if let Ok(received) = run_script(script, stream).await {
                let _ = reports.send(received).await;
            }
        });
    }
}

async fn run_script(script: Script, mut stream: TcpStream) -> std::io::Result<Vec<u8>> {
    let mut received = Vec::new();
    match script {
        Script::Closes => stream.write_all(&test_bytes()).await?,
        Script::Resets => {
            stream.write_all(&test_bytes()).await?;
            tokio::time::sleep(Duration::from_secs(1)).await;
            stream.set_zero_linger()?;
        }
        Script::EndsFirst => {
            stream.shutdown().await?;
            stream.read_to_end(&mut received).await?;
        }
        Script::AnswersLast => {
            stream.read_to_end(&mut received).await?;
            stream.write_all(&test_bytes()).await?;
        }
    }
    Ok(received)
}

/// The caller sees it when a backend server closes, resets or half-closes a connection, and all
/// bytes arrive in both directions.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn close_reset_and_half_close_reach_the_caller() {
    let reset = Some(ErrorKind::ConnectionReset);
    let rows = [
        // The script, whether the caller sends, the number of bytes it receives, and the error if
        // any.
        (Script::Closes, false, TOTAL_BYTES, None),
        (Script::Resets, false, TOTAL_BYTES, reset),
        (Script::EndsFirst, true, 0, None),
        (Script::AnswersLast, true, TOTAL_BYTES, None),
    ];
    for (script, sends, length, broken) in rows {
        let backend = free_tcp();
        let listener = TcpListener::bind(backend).await.unwrap();
        let (sender, mut reports) = mpsc::channel(16);
        let server = tokio::spawn(serve(listener, script, sender));
        let cluster = Cluster::start(&[backend]).await;
        let stream = cluster.connect().await;
        let (reader, writer) = tokio::io::split(stream);
        let writing = sends.then(|| tokio::spawn(send(writer, Duration::ZERO)));
        let result = timeout(WAIT_TIMEOUT, receive(reader)).await;
        let result = result.unwrap_or_else(|_| panic!("{script:?}: the flow does not end"));
        assert_eq!(result.broken, broken, "{script:?}");
        // A reset may discard bytes that have not been read.
        let is_whole = broken == reset || result.received.len() == length;
        assert!(is_whole, "{script:?}: {}", result.received.len());
        assert!(
            test_bytes().starts_with(&result.received),
            "{script:?}: bytes differ"
        );
        let expected = if sends { test_bytes() } else { Vec::new() };
        // Health checks open connections too, but send nothing.
        let all_received = async { while reports.recv().await.unwrap() != expected {} };
        let all_received = timeout(WAIT_TIMEOUT, all_received).await;
        assert!(all_received.is_ok(), "{script:?}: not all bytes arrived");
        drop(writing);
        server.abort();
    }
}
