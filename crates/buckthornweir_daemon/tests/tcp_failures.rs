//! A service whose bytes are relayed, under failure. Bytes are compared whole.

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
const PRESSES: &str = "10.100.0.9:9100";

/// The failure domains, one for each agent.
const DOMAINS: [&str; 2] = ["gulberg", "johar"];

/// How many bytes go one way in a test.
const BYTES: usize = 200_000;

/// How many bytes are sent at once.
const PIECE: usize = 2_000;

/// The pause after each piece, so that events fall between pieces.
const PAUSE: Duration = Duration::from_millis(15);

/// How long the fabric sends packets to a balancer that is gone.
const NOTICE: Duration = Duration::from_secs(1);

/// How long new flows may still go to an agent that is gone, draining or out.
const NEWS: Duration = Duration::from_secs(3);

/// Two agents in two failure domains, behind two balancers.
struct Presses {
    plan: Plan,
    _folder: TempDir,
    fabric: Fabric,
    control: Process,
    balancers: Vec<Process>,
    agents: Vec<Process>,
    _room: SemaphorePermit<'static>,
}

fn bundle(version: u64, out: &str) -> String {
    let mut text = format!("[bundle]\nversion = {version}\n");
    for domain in DOMAINS {
        let state = if domain == out { "out" } else { "in" };
        text += &format!("[domain {domain}]\nregion = lahore\nstate = {state}\n");
    }
    text += &format!("[service presses]\naddresses = {PRESSES}\nprotocol = tcp\n");
    text + &format!("domains = {}\n", DOMAINS.join(", "))
}

impl Presses {
    /// Starts as many agents as there are backend servers.
    async fn start(backends: &[SocketAddr]) -> Self {
        let room = deployment_permit().await;
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
        let presses = Self {
            plan,
            _folder: folder,
            fabric,
            control,
            balancers,
            agents,
            _room: room,
        };
        presses.push(1, "").await;
        presses.settle().await;
        presses
    }

    async fn push(&self, version: u64, out: &str) {
        let key = self.plan.cluster_key();
        let address = self.control.planned.control;
        wait_for("control", async || status(address, key).await.is_some()).await;
        let reply = push(address, key, signed(&bundle(version, out))).await;
        assert_eq!(reply.outcome(), PushOutcome::Accepted);
    }

    /// Waits until every process knows all others and has a bundle.
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

    /// Opens a flow, trying again while processes come up.
    async fn connect(&self) -> CallerStream {
        let service = PRESSES.parse().unwrap();
        let mut stream = None;
        wait_for("a flow", async || {
            stream = self.fabric.connect(service).await.ok();
            stream.is_some()
        })
        .await;
        stream.unwrap()
    }

    /// Opens a flow to an echo server and returns it with the number of its agent.
    async fn flow(&self, echoes: &[EchoBackend]) -> Flow {
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

    /// Opens flows until each agent has one.
    async fn flow_at_each(&self, echoes: &[EchoBackend]) -> [Flow; 2] {
        let mut flows = [None, None];
        while flows.iter().any(Option::is_none) {
            let flow = self.flow(echoes).await;
            let agent = flow.agent;
            flows[agent] = Some(flow);
        }
        flows.map(Option::unwrap)
    }
}

/// A flow whose backend server sends every byte back.
struct Flow {
    agent: usize,
    stream: CallerStream,
}

/// What came back of the bytes that were sent.
struct Echoed {
    got: Vec<u8>,
    /// The kind of the error that ended the flow early.
    broken: Option<ErrorKind>,
}

impl Echoed {
    fn assert_whole(&self, what: &str) {
        assert_eq!(self.broken, None, "{what}");
        assert!(self.got == numbers(), "{what}: bytes differ");
    }

    /// Checks that the flow was reset and that what came before is right.
    fn assert_reset(&self, what: &str) {
        assert_eq!(self.broken, Some(ErrorKind::ConnectionReset), "{what}");
        assert!(numbers().starts_with(&self.got), "{what}: bytes differ");
    }
}

/// Returns bytes that show what is missing, doubled or out of order.
fn numbers() -> Vec<u8> {
    let numbers = (0..BYTES as u32 / 4).flat_map(u32::to_be_bytes);
    numbers.collect()
}

/// Sends all bytes piece by piece, closes the way there, and reads until the way back ends.
async fn echo(stream: CallerStream, pause: Duration) -> Echoed {
    let (reader, writer) = tokio::io::split(stream);
    let send = tokio::spawn(send(writer, pause));
    let echoed = timeout(WAIT_TIMEOUT, receive(reader)).await.unwrap();
    let _writer = timeout(WAIT_TIMEOUT, send).await.unwrap().unwrap();
    echoed
}

async fn send(mut writer: WriteHalf<CallerStream>, pause: Duration) -> WriteHalf<CallerStream> {
    for piece in numbers().chunks(PIECE) {
        if writer.write_all(piece).await.is_err() {
            return writer;
        }
        tokio::time::sleep(pause).await;
    }
    writer.shutdown().await.unwrap();
    writer
}

async fn receive(mut reader: ReadHalf<CallerStream>) -> Echoed {
    let mut got = Vec::new();
    let ended = reader.read_to_end(&mut got).await;
    let broken = ended.err().map(|error| error.kind());
    Echoed { got, broken }
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

/// What happens while each agent has a flow at work. It concerns the first agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    BalancerKilled,
    AgentKilled,
    AgentDrained,
    DomainOut,
}

impl Event {
    /// Returns whether the first agent's flow breaks.
    fn breaks(self) -> bool {
        matches!(self, Self::AgentKilled | Self::DomainOut)
    }

    async fn happen(self, presses: &mut Presses) {
        match self {
            Self::BalancerKilled => {
                presses.balancers[0].kill();
                // Every other packet is lost until the fabric notices.
                tokio::time::sleep(NOTICE).await;
                let left = presses.balancers[1].planned.fabric;
                presses.fabric.set_balancers(left.into_iter().collect());
            }
            Self::AgentKilled => presses.agents[0].kill(),
            Self::AgentDrained => {
                let control = presses.agents[0].planned.control;
                let request = Request::Drain(DrainRequest {});
                let reply = ask(control, presses.plan.cluster_key(), request).await;
                assert!(matches!(reply, Some(Reply::Drain(reply)) if reply.draining));
            }
            Self::DomainOut => presses.push(2, DOMAINS[0]).await,
        }
    }
}

/// Lets the event happen in the middle of a flow at each agent, and checks the bytes of both and
/// where new flows go.
async fn run(event: Event) {
    let echoes = echoes().await;
    let mut presses = Presses::start(&addresses(&echoes)).await;
    let [first, second] = presses.flow_at_each(&echoes).await;
    let first = tokio::spawn(echo(first.stream, PAUSE));
    let second = tokio::spawn(echo(second.stream, PAUSE));
    tokio::time::sleep(20 * PAUSE).await;
    event.happen(&mut presses).await;
    let first = first.await.unwrap();
    second
        .await
        .unwrap()
        .assert_whole("the second agent's flow");
    if event.breaks() {
        first.assert_reset("the first agent's flow");
    } else {
        first.assert_whole("the first agent's flow");
    }
    tokio::time::sleep(NEWS).await;
    for _ in 0..4 {
        let flow = presses.flow(&echoes).await;
        assert!(event == Event::BalancerKilled || flow.agent == 1);
        let echoed = echo(flow.stream, Duration::ZERO).await;
        echoed.assert_whole("a new flow");
    }
}

/// A killed balancer is not noticed: every byte comes, in order and once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_killed_balancer_loses_no_byte() {
    run(Event::BalancerKilled).await;
}

/// A killed agent's flow is reset, that of the other agent goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_killed_agent_breaks_only_its_own_flow() {
    run(Event::AgentKilled).await;
}

/// A drained agent goes on with its flow and gets no new one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drained_agent_finishes_its_flow() {
    run(Event::AgentDrained).await;
}

/// The flow of a failure domain that is taken out is reset, and new ones go elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failure_domain_that_is_out_resets_its_flow() {
    run(Event::DomainOut).await;
}

/// What a backend server does with a connection.
#[derive(Clone, Copy, Debug)]
enum Script {
    /// Sends all bytes and closes.
    Closes,
    /// Sends all bytes, waits a while, and resets.
    Resets,
    /// Ends its way at once, and counts what comes.
    EndsFirst,
    /// Reads until the caller has ended its way, and then sends all bytes.
    AnswersLast,
}

/// Serves connections by `script`, and tells what came over each.
async fn serve(listener: TcpListener, script: Script, came: mpsc::Sender<Vec<u8>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let came = came.clone();
        tokio::spawn(async move {
            // Health checks close connections without reading.
            if let Ok(got) = follow(script, stream).await {
                let _ = came.send(got).await;
            }
        });
    }
}

async fn follow(script: Script, mut stream: TcpStream) -> std::io::Result<Vec<u8>> {
    let mut got = Vec::new();
    match script {
        Script::Closes => stream.write_all(&numbers()).await?,
        Script::Resets => {
            stream.write_all(&numbers()).await?;
            tokio::time::sleep(Duration::from_secs(1)).await;
            stream.set_zero_linger()?;
        }
        Script::EndsFirst => {
            stream.shutdown().await?;
            stream.read_to_end(&mut got).await?;
        }
        Script::AnswersLast => {
            stream.read_to_end(&mut got).await?;
            stream.write_all(&numbers()).await?;
        }
    }
    Ok(got)
}

/// A backend server closes, resets, or ends one way before the other: the caller sees the same, and
/// every byte comes both ways.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ends_of_connections_are_passed_on() {
    let reset = Some(ErrorKind::ConnectionReset);
    let rows = [
        // The script, whether the caller sends, how many bytes come, and how the flow ends.
        (Script::Closes, false, BYTES, None),
        (Script::Resets, false, BYTES, reset),
        (Script::EndsFirst, true, 0, None),
        (Script::AnswersLast, true, BYTES, None),
    ];
    for (script, sends, length, broken) in rows {
        let backend = free_tcp();
        let listener = TcpListener::bind(backend).await.unwrap();
        let (sender, mut came) = mpsc::channel(16);
        let server = tokio::spawn(serve(listener, script, sender));
        let presses = Presses::start(&[backend]).await;
        let stream = presses.connect().await;
        let (reader, writer) = tokio::io::split(stream);
        let writing = sends.then(|| tokio::spawn(send(writer, Duration::ZERO)));
        let got = timeout(WAIT_TIMEOUT, receive(reader)).await;
        let got = got.unwrap_or_else(|_| panic!("{script:?}: the flow does not end"));
        assert_eq!(got.broken, broken, "{script:?}");
        // A reset may overtake bytes.
        let is_whole = broken == reset || got.got.len() == length;
        assert!(is_whole, "{script:?}: {}", got.got.len());
        assert!(numbers().starts_with(&got.got), "{script:?}: bytes differ");
        let expected = if sends { numbers() } else { Vec::new() };
        // Health checks open connections too, and send nothing.
        let has_come = async { while came.recv().await.unwrap() != expected {} };
        let has_come = timeout(WAIT_TIMEOUT, has_come).await;
        assert!(has_come.is_ok(), "{script:?}: not all bytes came");
        drop(writing);
        server.abort();
    }
}
