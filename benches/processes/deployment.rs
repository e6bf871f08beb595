//! Real processes of the daemon on loopback, with stand-ins around them.

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

/// The address of the service that has the agents.
pub(crate) const ORDERS: &str = "10.100.0.1:80";

const DOMAINS: [&str; 3] = ["fj-west-a", "fj-west-b", "fj-west-c"];
const LIMIT: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(50);

/// How many processes of each role and how many services a deployment has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) controls: usize,
    pub(crate) balancers: usize,
    pub(crate) agents: usize,
    pub(crate) services: usize,
}

/// Control processes, balancers and agents, the latter all of one service.
pub(crate) struct Deployment {
    pub(crate) processes: Vec<Process>,
    pub(crate) fabric: Arc<Fabric>,
    services: usize,
    pub(crate) secret: &'static str,
    key: ClusterKey,
    _backends: Vec<Backend>,
    pub(crate) folder: TempDir,
}

/// One process of the daemon, ended when it is dropped.
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
            child: child.expect("cargo build --release -p buckthornweir_daemon comes first"),
        }
    }

    /// Reads what the process has used so far.
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

/// Returns a program beside the folder of this bench.
pub(crate) fn program(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.ancestors().nth(2).unwrap_or(Path::new("."));
    folder.join(name)
}

fn signing_key() -> SigningKey {
    SigningKey::from_secret(&[7; 32])
}

impl Deployment {
    /// Starts all processes, pushes the first bundle, and waits until all know all.
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
        let secret = plan.cluster_key();
        let deployment = Self {
            processes,
            fabric: Arc::new(fabric),
            services: size.services,
            secret,
            key: ClusterKey::new(key_bytes(secret)),
            _backends: backends,
            folder,
        };
        let first = deployment.push(1).await;
        assert!(first.is_some(), "the first bundle isn't in force");
        deployment
    }

    /// Pushes a version and returns how long it takes until it is in force everywhere and all
    /// processes know each other.
    pub(crate) async fn push(&self, version: u64) -> Option<Duration> {
        let bundle = Bundle::parse("bench.ini", &self.bundle(version)).ok()?;
        let text = SignedBundle::sign(bundle, &signing_key()).to_text();
        let limit = Instant::now() + LIMIT;
        let start = self.push_to_leader(&text, limit).await?;
        let count = self.processes.len() as f64;
        for process in &self.processes {
            let holds = || {
                let usage = process.usage();
                usage.metric("bundle_version") >= version as f64
                    && usage.metric("members_alive") >= count
            };
            while !holds() {
                if Instant::now() > limit {
                    return None;
                }
                tokio::time::sleep(STEP).await;
            }
        }
        Some(start.elapsed())
    }

    /// Pushes at one control process after the other; returns when the accepted push began.
    async fn push_to_leader(&self, text: &str, limit: Instant) -> Option<Instant> {
        while Instant::now() < limit {
            for process in self.role("control") {
                let start = Instant::now();
                let outcome = self.ask(process.planned.control, text).await;
                if matches!(outcome, Some(PushOutcome::Accepted | PushOutcome::Same)) {
                    return Some(start);
                }
            }
            tokio::time::sleep(STEP).await;
        }
        None
    }

    async fn ask(&self, control: SocketAddr, text: &str) -> Option<PushOutcome> {
        let mut link = Link::dial(control, &self.key, LIMIT).await.ok()?;
        let request = Request::Push(PushRequest { text: text.into() });
        let message = OperatorMessage::ask(1, request);
        let envelope = Envelope::new(0, Body::Operator(Box::new(message)));
        link.send(&envelope).await.ok()?;
        loop {
            let answer = link.receive(LIMIT).await.ok()?;
            if let Some(Body::Operator(message)) = answer.body {
                return match message.reply {
                    Some(Reply::Push(reply)) => Some(reply.outcome()),
                    _ => None,
                };
            }
        }
    }

    fn bundle(&self, version: u64) -> String {
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

/// Returns the bytes that hexadecimal digits stand for.
fn key_bytes(digits: &str) -> [u8; 32] {
    let mut bytes = [0; 32];
    for (at, byte) in bytes.iter_mut().enumerate() {
        let pair = digits.get(2 * at..2 * at + 2).unwrap_or("00");
        *byte = u8::from_str_radix(pair, 16).unwrap_or_default();
    }
    bytes
}
