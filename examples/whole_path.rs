//! Runs all roles in one process, with simulated callers and backend servers.
//!
//! Callers of two services send requests for a few seconds through two balancers and five agents;
//! every packet goes to a random balancer. At the end, tables show the callers' results and the load of
//! each backend server.
//!
//! ```text
//! cargo run --release --example whole_path
//! ```

use std::collections::BTreeMap;
use std::error::Error;
use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use buckthornweir::bundle::{Bundle, SignedBundle, SigningKey};
use buckthornweir::daemon::{Node, Settings};
use buckthornweir::settings::value;
use buckthornweir::wire::{
    Body, ClusterKey, Envelope, Link, OperatorMessage, PushOutcome, PushRequest, Reply, Request,
};
use buckthornweir_standins::free_tcp;
use buckthornweir_standins::prelude::*;

const BUNDLE: &str = "
[bundle]
version = 1
[domain fj-west-a]
region = fj-west
[domain fj-west-b]
region = fj-west
[domain fj-west-c]
region = fj-west
[service orders]
addresses = 10.100.0.1:80
domains = fj-west-a, fj-west-b, fj-west-c
[service sheets]
addresses = 10.100.0.2:80
domains = fj-west-a, fj-west-b
";

/// Backend servers: name, service and failure domain.
const BACKENDS: [(&str, &str, &str); 5] = [
    ("orders-1", "orders", "fj-west-a"),
    ("orders-2", "orders", "fj-west-b"),
    ("orders-3", "orders", "fj-west-c"),
    ("sheets-1", "sheets", "fj-west-a"),
    ("sheets-2", "sheets", "fj-west-b"),
];

const ADDRESSES: [(&str, &str); 2] = [("orders", "10.100.0.1:80"), ("sheets", "10.100.0.2:80")];

/// Number of callers per service.
const CALLERS: usize = 20;

/// How long callers send requests.
const RUN_PERIOD: Duration = Duration::from_secs(5);

/// Pause of a caller between two requests.
const REQUEST_DELAY: Duration = Duration::from_millis(20);

/// Timeout of each step of the start: connecting, pushing the bundle, and reaching every process.
const START_TIMEOUT: Duration = Duration::from_secs(20);

type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// Results of one caller, or of all callers of a service.
#[derive(Default)]
struct CallerStats {
    succeeded: usize,
    refused: usize,
    failed: usize,
    wrong: usize,
    latencies: Vec<Duration>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let key = SigningKey::generate();
    let mut plan = Plan::new(value::to_hex(&key.public()));
    let data = std::env::temp_dir().join(format!("buckthornweir-{}", std::process::id()));
    let backends = start_backends().await?;
    let fabric = Fabric::start(FabricConfig::new("127.0.0.1:0".parse()?, 1)).await?;
    let fabric = Arc::new(fabric);
    let planned = plan_nodes(&mut plan, &backends, fabric.addr(), &data);
    fabric.set_balancers(planned.iter().filter_map(|p| p.fabric).collect());
    let mut nodes = Vec::new();
    for node in &planned {
        nodes.push(Node::start(Settings::parse(&node.name, &node.settings)?).await?);
    }
    push(&planned[0], &plan, &key).await?;
    wait_for_bundle(&nodes).await?;
    println!("{} roles are running; starting callers", nodes.len());
    let stats = run_callers(&fabric).await?;
    print_callers(&stats);
    print_backends(&backends);
    for node in &nodes {
        node.stop_now();
    }
    std::fs::remove_dir_all(&data)?;
    Ok(())
}

async fn start_backends() -> Result<Vec<Backend>> {
    let mut backends = Vec::new();
    for (name, service, _) in BACKENDS {
        backends.push(Backend::start(BackendConfig::new(free_tcp(), name, service)).await?);
    }
    Ok(backends)
}

fn plan_nodes(
    plan: &mut Plan,
    backends: &[Backend],
    fabric: SocketAddr,
    data: &std::path::Path,
) -> Vec<PlannedNode> {
    let mut planned = vec![plan.control("control-1", "fj-west-a", data)];
    planned.push(plan.balancer("balancer-1", "fj-west-a"));
    planned.push(plan.balancer("balancer-2", "fj-west-b"));
    for ((name, service, domain), backend) in BACKENDS.iter().zip(backends) {
        let name = format!("agent-{name}");
        planned.push(plan.agent(&name, domain, service, backend.addr(), fabric));
    }
    planned
}

async fn push(control: &PlannedNode, plan: &Plan, key: &SigningKey) -> Result<()> {
    let signed = SignedBundle::sign(Bundle::parse("bundle.ini", BUNDLE)?, key);
    let cluster = ClusterKey::new(value::hex(plan.cluster_key())?);
    let mut link = Link::dial(control.control, &cluster, START_TIMEOUT).await?;
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        let text = signed.to_text();
        let message = OperatorMessage::ask(1, Request::Push(PushRequest { text }));
        let envelope = Envelope::new(0, Body::Operator(Box::new(message)));
        link.send(&envelope).await?;
        let reply = link.receive(START_TIMEOUT).await?;
        if is_accepted(reply) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err("the control process did not accept the bundle in time".into())
}

fn is_accepted(reply: Envelope) -> bool {
    let Some(Body::Operator(message)) = reply.body else {
        return false;
    };
    matches!(message.reply, Some(Reply::Push(reply)) if reply.outcome() == PushOutcome::Accepted)
}

async fn wait_for_bundle(nodes: &[Node]) -> Result<()> {
    let deadline = Instant::now() + START_TIMEOUT;
    let is_ready = |n: &Node| n.board().version() == 1 && n.board().members().len() == nodes.len();
    while !nodes.iter().all(is_ready) {
        if Instant::now() > deadline {
            return Err("the bundle did not reach every process in time".into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn run_callers(fabric: &Arc<Fabric>) -> Result<BTreeMap<&'static str, CallerStats>> {
    let end = Instant::now() + RUN_PERIOD;
    let mut tasks = Vec::new();
    for (service, address) in ADDRESSES {
        for number in 0..CALLERS {
            let fabric = fabric.clone();
            let address = address.parse()?;
            let task = tokio::spawn(call(fabric, service, address, number, end));
            tasks.push((service, task));
        }
    }
    while Instant::now() < end {
        let remaining = end.saturating_duration_since(Instant::now());
        print!("\r{:>4.1} s left", remaining.as_secs_f64());
        std::io::stdout().flush()?;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    println!();
    let mut all: BTreeMap<&'static str, CallerStats> = BTreeMap::new();
    for (service, task) in tasks {
        all.entry(service).or_default().add(task.await?);
    }
    Ok(all)
}

async fn call(
    fabric: Arc<Fabric>,
    service: &'static str,
    address: SocketAddr,
    number: usize,
    end: Instant,
) -> CallerStats {
    let mut stats = CallerStats::default();
    let mut caller = None;
    let mut count = 0;
    while Instant::now() < end {
        let Some(mut open) = reuse_or_connect(&mut caller, &fabric, address).await else {
            stats.failed += 1;
            continue;
        };
        count += 1;
        let id = format!("{service}-{number}-{count}");
        let request = http::Request::get(format!("/{id}"))
            .header("x-request-id", &id)
            .body(Default::default());
        let Ok(request) = request else { return stats };
        let sent = Instant::now();
        match open.send(request).await {
            Ok(answer) => {
                stats.record(&answer, service, &id, sent.elapsed());
                caller = Some(open);
            }
            Err(_) => stats.failed += 1,
        }
        tokio::time::sleep(REQUEST_DELAY).await;
    }
    stats
}

async fn reuse_or_connect(
    caller: &mut Option<HttpCaller>,
    fabric: &Fabric,
    address: SocketAddr,
) -> Option<HttpCaller> {
    match caller.take() {
        Some(open) if !open.is_closed() => Some(open),
        _ => HttpCaller::connect(fabric, address).await.ok(),
    }
}

impl CallerStats {
    fn record(&mut self, answer: &CallerAnswer, service: &str, id: &str, latency: Duration) {
        let is_expected = answer
            .echo()
            .is_some_and(|e| e.service == service && e.request_id == id);
        match (answer.status.as_u16(), is_expected) {
            (200, true) => {
                self.succeeded += 1;
                self.latencies.push(latency);
            }
            (200, false) => self.wrong += 1,
            _ => self.refused += 1,
        }
    }

    fn add(&mut self, other: Self) {
        self.succeeded += other.succeeded;
        self.refused += other.refused;
        self.failed += other.failed;
        self.wrong += other.wrong;
        self.latencies.extend(other.latencies);
    }

    fn percentile_ms(&self, fraction: f64) -> f64 {
        let last = self.latencies.len().saturating_sub(1);
        // A fraction between 0 and 1 keeps the index in bounds.
        let index = (last as f64 * fraction) as usize;
        self.latencies
            .get(index)
            .map_or(0.0, |l| l.as_secs_f64() * 1_000.0)
    }
}

fn print_callers(all: &BTreeMap<&'static str, CallerStats>) {
    println!("\nservice     ok  refused  failed  wrong   p50 ms   p99 ms");
    for (service, stats) in all {
        let mut latencies = stats.latencies.clone();
        latencies.sort();
        let sorted = CallerStats {
            latencies,
            ..CallerStats::default()
        };
        println!(
            "{service:<8} {:>5}  {:>7}  {:>6}  {:>5}  {:>7.2}  {:>7.2}",
            stats.succeeded,
            stats.refused,
            stats.failed,
            stats.wrong,
            sorted.percentile_ms(0.5),
            sorted.percentile_ms(0.99),
        );
    }
}

fn print_backends(backends: &[Backend]) {
    println!("\nbackend server   ran  max concurrent");
    for backend in backends {
        let ran = backend.records().len();
        println!(
            "{:<14} {ran:>5}  {:>14}",
            backend.name(),
            backend.max_concurrent()
        );
    }
}
