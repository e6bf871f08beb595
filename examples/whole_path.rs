//! The embedded default: all roles in one process, with stand-in callers and backend servers.
//!
//! Callers of two services send requests for a few seconds through two balancers and five agents;
//! every packet goes to a balancer at random. At the end a table tells what callers got and how
//! the load spread over the backend servers.
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

/// Callers of each service.
const CALLERS: usize = 20;

/// How long callers send requests.
const RUN: Duration = Duration::from_secs(5);

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// How long the start may take.
const START_LIMIT: Duration = Duration::from_secs(20);

type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// What one caller saw.
#[derive(Default)]
struct Seen {
    good: usize,
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
    println!("{} roles run; callers start", nodes.len());
    let seen = run_callers(&fabric).await?;
    print_callers(&seen);
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
    let mut link = Link::dial(control.control, &cluster, START_LIMIT).await?;
    let limit = Instant::now() + START_LIMIT;
    while Instant::now() < limit {
        let text = signed.to_text();
        let message = OperatorMessage::ask(1, Request::Push(PushRequest { text }));
        let envelope = Envelope::new(0, Body::Operator(Box::new(message)));
        link.send(&envelope).await?;
        let reply = link.receive(START_LIMIT).await?;
        if is_accepted(reply) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err("the control process has no quorum".into())
}

fn is_accepted(reply: Envelope) -> bool {
    let Some(Body::Operator(message)) = reply.body else {
        return false;
    };
    matches!(message.reply, Some(Reply::Push(reply)) if reply.outcome() == PushOutcome::Accepted)
}

async fn wait_for_bundle(nodes: &[Node]) -> Result<()> {
    let limit = Instant::now() + START_LIMIT;
    let holds = |n: &Node| n.board().version() == 1 && n.board().members().len() == nodes.len();
    while !nodes.iter().all(holds) {
        if Instant::now() > limit {
            return Err("the bundle did not reach every process in time".into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn run_callers(fabric: &Arc<Fabric>) -> Result<BTreeMap<&'static str, Seen>> {
    let end = Instant::now() + RUN;
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
        let left = end.saturating_duration_since(Instant::now());
        print!("\r{:>4.1} s left", left.as_secs_f64());
        std::io::stdout().flush()?;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    println!();
    let mut all: BTreeMap<&'static str, Seen> = BTreeMap::new();
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
) -> Seen {
    let mut seen = Seen::default();
    let mut caller = None;
    let mut count = 0;
    while Instant::now() < end {
        let Some(mut open) = take_or_connect(&mut caller, &fabric, address).await else {
            seen.failed += 1;
            continue;
        };
        count += 1;
        let id = format!("{service}-{number}-{count}");
        let request = http::Request::get(format!("/{id}"))
            .header("x-request-id", &id)
            .body(Default::default());
        let Ok(request) = request else { return seen };
        let began = Instant::now();
        match open.send(request).await {
            Ok(answer) => {
                seen.note(&answer, service, &id, began.elapsed());
                caller = Some(open);
            }
            Err(_) => seen.failed += 1,
        }
        tokio::time::sleep(PAUSE).await;
    }
    seen
}

async fn take_or_connect(
    caller: &mut Option<HttpCaller>,
    fabric: &Fabric,
    address: SocketAddr,
) -> Option<HttpCaller> {
    match caller.take() {
        Some(open) if !open.is_closed() => Some(open),
        _ => HttpCaller::connect(fabric, address).await.ok(),
    }
}

impl Seen {
    fn note(&mut self, answer: &CallerAnswer, service: &str, id: &str, latency: Duration) {
        let is_own = answer
            .echo()
            .is_some_and(|e| e.service == service && e.request_id == id);
        match (answer.status.as_u16(), is_own) {
            (200, true) => {
                self.good += 1;
                self.latencies.push(latency);
            }
            (200, false) => self.wrong += 1,
            _ => self.refused += 1,
        }
    }

    fn add(&mut self, other: Self) {
        self.good += other.good;
        self.refused += other.refused;
        self.failed += other.failed;
        self.wrong += other.wrong;
        self.latencies.extend(other.latencies);
    }

    fn percentile(&self, share: f64) -> f64 {
        let last = self.latencies.len().saturating_sub(1);
        // A share between 0 and 1 of the last index is an index.
        let at = (last as f64 * share) as usize;
        self.latencies
            .get(at)
            .map_or(0.0, |l| l.as_secs_f64() * 1_000.0)
    }
}

fn print_callers(all: &BTreeMap<&'static str, Seen>) {
    println!("\nservice   good  refused  failed  wrong   p50 ms   p99 ms");
    for (service, seen) in all {
        let mut latencies = seen.latencies.clone();
        latencies.sort();
        let sorted = Seen {
            latencies,
            ..Seen::default()
        };
        println!(
            "{service:<8} {:>5}  {:>7}  {:>6}  {:>5}  {:>7.2}  {:>7.2}",
            seen.good,
            seen.refused,
            seen.failed,
            seen.wrong,
            sorted.percentile(0.5),
            sorted.percentile(0.99),
        );
    }
}

fn print_backends(backends: &[Backend]) {
    println!("\nbackend server   ran  most at a time");
    for backend in backends {
        let ran = backend.books().len();
        println!(
            "{:<14} {ran:>5}  {:>14}",
            backend.name(),
            backend.most_concurrent()
        );
    }
}
