//! Deployments of daemon processes on loopback, with a simulated fabric and backend servers.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use buckthornweir_bundle::prelude::*;
use buckthornweir_standins::free_tcp;
use buckthornweir_standins::prelude::*;
use buckthornweir_wire::{
    Body, ClusterKey, Envelope, Link, OperatorMessage, PushOutcome, PushRequest, Reply, Request,
};
use tempfile::TempDir;

use crate::usage::Usage;

/// Address of the service that all agents serve.
pub(crate) const ORDERS: &str = "10.100.0.1:80";

const DOMAINS: [&str; 3] = ["fj-west-a", "fj-west-b", "fj-west-c"];
const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of processes of each role and of services in a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) controls: usize,
    pub(crate) balancers: usize,
    pub(crate) agents: usize,
    pub(crate) services: usize,
}

/// Running control processes, balancers and agents. All agents belong to one service.
pub(crate) struct Deployment {
    pub(crate) processes: Vec<Process>,
    pub(crate) fabric: Arc<Fabric>,
    services: usize,
    pub(crate) key_digits: &'static str,
    key: ClusterKey,
    _backends: Vec<Backend>,
    pub(crate) folder: TempDir,
}

/// A daemon process, killed when dropped.
pub(crate) struct Process {
    pub(crate) role: &'static str,
    pub(crate) planned: PlannedNode,
    child: Child,
}

impl Process {
    fn start(role: &'static str, planned: PlannedNode, folder: &Path) -> Self {
        let settings = folder.join(format!("{}.ini", planned.name));
        std::fs::write(&settings, &planned.settings).expect("the folder is writable");
        let mut command = Command::new(program("buckthornweird"));
        let command = command.arg("--settings").arg(settings);
        let child = command.stdin(Stdio::null()).spawn();
        Self {
            role,
            planned,
            child: child.expect("run cargo build --release -p buckthornweir_daemon first"),
        }
    }

    /// Reads the resource usage of the process so far.
    pub(crate) fn usage(&self) -> Usage {
        Usage::read(self.child.id(), self.planned.metrics)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program in the build folder that contains this benchmark.
pub(crate) fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.ancestors().nth(2).unwrap_or(Path::new("."));
    folder.join(name)
}

fn signing_key() -> SigningKey {
    SigningKey::from_secret(&[7; 32])
}

impl Deployment {
    /// Starts all processes, pushes the first bundle, and waits until it is in force and all members are known
    /// everywhere.
    pub(crate) async fn start(size: Size) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let public: String = signing_key()
            .public()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        let plan = Plan::new(public).with_log("error");
        let mut plan = plan.with_control(size.controls);
        let bind = SocketAddr::from(([127, 0, 0, 1], 0));
        let fabric = Fabric::start(FabricConfig::new(bind, 11).with_buffer(4_096)).await;
        let fabric = fabric.expect("a free port");
        let mut processes = Vec::new();
        for number in 0..size.controls {
            let name = format!("control-{number}");
            let data = folder.path().join(&name);
            let planned = plan.control(&name, DOMAINS[number % DOMAINS.len()], &data);
            processes.push(Process::start("control", planned, folder.path()));
        }
        for number in 0..size.balancers {
            let name = format!("balancer-{number}");
            let planned = plan.balancer(&name, DOMAINS[number % DOMAINS.len()]);
            processes.push(Process::start("balancer", planned, folder.path()));
        }
        let mut backends = Vec::new();
        for number in 0..size.agents {
            let config = BackendConfig::new(free_tcp(), format!("orders-{number}"), "orders");
            let config = config.with_slots(100).with_connections(2_000);
            let backend = Backend::start(config).await.expect("a free port");
            let domain = DOMAINS[number % DOMAINS.len()];
            let name = format!("agent-{number}");
            let planned = plan.agent(&name, domain, "orders", backend.addr(), fabric.addr());
            processes.push(Process::start("agent", planned, folder.path()));
            backends.push(backend);
        }
        let balancers = processes
            .iter()
            .filter_map(|process| process.planned.fabric);
        fabric.set_balancers(balancers.collect());
        let key_digits = plan.cluster_key();
        let deployment = Self {
            processes,
            fabric: Arc::new(fabric),
            services: size.services,
            key_digits,
            key: ClusterKey::new(key_bytes(key_digits)),
            _backends: backends,
            folder,
        };
        let first = deployment.push(1).await;
        assert!(
            first.is_some(),
            "the first bundle did not come into force in time"
        );
        deployment
    }

    /// Pushes a version of the bundle. Returns the time until it is in force everywhere and every process
    /// knows all members, or `None` after a timeout.
    pub(crate) async fn push(&self, version: u64) -> Option<Duration> {
        let bundle = Bundle::parse("bench.ini", &self.bundle_text(version)).ok()?;
        let text = SignedBundle::sign(bundle, &signing_key()).to_text();
        let deadline = Instant::now() + TIMEOUT;
        let start = self.push_to_leader(&text, deadline).await?;
        let count = self.processes.len() as f64;
        for process in &self.processes {
            let is_ready = || {
                let usage = process.usage();
                usage.metric("bundle_version") >= version as f64
                    && usage.metric("members_alive") >= count
            };
            while !is_ready() {
                if Instant::now() > deadline {
                    return None;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Some(start.elapsed())
    }

    /// Pushes to each control process in turn until one accepts. Returns the start time of the accepted push.
    async fn push_to_leader(&self, text: &str, deadline: Instant) -> Option<Instant> {
        while Instant::now() < deadline {
            for process in self.role("control") {
                let start = Instant::now();
                let outcome = self.send_push(process.planned.control, text).await;
                if matches!(outcome, Some(PushOutcome::Accepted | PushOutcome::Same)) {
                    return Some(start);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    async fn send_push(&self, control: SocketAddr, text: &str) -> Option<PushOutcome> {
        let mut link = Link::dial(control, &self.key, TIMEOUT).await.ok()?;
        let request = Request::Push(PushRequest { text: text.into() });
        let message = OperatorMessage::ask(1, request);
        let envelope = Envelope::new(0, Body::Operator(Box::new(message)));
        link.send(&envelope).await.ok()?;
        loop {
            let received = link.receive(TIMEOUT).await.ok()?;
            if let Some(Body::Operator(message)) = received.body {
                return match message.reply {
                    Some(Reply::Push(reply)) => Some(reply.outcome()),
                    _ => None,
                };
            }
        }
    }

    fn bundle_text(&self, version: u64) -> String {
        let mut text = format!("[bundle]\nversion = {version}\n");
        for domain in DOMAINS {
            text += &format!("[domain {domain}]\nregion = fj-west\n");
        }
        let domains = DOMAINS.join(", ");
        text += &format!("[service orders]\naddresses = {ORDERS}\ndomains = {domains}\n");
        text += "slots = 100\ncold = 100\nqueue = 1000\n";
        for number in 1..self.services {
            let [high, low] = (number as u16).to_be_bytes();
            let address = format!("10.101.{high}.{low}:80");
            text += &format!("[service other-{number}]\naddresses = {address}\n");
            text += &format!("domains = {domains}\n");
        }
        text
    }

    /// Returns the processes of a role.
    pub(crate) fn role(&self, role: &str) -> impl Iterator<Item = &Process> {
        self.processes
            .iter()
            .filter(move |process| process.role == role)
    }
}

/// Decodes a key from hexadecimal digits.
fn key_bytes(digits: &str) -> [u8; 32] {
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        let pair = digits.get(2 * index..2 * index + 2).unwrap_or("00");
        *byte = u8::from_str_radix(pair, 16).unwrap_or_default();
    }
    bytes
}
